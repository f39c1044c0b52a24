//! The operators' port. Every request needs the credential of the settings.

use {
    crate::{
        burn::{self, BurnReport},
        caller::{json, query},
        events::EntryEvent,
        request::read_body_of,
        shared::Shared,
        state::row_states,
    },
    glade_http::{Bytes, Full, Request as UpstreamRequest},
    glade_membership::{EditOutcome, EditRequest, HISTORY_PREFIX, HistoryRow, run_edit},
    glade_platform::TableService,
    glade_table::{Table, TableVersion, diff, to_csv},
    glade_types::VmId,
    glade_wire::Role,
    poem::{
        Endpoint, IntoResponse, Request, Response,
        http::{Method, StatusCode},
    },
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
    tokio::time::{Instant, sleep},
};

/// Header with the version of a table.
const VERSION_HEADER: &str = "x-table-version";
/// Longest wait until an accepted edit is in force on all live VMs.
const IN_FORCE_WAIT: Duration = Duration::from_secs(5);
/// Pause between looks at who is in force.
const IN_FORCE_POLL: Duration = Duration::from_millis(50);
/// Time allowed for another VM's share of a report.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted table.
const MAX_TABLE_BYTES: usize = 16 << 20;

/// Serves operators.
#[derive(Clone, Debug)]
pub(crate) struct OperatorPort {
    pub(crate) shared: Arc<Shared>,
}

/// Answer to an edit.
#[derive(Debug, Default, Serialize)]
struct EditAnswer {
    /// `committed`, `unchanged`, `dry_run`, `conflict`, `invalid`, `not_applied` or `unknown`.
    outcome: &'static str,
    version: u64,
    message: String,
    /// Names of the rows that the edit changes, or that conflict.
    rows: Vec<String>,
    in_force: Vec<String>,
    not_confirmed: Vec<String>,
}

#[derive(Debug, Serialize)]
struct VmLine {
    vm: String,
    role: String,
    data_centre: String,
    caller: String,
    operator: String,
    live: bool,
    leaving: bool,
    table_version: u64,
    incarnation: u64,
}

/// The merged burn report.
#[derive(Debug, Serialize)]
struct BurnAnswer {
    /// VMs whose counts are in the report.
    merged: Vec<String>,
    /// VMs that gave no answer.
    lacking: Vec<String>,
    lines: Vec<burn::BurnLine>,
}

impl Endpoint for OperatorPort {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        if !self.is_authorised(&req) {
            return Ok((StatusCode::UNAUTHORIZED, "credential missing or wrong\n").into_response());
        }
        let path = req.uri().path().strip_prefix("/operator/v1/").unwrap_or_default().to_owned();
        Ok(match (req.method(), path.as_str()) {
            (&Method::GET, "table") => self.table(),
            (&Method::PUT, "table") => self.edit(req).await,
            (&Method::GET, "state") => {
                let (report, ..) = self.merged_burn().await;
                json(&row_states(&self.shared, &report).await)
            }
            (&Method::GET, "history") => self.history().await,
            (&Method::GET, "vms") => json(&self.vms()),
            (&Method::GET, "backends") => json(&self.shared.view.load().backends),
            (&Method::POST, "drain") => self.drain(&req),
            (&Method::GET, "burn") if query(&req, "local").is_some() => {
                json(&self.shared.burn.report(self.shared.now()))
            }
            (&Method::GET, "burn") => self.burn().await,
            _ => (StatusCode::NOT_FOUND, "no such operation\n").into_response(),
        })
    }
}

impl OperatorPort {
    fn is_authorised(&self, req: &Request) -> bool {
        let expected = self.shared.settings.operator_credential.as_bytes();
        let value = req.headers().get("authorization").and_then(|value| value.to_str().ok());
        let given = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        given.as_bytes().ct_eq(expected).into()
    }

