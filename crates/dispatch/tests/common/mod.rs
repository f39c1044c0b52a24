//! Fixture of a dispatcher with engines.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod simulation;

use {
    glade_catalog::{
        CallerLimits, Catalog, EngineClass, ModelSpec, ServerKey, ServerRecord, ServerState,
        Service,
    },
    glade_dispatch::{
        ClusterView, Dispatcher, Load, RequestSpec, RetryLimit, ServerIdx, ServerView, Verdict,
    },
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Requests that an engine processes at once.
pub const SLOTS: u32 = 32;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

pub struct Fixture {
    pub now: Instant,
    pub view: ClusterView,
    pub dispatcher: Dispatcher,
}

impl Fixture {
    /// Returns a fixture with engines `e0`, `e1` and so on, each with the given resident models.
    pub fn engines(holds: &[&[&str]]) -> Self {
        let now = Instant::now();
        let servers = holds.iter().enumerate().map(|(number, held)| server(number, held)).collect();
        let view = ClusterView {
            catalog: Some(Arc::new(catalog())),
            catalog_is_outdated: false,
            servers,
            models_ready_at: HashMap::new(),
            has_coordinator: false,
            live_vms: 8,
            vm_position: 0,
            known_vms: 8,
            quarantine: Arc::default(),
        };
        let limit = RetryLimit { share: 0.2, window: Duration::from_secs(10), reserve: 56.0 };
        let mut fixture = Self { now, view, dispatcher: Dispatcher::new(limit, 1) };
        fixture.update_view();
        fixture
    }

    pub fn update_view(&mut self) {
        self.dispatcher.update_view(self.now, &self.view);
    }

    /// Has the model `name` be expected at an engine of the software version of `server` after `wait`.
    pub fn expect_model(&mut self, name: &str, server: usize, wait: Duration) {
        let version = self.view.servers[server].record.version_hash();
        let by_version = self.view.models_ready_at.entry(model(name)).or_default();
        by_version.insert(version, self.now + wait);
        self.update_view();
    }

    /// Sets the number of slots of all engines.
    pub fn set_slots(&mut self, slots: u32) {
        for server in &mut self.view.servers {
            let record = ServerRecord { slots, ..ServerRecord::clone(&server.record) };
            server.record = Arc::new(record);
        }
        self.update_view();
    }

    /// Replaces the registry records of all engines by new copies.
    pub fn rewrite_records(&mut self) {
        for server in &mut self.view.servers {
            server.record = Arc::new(ServerRecord::clone(&server.record));
        }
        self.update_view();
    }

    /// Returns a chat request that arrives now.
    pub fn request(&self, name: &str, prompt_tokens: u32) -> RequestSpec {
        RequestSpec {
            service: ServiceName::new("pool"),
            model: Some(model(name)),
            prompt_tokens,
            output_tokens: 200,
            output_tokens_max: 500,
            tokens_per_event: 5,
            prompt_prefix_id: None,
            team: None,
            rank: 0,
            objective: ms(400),
            pause_limit: Some(ms(300)),
            arrived_at: self.now,
            model_load: Duration::from_secs(3),
            model_load_min: ms(300),
            first_byte_deadline: self.now + ms(2400),
            seed: 0,
            is_continuation: false,
            software_version: None,
        }
    }

    pub fn decide(&self, request: &RequestSpec, tried: &[ServerIdx]) -> Verdict {
        self.dispatcher.decide(self.now, request, tried)
    }

    /// Returns the server that `request` is sent to.
    pub fn chosen_server(&self, request: &RequestSpec) -> ServerIdx {
        match self.decide(request, &[]) {
            Verdict::Send(server) => server,
            other => panic!("{other:?}"),
        }
    }

    /// Returns all servers that `request` may be sent to.
    pub fn eligible_servers(&self, request: &RequestSpec) -> Vec<ServerIdx> {
        let mut servers = Vec::new();
        while let Verdict::Send(server) = self.decide(request, &servers) {
            servers.push(server);
        }
        servers
    }

    pub fn name(&self, server: ServerIdx) -> String {
        self.dispatcher.record(server).key.id.to_string()
    }
}

fn server(number: usize, holds: &[&str]) -> ServerView {
    ServerView {
        record: Arc::new(ServerRecord {
            key: ServerKey { id: BackendId::new(&format!("e{number}")), start_time_ms: 1 },
            service: ServiceName::new("pool"),
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: DataCentre::new("dc-1"),
            version: SoftwareVersion::new("v1"),
            slots: SLOTS,
            state: ServerState::Ready,
            warm_up_remaining: Duration::ZERO,
            residents: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }),
        usable: true,
        same_data_centre: true,
        resident_models: Arc::new(holds.iter().map(|name| model(name)).collect()),
        other_vms_load: Load::default(),
        limit: None,
    }
}

fn spec(name: &str) -> ModelSpec {
    ModelSpec {
        name: model(name),
        weights_mb: 1.0,
        load_from_store: Duration::from_secs(3),
        load_from_memory: ms(300),
        load_from_disk: ms(300),
        adapters: 2,
        adapter_mb: 0.1,
    }
}

fn catalog() -> Catalog {
    let engine_class = EngineClass {
        batch_slots: SLOTS,
        kv_capacity_tokens: 100_000,
        kv_token_bytes: 1,
        tokens_per_event: 5,
        weights_capacity_mb: 0.0,
        adapter_slots: 0,
        memory_copies_mb: 0.0,
        disk_copies_mb: 0.0,
        reservation_max: Duration::ZERO,
        store_loads_per_s: 1.0,
        models: ["m", "n"].map(spec).to_vec(),
    };
    let service = Service {
        name: ServiceName::new("pool"),
        connection_limit: 100,
        engine_class: Some(engine_class),
    };
    Catalog::new(1, CallerLimits::default(), Vec::new(), vec![service])
}
