//! Reads the reports of watched engines and works out what to pass on.

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

/// Period at which an unchanged residency is sent again, for peers that missed it.
const RESIDENCY_REPEAT: Duration = Duration::from_secs(5);
/// Period at which an unchanged load is sent again, so that receivers know it's current.
const LOAD_REPEAT: Duration = Duration::from_secs(1);

/// Clients of engines, made when first needed.
#[derive(Debug)]
pub(crate) struct EngineClients {
    order_timeout: Duration,
    clients: std::sync::Mutex<HashMap<BackendId, (std::net::SocketAddr, Arc<HttpEngine>)>>,
}

impl EngineClients {
    pub(crate) fn new(order_timeout: Duration) -> Self {
        Self { order_timeout, clients: std::sync::Mutex::default() }
    }

    /// The client of the engine at its present address.
    pub(crate) fn get(&self, record: &BackendRecord) -> Arc<HttpEngine> {
        let mut clients = self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let known = clients.get(&record.id).filter(|(addr, _)| *addr == record.addr);
        if let Some((_, client)) = known {
            return Arc::clone(client);
        }
        let client = Arc::new(HttpEngine::new(record.addr, self.order_timeout));
        clients.insert(record.id.clone(), (record.addr, Arc::clone(&client)));
        client
    }
}

/// Reads the reports of `watched` over and over, all engines at once.
pub(crate) fn spawn_report_poll(
    runtime: &Handle,
    watched: Arc<ArcSwap<Vec<BackendRecord>>>,
    clients: Arc<EngineClients>,
    every: Duration,
    events: SyncSender<PlannerEvent>,
) {
    runtime.spawn(async move {
        loop {
            for record in watched.load().iter() {
                let (client, events) = (clients.get(record), events.clone());
                let engine = record.id.clone();
                tokio::spawn(async move {
                    match client.report().await {
                        Ok(report) => {
                            let event = PlannerEvent::Reported { engine, report };
                            if events.try_send(event).is_err() {
                                log::warn!("control thread is behind; engine report dropped");
                            }
                        }
                        Err(err) => log::debug!("report of {engine}: {err}"),
                    }
                });
            }
            sleep(every).await;
        }
    });
}

#[derive(Debug)]
struct Sent {
    load: LoadDigest,
    load_at: Instant,
    residency: Residency,
    residency_at: Instant,
}

/// Remembers what was passed on last, so that only changes are.
#[derive(Debug, Default)]
pub(crate) struct DigestBook {
    sent: HashMap<BackendId, Sent>,
}

/// What has to be passed on of one report.
#[derive(Debug, Default)]
pub(crate) struct Digests {
    pub(crate) load: Option<LoadDigest>,
    pub(crate) residency: Option<Residency>,
}

impl DigestBook {
    /// The digests that peers should get of `report`.
    pub(crate) fn digest(
        &mut self,
        now: Instant,
        engine: &BackendId,
        report: &EngineReport,
    ) -> Digests {
        let (load, residency) = digests(engine, report);
        let Some(sent) = self.sent.get_mut(engine) else {
            let first = Sent {
                load: load.clone(),
                load_at: now,
                residency: residency.clone(),
                residency_at: now,
            };
            self.sent.insert(engine.clone(), first);
            return Digests { load: Some(load), residency: Some(residency) };
        };
        let mut digests = Digests::default();
        if sent.load != load || now >= sent.load_at + LOAD_REPEAT {
            (sent.load, sent.load_at) = (load.clone(), now);
            digests.load = Some(load);
        }
        if sent.residency != residency || now >= sent.residency_at + RESIDENCY_REPEAT {
            (sent.residency, sent.residency_at) = (residency.clone(), now);
            digests.residency = Some(residency);
        }
        digests
    }
}
