//! What one process knows of the backend servers of the deployment, from the VM list and from
//! reports that watchers pass on.
//!
//! Both sources lag. Two rules keep old news from undoing newer news: a report of an earlier
//! incarnation changes nothing, and leaving is sticky for the incarnation that was seen leaving.
//! The crate holds the view only; what follows from it is decided by the planner's core and by
//! routing.

use {
    glade_engine::{EngineReport, ResidentModel},
    glade_platform::{BackendKind, BackendRecord, Listing},
    glade_types::{BackendId, Bytes, Incarnation, ModelName},
    glade_wire::{LoadDigest, Residency},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// What watchers pass on of an engine's report: its load, and its contents in the order of names.
pub fn digests(engine: &BackendId, report: &EngineReport) -> (LoadDigest, Residency) {
    let load = LoadDigest {
        engine: engine.clone(),
        incarnation: report.incarnation,
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        mean_request_ms: u32::try_from(report.mean_request.as_millis()).unwrap_or(u32::MAX),
        leaving: report.leaving,
    };
    let resident = report.resident.iter().map(|held| (held.name.clone(), held.memory_bytes));
    let mut resident: Vec<(ModelName, Bytes)> = resident.collect();
    resident.sort();
    let residency = Residency {
        engine: engine.clone(),
        incarnation: report.incarnation,
        memory_bytes: report.memory_bytes,
        accelerators: report.accelerators,
        resident,
    };
    (load, residency)
}

/// One engine as known from the VM list and from reports.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// What the VM list says of it.
    pub record: BackendRecord,
    /// Its last load, and when it came.
    pub load: Option<(LoadDigest, Instant)>,
    /// Its last contents, and when they came.
    pub residency: Option<(Residency, Instant)>,
    /// Incarnation in which the engine was first seen leaving.
    leaving_in: Option<Incarnation>,
}

impl EngineView {
    fn new(record: BackendRecord) -> Self {
        Self { record, load: None, residency: None, leaving_in: None }
    }

    /// Takes what the VM list says; a server that is listed as leaving stays so for this life.
    fn listed(mut self, record: &BackendRecord) -> Self {
        if record.leaving {
            self.leaving_in = self.leaving_in.max(Some(self.incarnation()));
        }
        self.record = record.clone();
        self
    }

    /// The incarnation last reported.
    pub fn incarnation(&self) -> Incarnation {
        let load = self.load.as_ref().map(|(load, _)| load.incarnation);
        let residency = self.residency.as_ref().map(|(residency, _)| residency.incarnation);
        load.max(residency).unwrap_or_default()
    }

    /// The residency of the present incarnation.
    pub fn current_residency(&self) -> Option<&(Residency, Instant)> {
        let incarnation = self.incarnation();
        self.residency.as_ref().filter(|(residency, _)| residency.incarnation == incarnation)
    }

    /// True once the list or a report said so, for the rest of the incarnation.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving
            || self.leaving_in.is_some_and(|incarnation| incarnation >= self.incarnation())
    }

    /// True if the engine reported lately and may get new work.
    pub fn is_usable(&self, now: Instant, stale: Duration) -> bool {
        let fresh = self.load.as_ref().is_some_and(|(_, at)| now < *at + stale);
        fresh && !self.is_leaving()
    }

    /// True if the engine reported lately that it holds `model`.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.current_residency()
            .is_some_and(|(residency, _)| residency.resident.iter().any(|(name, _)| name == model))
    }

    /// Requests in the batch and waiting, for each place in the batch.
    pub fn utilization(&self) -> f64 {
        self.load.as_ref().map_or(0.0, |(load, _)| {
            f64::from(load.running + load.waiting) / f64::from(load.slots.max(1))
        })
    }

    /// The last report as the ledger takes it.
    pub fn report(&self) -> Option<EngineReport> {
        let (residency, _) = self.current_residency()?;
        let (load, _) = self.load.as_ref()?;
        Some(EngineReport {
            incarnation: residency.incarnation,
            memory_bytes: residency.memory_bytes,
            accelerators: residency.accelerators,
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            mean_request: Duration::from_millis(u64::from(load.mean_request_ms)),
            leaving: load.leaving,
            resident: residency
                .resident
                .iter()
                .map(|(name, memory_bytes)| ResidentModel {
                    name: name.clone(),
                    memory_bytes: *memory_bytes,
                })
                .collect(),
        })
    }
}

/// A server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// What the VM list says of it.
    pub record: BackendRecord,
    /// The service it serves.
    pub service: ModelName,
    /// Set once the list said that it is leaving, until it disappears from the list.
    pub leaving: bool,
}