    fn table(&self) -> Response {
        let routes = self.shared.routes.load();
        Response::builder()
            .content_type("text/csv")
            .header(VERSION_HEADER, routes.table.version.0)
            .body(to_csv(&routes.table))
    }

    async fn edit(&self, mut req: Request) -> Response {
        let parameter = |name: &str| query(&req, name);
        let based_on = parameter("based_on").and_then(|text| text.parse().ok());
        let Some(based_on) = based_on.map(TableVersion) else {
            return (StatusCode::BAD_REQUEST, "based_on must be a version\n").into_response();
        };
        let dry_run = parameter("dry_run").is_some();
        let author = parameter("author").unwrap_or_default();
        let body = match read_body_of(&mut req, MAX_TABLE_BYTES).await {
            Ok(body) => body,
            Err(err) => return err.to_response(),
        };
        let edited = match Table::parse_csv(&String::from_utf8_lossy(&body), based_on) {
            Ok(edited) => edited,
            Err(err) => {
                let message = err.to_string();
                return answer(StatusCode::UNPROCESSABLE_ENTITY, "invalid", message, vec![]);
            }
        };
        if dry_run {
            let current = Arc::clone(&self.shared.routes.load().table);
            let rows = diff(&current, &edited).iter().map(|c| c.name().to_string()).collect();
            return answer(StatusCode::OK, "dry_run", String::new(), rows);
        }
        let request = EditRequest { edit_id: fastrand::u64(1..), author, based_on, edited };
        let platform = &self.shared.platform;
        let outcome = run_edit(request, &platform.store, &platform.objects).await;
        self.edit_answer(outcome).await
    }

    async fn edit_answer(&self, outcome: EditOutcome) -> Response {
        match outcome {
            EditOutcome::Committed(table) => {
                self.shared.tell(EntryEvent::Edited(Arc::clone(&table)));
                let (in_force, not_confirmed) = self.wait_in_force(table.version).await;
                json(&EditAnswer {
                    outcome: "committed",
                    version: table.version.0,
                    in_force,
                    not_confirmed,
                    ..EditAnswer::default()
                })
            }
            EditOutcome::Unchanged(version) => json(&EditAnswer {
                outcome: "unchanged",
                version: version.0,
                ..EditAnswer::default()
            }),
            EditOutcome::Conflict(conflict) => {
                let rows = conflict.rows.iter().map(ToString::to_string).collect();
                answer(StatusCode::CONFLICT, "conflict", conflict.to_string(), rows)
            }
            EditOutcome::BaseExpired(version) => {
                let message = format!("version {version} is not in the history; get it anew");
                answer(StatusCode::CONFLICT, "conflict", message, vec![])
            }
            EditOutcome::NotApplied(err) => {
                let message = format!("nothing was applied: {err}");
                answer(StatusCode::SERVICE_UNAVAILABLE, "not_applied", message, vec![])
            }
            EditOutcome::Unknown { edit_id, version } => {
                let message = format!(
                    "the edit may have been applied as version {version}; \
                     look for edit {edit_id:016x} in the history"
                );
                answer(StatusCode::BAD_GATEWAY, "unknown", message, vec![])
            }
        }
    }

    /// Waits until all live VMs confirm the version, within bounds.
    async fn wait_in_force(&self, version: TableVersion) -> (Vec<String>, Vec<String>) {
        let until = Instant::now() + IN_FORCE_WAIT;
        loop {
            let lines = self.vms();
            let live = lines.iter().filter(|line| line.live);
            let (done, open): (Vec<&VmLine>, Vec<&VmLine>) =
                live.partition(|line| line.table_version >= version.0);
            if open.is_empty() || Instant::now() >= until {
                let name = |line: &&VmLine| format!("{}/{}", line.vm, line.role);
                return (done.iter().map(name).collect(), open.iter().map(name).collect());
            }
            sleep(IN_FORCE_POLL).await;
        }
    }

