//! The callers' port.

use {
    crate::{
        api_error::ApiError,
        chat, directory,
        service::{self, SERVICES_PATH},
        shared::{Counts, Shared},
    },
    glade_observe::Metrics,
    poem::{
        Endpoint, IntoResponse, Request, Response,
        http::{Method, StatusCode},
    },
    serde::Serialize,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
};

/// Advice to callers of a VM that has left.
const LEFT_RETRY: Duration = Duration::from_secs(1);
/// Owner of every model in the API's listing.
const OWNER: &str = "persimmonglade";

/// Serves callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerPort {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<String>,
}

#[derive(Serialize)]
struct TokenAnswer {
    token: String,
    ttl_ms: u64,
}

impl Endpoint for CallerPort {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let path = req.uri().path();
        Ok(match (req.method(), path) {
            (&Method::GET, "/healthz") => "ok\n".into_response(),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics.render().into_response(),
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/v1/entries") => {
                directory::directory(&self.shared, query(&req, "data_centre").as_deref())
            }
            (&Method::POST, "/v1/chat/completions" | "/v1/completions" | "/v1/call-tokens") => {
                self.work(req).await
            }
            (_, path) if path.starts_with(SERVICES_PATH) => self.work(req).await,
            _ => ApiError::UnknownModel { model: path.to_owned() }.to_response(),
        })
    }
}

impl CallerPort {
    /// Work that a drain has to wait for.
    async fn work(&self, req: Request) -> Response {
        let shared = &self.shared;
        let Some(serving) = shared.begin() else { return self.left() };
        Counts::add(&shared.counts.requests);
        let path = req.uri().path();
        if path == "/v1/call-tokens" {
            return self.issue_token();
        }
        if path.starts_with(SERVICES_PATH) {
            return service::serve(shared, serving, req).await;
        }
        chat::serve(shared, serving, req).await
    }

    fn ready(&self) -> Response {
        let routes = self.shared.routes.load();
        let ready = routes.accepts_work && !routes.table.is_empty();
        if ready && !self.shared.drain.is_draining() {
            return "ready\n".into_response();
        }
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }

    /// Tells a caller with an old directory answer where to go.
    fn left(&self) -> Response {
        let view = self.shared.view.load();
        let others: Vec<String> = view
            .peers
            .iter()
            .filter(|peer| peer.role == glade_wire::Role::Entry && peer.live && !peer.leaving)
            .map(|peer| format!("http://{}", peer.caller))
            .collect();
        let message = format!("this VM has left; not run, use {}", others.join(" or "));
        ApiError::NotRun { message, retry_after: LEFT_RETRY }.to_response()
    }

    fn issue_token(&self) -> Response {
        let mut tokens = self.shared.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let token = tokens.issue(self.shared.now()).to_string();
        drop(tokens);
        let ttl = self.shared.settings.timing.token_ttl;
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        json(&TokenAnswer { token, ttl_ms })
    }

    fn models(&self) -> Response {
        let routes = self.shared.routes.load();
        let rows = routes.table.rows().filter(|row| row.is_loadable());
        let data = rows.map(|row| ModelEntry {
            id: row.name.to_string(),
            object: "model",
            owned_by: OWNER,
            parent: row.base().map(ToString::to_string),
        });
        json(&ModelList { object: "list", data: data.collect() })
    }
}

/// An answer with `value` as its body.
pub(crate) fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_string(value).expect("answers have only string keys");
    Response::builder().content_type("application/json").body(body)
}

/// Value of a query parameter.
pub(crate) fn query(req: &Request, name: &str) -> Option<String> {
    let pairs = req.params::<Vec<(String, String)>>().ok()?;
    pairs.into_iter().find(|(key, _)| key == name).map(|(_, value)| value)
}
