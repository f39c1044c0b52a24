//! The entry's control thread: membership, the fleet, and the route table made from them.

use {
    crate::{
        events::EntryEvent,
        shared::{BackendStatus, ControlView, Shared},
    },
    glade_daemon::MembershipDriver,
    glade_fleet::{EngineView, Fleet, ServiceView},
    glade_membership::Event,
    glade_platform::Listing,
    glade_routing::{EngineEntry, Limiter, RouteTable, ServerCounters, ServiceEntry},
    glade_table::Table,
    glade_types::{BackendId, DataCentre, Incarnation, ModelName, VmId, stable_hash},
    glade_wire::{Demand, Envelope, LoadDigest, Message, Role},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period at which demand is reported to the planners of the data centre.
const DEMAND_EVERY: Duration = Duration::from_secs(1);
/// Age after which an engine's last load says nothing about whether it lives.
const LOAD_STALE: Duration = Duration::from_secs(30);
/// One-way time to a server of the same data centre.
const LOCAL_DISTANCE: Duration = Duration::from_micros(200);
/// One-way time to a server of another data centre.
const REMOTE_DISTANCE: Duration = Duration::from_micros(1500);

/// State of the control thread.
pub(crate) struct ControlThread {
    shared: Arc<Shared>,
    peers: MembershipDriver<EntryEvent>,
    fleet: Fleet,
    counters: HashMap<BackendId, Arc<ServerCounters>>,
    /// Requests of this VM under way at an engine when its last load came.
    under_way_at_report: HashMap<BackendId, u32>,
    limiters: HashMap<ModelName, Arc<Limiter>>,
    announced: BTreeSet<(BackendId, Incarnation)>,
    table_since: Option<Instant>,
    demand_at: Instant,
    entries: u32,
    /// Whether engines, residents, services or the table changed since the last route table.
    structure_changed: bool,
    loads_changed: bool,
}

impl ControlThread {
    pub(crate) fn new(shared: Arc<Shared>, peers: MembershipDriver<EntryEvent>) -> Self {
        let demand_at = shared.now();
        Self {
            shared,
            peers,
            fleet: Fleet::default(),
            counters: HashMap::new(),
            under_way_at_report: HashMap::new(),
            limiters: HashMap::new(),
            announced: BTreeSet::new(),
            table_since: None,
            demand_at,
            entries: 1,
            structure_changed: true,
            loads_changed: false,
        }
    }

    /// Takes an event, or a tick for `None`; false ends the thread.
    pub(crate) fn step(&mut self, event: Option<EntryEvent>) -> bool {
        let now = self.shared.now();
        match event {
            None => self.tick(now),
            Some(EntryEvent::Stop) => return false,
            Some(EntryEvent::Peer(event)) => self.on_peer(now, event),
            Some(EntryEvent::Edited(table)) => self.peer_step(now, Event::Table(table)),
            Some(EntryEvent::Missing { engine, incarnation, model }) => {
                self.on_missing(engine, incarnation, model);
            }
            Some(EntryEvent::Drain(vm)) => self.on_drain(now, &vm),
        }
        true
    }

    fn tick(&mut self, now: Instant) {
        self.peer_step(now, Event::Tick);
        let entries = self.peers.membership().live(now, Role::Entry).len();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        if entries != self.entries {
            self.entries = entries;
            self.structure_changed = true;
        }
        if now >= self.demand_at {
            self.demand_at = now + DEMAND_EVERY;
            self.report_demand();
        }
        self.publish(now);
    }

    fn on_peer(&mut self, now: Instant, event: Event) {
        match &event {
            Event::Message(envelope) => self.on_message(now, envelope),
            Event::Listing(listing) => self.on_listing(now, listing),
            _ => {}
        }
        self.peer_step(now, event);
    }

    fn peer_step(&mut self, now: Instant, event: Event) {
        if let Some(table) = self.peers.step(now, event) {
            log::info!("table version {} in force", table.version);
            self.table_since = Some(now);
            self.on_table(&table);
            self.publish(now);
        }
    }

    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        self.fleet.list(listing);
        self.structure_changed = true;
        let me = self.shared.vm().clone();
        if listing.vms.iter().any(|vm| vm.name == me && vm.leaving) {
            self.on_drain(now, &me);
        }
        self.announce_leaving();
    }

    fn on_message(&mut self, now: Instant, envelope: &Envelope) {
        match &envelope.message {
            Message::Loads(loads) => {
                for load in loads {
                    self.on_load(now, load.clone());
                }
                self.announce_leaving();
            }
            Message::Residency(residency) => {
                let known = self.fleet.get(&residency.engine).and_then(|e| e.residency.as_ref());
                self.structure_changed |= known.is_none_or(|(known, _)| known != residency);
                self.fleet.residency(now, residency.clone());
            }
            Message::Leaving { backend, incarnation } => {
                self.fleet.leaving(backend, *incarnation);
                self.structure_changed = true;
                self.announced.insert((backend.clone(), *incarnation));
                self.publish(now);
            }
            Message::Drain { vm } if vm == self.shared.vm() => self.on_drain(now, &vm.clone()),
            _ => {}
        }
    }

    fn on_load(&mut self, now: Instant, load: LoadDigest) {
        let under_way = self.counters.get(&load.engine).map_or(0, |c| c.in_flight());
        self.under_way_at_report.insert(load.engine.clone(), under_way);
        self.loads_changed = true;
        self.fleet.load(now, load);
    }

    /// An engine denied holding a model: stop routing there, and tell the planners.
    fn on_missing(&mut self, engine: BackendId, incarnation: Incarnation, model: ModelName) {
        self.fleet.missing(&engine, incarnation, &model);
        self.structure_changed = true;
        let message = Message::ModelMissing { engine, incarnation, model };
        self.peers.broadcast(Role::Planner, &message, |_| true);
    }

    /// Tells the other VMs of every backend server that was first seen leaving here.
    fn announce_leaving(&mut self) {
        let engines = self.fleet.iter().filter(|engine| engine.is_leaving());
        let engines = engines.map(|engine| (engine.record.id.clone(), engine.incarnation()));
        let services = self.fleet.services().filter(|service| service.leaving);
        let services = services.map(|service| (service.record.id.clone(), Incarnation(0)));
        let news: Vec<(BackendId, Incarnation)> =
            engines.chain(services).filter(|news| !self.announced.contains(news)).collect();
        for (backend, incarnation) in news {
            log::info!("{backend} is leaving");
            self.announced.insert((backend.clone(), incarnation));
            self.structure_changed = true;
            let message = Message::Leaving { backend, incarnation };
            for role in [Role::Entry, Role::Planner] {
                self.peers.broadcast(role, &message, |_| true);
            }
        }
    }

    fn on_drain(&mut self, now: Instant, vm: &VmId) {
        if vm == self.shared.vm() {
            if !self.shared.drain.is_draining() {
                log::info!("draining");
                self.shared.drain.start();
                self.peer_step(now, Event::Drain);
                self.peer_step(now, Event::Tick);
            }
            return;
        }
        let status = self.peers.membership().status(now);
        let peer = status.into_iter().find(|peer| peer.vm == *vm && peer.role == Role::Entry);
        if peer.is_some() {
            let message = Message::Drain { vm: vm.clone() };
            self.peers.broadcast(Role::Entry, &message, |_| true);
        }
    }

    fn on_table(&mut self, table: &Table) {
        self.limiters.retain(|name, _| table.row(name.as_str()).is_some());
        for row in table.rows() {
            self.limiters.entry(row.name.clone()).or_default();
        }
        self.structure_changed = true;
    }

    /// Sets every row's share of its limits for the VMs that are live now.
    fn share_limits(&self, now: Instant, table: &Table) {
        let live = self.peers.membership().live(now, Role::Entry);
        let rank = live.iter().position(|vm| vm == self.shared.vm()).unwrap_or(0);
        let (vms, rank) = (self.entries, u32::try_from(rank).unwrap_or(0));
        for row in table.rows() {
            let Some(limiter) = self.limiters.get(&row.name) else { continue };
            // Each row starts counting at another VM, so that small limits spread.
            let offset = stable_hash(row.name.as_str().as_bytes()) % u64::from(vms.max(1));
            let rank = (rank + u32::try_from(offset).unwrap_or(0)) % vms.max(1);
            limiter.set(
                Limiter::share(row.limits.concurrency, vms, rank),
                Limiter::share(row.limits.rate_per_s, vms, rank),
            );
        }
    }

    fn report_demand(&mut self) {
        let mut demands = Vec::new();
        for (model, limiter) in &self.limiters {
            let (under_way, started, missed) = limiter.take_demand();
            if under_way + started + missed > 0 {
                demands.push(Demand { model: model.clone(), in_flight: under_way as f32, missed });
            }
        }
        let data_centre = self.shared.settings.vm.data_centre.clone();
        let message = Message::DemandReport { data_centre: data_centre.clone(), demands };
        self.peers.broadcast(Role::Planner, &message, |other| *other == data_centre);
    }

    /// Publishes a new route table if anything changed, and the view for operators.
    fn publish(&mut self, now: Instant) {
        let takes_work = self.peers.membership().accepts_work(now);
        let before = self.shared.routes.load();
        let changed = self.structure_changed || self.loads_changed;
        if changed || takes_work != before.accepts_work {
            let engines = self.engine_entries(now);
            let routes = if self.structure_changed {
                let table = Arc::clone(self.peers.membership().table());
                self.share_limits(now, &table);
                RouteTable {
                    holders: Arc::new(self.holders()),
                    services: Arc::new(self.service_entries()),
                    limiters: Arc::new(self.limiters.clone()),
                    table,
                    engines,
                    entry_count: self.entries,
                    accepts_work: takes_work,
                }
            } else {
                RouteTable { engines, accepts_work: takes_work, ..RouteTable::clone(&before) }
            };
            self.shared.routes.store(Arc::new(routes));
            self.structure_changed = false;
            self.loads_changed = false;
        }
        let (peer_drops, peer_bytes) = self.peers.send_counters();
        self.shared.view.store(Arc::new(ControlView {
            peers: self.peers.membership().status(now),
            backends: self.backend_status(now),
            peer_drops,
            peer_bytes,
            table_since: self.table_since,
        }));
    }

    fn distance(&self, data_centre: &DataCentre) -> Duration {
        let local = *data_centre == self.shared.settings.vm.data_centre;
        if local { LOCAL_DISTANCE } else { REMOTE_DISTANCE }
    }

    fn counters(&mut self, id: &BackendId) -> Arc<ServerCounters> {
        Arc::clone(self.counters.entry(id.clone()).or_default())
    }

    fn engine_entries(&mut self, now: Instant) -> Vec<EngineEntry> {
        let views: Vec<EngineView> = self.fleet.iter().cloned().collect();
        views.iter().map(|view| self.engine_entry(now, view)).collect()
    }

    fn engine_entry(&mut self, now: Instant, view: &EngineView) -> EngineEntry {
        let id = &view.record.id;
        let load = view.load.as_ref();
        let at_report = self.under_way_at_report.get(id).copied().unwrap_or(0);
        EngineEntry {
            id: id.clone(),
            addr: view.record.addr,
            incarnation: view.incarnation(),
            key: stable_hash(id.as_str().as_bytes()) as u16,
            one_way_latency: self.distance(&view.record.data_centre),
            slots: load.map_or(1, |(load, _)| load.slots),
            reported_requests: load.map_or(0, |(load, _)| load.running + load.waiting),
            in_flight_at_report: at_report,
            mean_request: load.map_or(Duration::ZERO, |(load, _)| {
                Duration::from_millis(u64::from(load.mean_request_ms))
            }),
            usable: view.is_usable(now, LOAD_STALE),
            counters: self.counters(id),
        }
    }

    /// Positions of the engines that hold each model, in the order of [`Fleet::iter`].
    fn holders(&self) -> HashMap<ModelName, Vec<u32>> {
        let mut holders: HashMap<ModelName, Vec<u32>> = HashMap::new();
        for (idx, view) in (0..).zip(self.fleet.iter()) {
            let Some((residency, _)) = view.current_residency() else { continue };
            for (model, _) in &residency.resident {
                holders.entry(model.clone()).or_default().push(idx);
            }
        }
        holders
    }

    fn service_entries(&mut self) -> HashMap<ModelName, Vec<ServiceEntry>> {
        let views: Vec<ServiceView> = self.fleet.services().cloned().collect();
        let mut services: HashMap<ModelName, Vec<ServiceEntry>> = HashMap::new();
        for view in views {
            let entry = ServiceEntry {
                id: view.record.id.clone(),
                addr: view.record.addr,
                one_way_latency: self.distance(&view.record.data_centre),
                usable: !view.leaving,
                counters: self.counters(&view.record.id),
            };
            services.entry(view.service).or_default().push(entry);
        }
        services
    }

    fn backend_status(&self, now: Instant) -> Vec<BackendStatus> {
        let engines = self.fleet.iter().map(|view| {
            let load = view.load.as_ref().map(|(load, _)| load);
            let residency = view.current_residency().map(|(residency, _)| residency);
            BackendStatus {
                id: view.record.id.clone(),
                kind: "engine".to_owned(),
                data_centre: view.record.data_centre.clone(),
                addr: view.record.addr,
                incarnation: view.incarnation(),
                usable: view.is_usable(now, LOAD_STALE),
                leaving: view.is_leaving(),
                running: load.map_or(0, |load| load.running),
                waiting: load.map_or(0, |load| load.waiting),
                slots: load.map_or(0, |load| load.slots),
                memory_bytes: residency.map_or(0, |residency| residency.memory_bytes),
                resident: residency.map_or(vec![], |residency| {
                    residency.resident.iter().map(|(name, _)| name.to_string()).collect()
                }),
            }
        });
        let services = self.fleet.services().map(|view| BackendStatus {
            id: view.record.id.clone(),
            kind: view.service.to_string(),
            data_centre: view.record.data_centre.clone(),
            addr: view.record.addr,
            incarnation: Incarnation(0),
            usable: !view.leaving,
            leaving: view.leaving,
            running: 0,
            waiting: 0,
            slots: 0,
            memory_bytes: 0,
            resident: vec![],
        });
        engines.chain(services).collect()
    }
}