    /// All daemons that this VM knows, this one first.
    fn vms(&self) -> Vec<VmLine> {
        let (me, routes) = (&self.shared.settings.vm, self.shared.routes.load());
        let own = VmLine {
            vm: me.name.to_string(),
            role: role_name(Role::Entry).to_owned(),
            data_centre: me.data_centre.to_string(),
            caller: me.caller.to_string(),
            operator: me.operator.to_string(),
            live: true,
            leaving: self.shared.drain.is_draining(),
            table_version: routes.table.version.0,
            incarnation: self.shared.incarnation.0,
        };
        let view = self.shared.view.load();
        let peers = view.peers.iter().map(|peer| VmLine {
            vm: peer.vm.to_string(),
            role: role_name(peer.role).to_owned(),
            data_centre: peer.data_centre.to_string(),
            caller: peer.caller.to_string(),
            operator: peer.operator.to_string(),
            live: peer.live,
            leaving: peer.leaving,
            table_version: peer.table_version,
            incarnation: peer.incarnation.0,
        });
        [own].into_iter().chain(peers).collect()
    }

    async fn history(&self) -> Response {
        match self.shared.platform.store.scan(HISTORY_PREFIX).await {
            Ok(rows) => {
                let decode = |value: &[u8]| serde_json::from_slice::<HistoryRow>(value).ok();
                let rows: Vec<HistoryRow> =
                    rows.iter().filter_map(|row| decode(&row.value)).collect();
                json(&rows)
            }
            Err(err) => (StatusCode::SERVICE_UNAVAILABLE, format!("{err}\n")).into_response(),
        }
    }

    fn drain(&self, req: &Request) -> Response {
        let name = query(req, "vm").unwrap_or_else(|| self.shared.vm().to_string());
        if !self.vms().iter().any(|line| line.vm == name) {
            return (StatusCode::NOT_FOUND, format!("there is no VM {name:?}\n")).into_response();
        }
        self.shared.tell(EntryEvent::Drain(VmId::new(&name)));
        (StatusCode::ACCEPTED, format!("{name} is draining\n")).into_response()
    }

    async fn burn(&self) -> Response {
        let (report, merged, lacking) = self.merged_burn().await;
        json(&BurnAnswer { merged, lacking, lines: burn::lines(&report) })
    }

    /// The counts of all VMs, the VMs that are in it and those that are lacking.
    async fn merged_burn(&self) -> (BurnReport, Vec<String>, Vec<String>) {
        let mut report = self.shared.burn.report(self.shared.now());
        let mut merged = vec![self.shared.vm().to_string()];
        let mut lacking = Vec::new();
        let entries = role_name(Role::Entry);
        let others: Vec<VmLine> =
            self.vms().into_iter().skip(1).filter(|line| line.role == entries).collect();
        let asked = others.into_iter().map(|line| async move {
            let answer = self.ask_burn(&line).await;
            (line.vm, answer)
        });
        for (vm, answer) in futures_util::future::join_all(asked).await {
            match answer {
                Some(theirs) => {
                    burn::merge(&mut report, theirs);
                    merged.push(vm);
                }
                None => lacking.push(vm),
            }
        }
        (report, merged, lacking)
    }

    async fn ask_burn(&self, line: &VmLine) -> Option<BurnReport> {
        if !line.live {
            return None;
        }
        let addr = line.operator.parse().ok()?;
        let credential = &self.shared.settings.operator_credential;
        let req = UpstreamRequest::builder()
            .uri("/operator/v1/burn?local=1")
            .header("host", line.operator.as_str())
            .header("authorization", format!("Bearer {credential}"))
            .body(Full::new(Bytes::new()))
            .ok()?;
        let answer = self.shared.pool.fetch(addr, req, PEER_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Planner => "planner",
    }
}

fn answer(
    status: StatusCode,
    outcome: &'static str,
    message: String,
    rows: Vec<String>,
) -> Response {
    let mut response = json(&EditAnswer { outcome, message, rows, ..EditAnswer::default() });
    response.set_status(status);
    response
}