/// All backend servers by name.
#[derive(Debug, Default)]
pub struct Fleet {
    engines: BTreeMap<BackendId, EngineView>,
    services: BTreeMap<BackendId, ServiceView>,
}

impl Fleet {
    /// Takes the servers of the VM list; those no longer listed are forgotten.
    pub fn list(&mut self, listing: &Listing) {
        let mut engines = std::mem::take(&mut self.engines);
        let mut services = std::mem::take(&mut self.services);
        for record in &listing.backends {
            match &record.kind {
                BackendKind::Engine { .. } => {
                    let view = engines.remove(&record.id);
                    let view = view.unwrap_or_else(|| EngineView::new(record.clone()));
                    self.engines.insert(record.id.clone(), view.listed(record));
                }
                BackendKind::Service(service) => {
                    let known = services.remove(&record.id);
                    let was_leaving =
                        known.is_some_and(|view| view.leaving && view.record.addr == record.addr);
                    let view = ServiceView {
                        record: record.clone(),
                        service: service.clone(),
                        leaving: record.leaving || was_leaving,
                    };
                    self.services.insert(record.id.clone(), view);
                }
            }
        }
    }

    /// The engine called `engine`.
    pub fn get(&self, engine: &BackendId) -> Option<&EngineView> {
        self.engines.get(engine)
    }

    /// All engines in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &EngineView> {
        self.engines.values()
    }

    /// All servers of plain services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceView> {
        self.services.values()
    }
    /// Takes a load digest unless it is from an earlier incarnation.
    pub fn load(&mut self, now: Instant, digest: LoadDigest) {
        let Some(view) = self.engines.get_mut(&digest.engine) else { return };
        if digest.incarnation < view.incarnation() {
            return;
        }
        if digest.leaving {
            view.leaving_in = view.leaving_in.max(Some(digest.incarnation));
        }
        view.load = Some((digest, now));
    }

    /// Takes a residency unless it is from an earlier incarnation.
    pub fn residency(&mut self, now: Instant, residency: Residency) {
        let Some(view) = self.engines.get_mut(&residency.engine) else { return };
        if residency.incarnation >= view.incarnation() {
            view.residency = Some((residency, now));
        }
    }

    /// Notes that a backend server is leaving; a plain service's server has no incarnation.
    pub fn leaving(&mut self, engine: &BackendId, incarnation: Incarnation) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.leaving_in = view.leaving_in.max(Some(incarnation));
        }
        if let Some(view) = self.services.get_mut(engine) {
            view.leaving = true;
        }
    }

    /// Takes note that an engine denied holding a model it was reported to hold.
    pub fn missing(&mut self, engine: &BackendId, at: Incarnation, model: &ModelName) {
        let Some(view) = self.engines.get_mut(engine) else { return };
        if let Some((residency, _)) = &mut view.residency
            && residency.incarnation == at
        {
            residency.resident.retain(|(name, _)| name != model);
        }
    }
}

#[cfg(test)]
mod tests {
    use {super::*, glade_types::DataCentre};

    fn listing(leaving: bool) -> Listing {
        let record = BackendRecord {
            id: BackendId::new("e"),
            kind: BackendKind::Engine { enforces_fencing: true },
            data_centre: DataCentre::new("dc"),
            addr: ([127, 0, 0, 1], 1).into(),
            leaving,
        };
        Listing { vms: vec![], backends: vec![record] }
    }

    fn load(incarnation: u64, leaving: bool) -> LoadDigest {
        LoadDigest {
            engine: BackendId::new("e"),
            incarnation: Incarnation(incarnation),
            running: 0,
            waiting: 0,
            slots: 1,
            mean_request_ms: 0,
            leaving,
        }
    }

    #[test]
    fn leaving_is_sticky_for_the_incarnation_although_the_list_flaps() {
        let (mut fleet, now) = (Fleet::default(), Instant::now());
        let stale = Duration::from_secs(3);
        let usable = |fleet: &Fleet| fleet.iter().next().is_some_and(|e| e.is_usable(now, stale));
        fleet.list(&listing(false));
        fleet.load(now, load(1, false));
        assert!(usable(&fleet));
        fleet.list(&listing(true));
        fleet.list(&listing(false));
        fleet.load(now, load(1, false));
        assert!(!usable(&fleet), "the list's change of mind must not bring it back");
        fleet.load(now, load(2, false));
        assert!(usable(&fleet), "a restarted engine is a new one");
        fleet.load(now, load(1, true));
        assert!(usable(&fleet), "news of an earlier life change nothing");
    }
}
