//! Polls the watched engines for reports, and selects the parts of each report to forward to other
//! daemons.

use {
    crate::planner_event::PlannerEvent,
    arc_swap::ArcSwap,
    glade_engine::{Engine, EngineReport, HttpEngine},
    glade_fleet::digests,
    glade_platform::BackendRecord,
    glade_types::BackendId,
    glade_wire::{LoadDigest, Residency},
    std::{
        collections::HashMap,
        sync::{Arc, mpsc::SyncSender},
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, time::sleep},
};

/// Interval at which an unchanged residency is sent again, for peers that missed it.
const RESIDENCY_RESEND_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which an unchanged load is sent again, so that receivers don't take it for outdated.
const LOAD_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP clients of engines, created on first use.
#[derive(Debug)]
pub(crate) struct EngineClients {
    order_timeout: Duration,
    clients: std::sync::Mutex<HashMap<BackendId, (std::net::SocketAddr, Arc<HttpEngine>)>>,
}

impl EngineClients {
    pub(crate) fn new(order_timeout: Duration) -> Self {
        Self { order_timeout, clients: std::sync::Mutex::default() }
    }

    /// Returns the client of an engine. A client for a different address than the record's is
    /// replaced.
    pub(crate) fn get(&self, record: &BackendRecord) -> Arc<HttpEngine> {
        let mut clients = self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let cached = clients.get(&record.id).filter(|(addr, _)| *addr == record.addr);
        if let Some((_, client)) = cached {
            return Arc::clone(client);
        }
        let client = Arc::new(HttpEngine::new(record.addr, self.order_timeout));
        clients.insert(record.id.clone(), (record.addr, Arc::clone(&client)));
        client
    }
}

/// Reads the reports of all `watched_engines` periodically, all engines concurrently. A report is
/// dropped when the control thread's queue is full.
pub(crate) fn spawn_report_poll(
    runtime: &Handle,
    watched_engines: Arc<ArcSwap<Vec<BackendRecord>>>,
    clients: Arc<EngineClients>,
    poll_interval: Duration,
    events: SyncSender<PlannerEvent>,
) {
    runtime.spawn(async move {
        loop {
            for record in watched_engines.load().iter() {
                let (client, events) = (clients.get(record), events.clone());
                let engine = record.id.clone();
                tokio::spawn(async move {
                    match client.report().await {
                        Ok(report) => {
                            let event = PlannerEvent::EngineReported { engine, report };
                            if events.try_send(event).is_err() {
                                log::warn!(
                                    "control thread queue is full or closed; dropping engine report"
                                );
                            }
                        }
                        Err(err) => log::debug!("cannot read the report of engine {engine}: {err}"),
                    }
                });
            }
            sleep(poll_interval).await;
        }
    });
}

/// Latest digests of one engine that were sent to peers, and when.
#[derive(Debug)]
struct SentDigests {
    load: LoadDigest,
    load_at: Instant,
    residency: Residency,
    residency_at: Instant,
}

/// Selects the digests to send to peers: those that changed since they were last sent, and
/// unchanged ones whose resend interval has passed.
#[derive(Debug, Default)]
pub(crate) struct DigestFilter {
    sent: HashMap<BackendId, SentDigests>,
}

/// Digests of one report that are due to be sent.
#[derive(Debug, Default)]
pub(crate) struct DueDigests {
    pub(crate) load: Option<LoadDigest>,
    pub(crate) residency: Option<Residency>,
}

impl DigestFilter {
    /// Returns the digests of `report` that are due, and records them as sent.
    pub(crate) fn take_due(
        &mut self,
        now: Instant,
        engine: &BackendId,
        report: &EngineReport,
    ) -> DueDigests {
        let (load, residency) = digests(engine, report);
        let Some(sent) = self.sent.get_mut(engine) else {
            let first = SentDigests {
                load: load.clone(),
                load_at: now,
                residency: residency.clone(),
                residency_at: now,
            };
            self.sent.insert(engine.clone(), first);
            return DueDigests { load: Some(load), residency: Some(residency) };
        };
        let mut due = DueDigests::default();
        if sent.load != load || now >= sent.load_at + LOAD_RESEND_INTERVAL {
            (sent.load, sent.load_at) = (load.clone(), now);
            due.load = Some(load);
        }
        if sent.residency != residency || now >= sent.residency_at + RESIDENCY_RESEND_INTERVAL {
            (sent.residency, sent.residency_at) = (residency.clone(), now);
            due.residency = Some(residency);
        }
        due
    }
}
