//! Tables, engines and planners of a given size.

use {
    glade_control::{Control, ControlConfig, Event},
    glade_engine::{EngineReport, OrderOutcome, ResidentModel},
    glade_ledger::Ledger,
    glade_placement::{EngineInput, ModelDemand, Move, PlacementInput, PlacementPolicy, plan},
    glade_platform::{BackendKind, BackendRecord, Listing, VmRecord},
    glade_routing::{Decision, EngineEntry, Need, PrefixMemory, RouteTable, RoutingPolicy, decide},
    glade_table::{COLUMNS, Table, TableVersion},
    glade_types::{BackendId, DataCentre, Incarnation, ModelName, Priority, VmId},
    glade_wire::{LoadDigest, Residency},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const GIB: u64 = 1 << 30;
const ENGINE_MEMORY_BYTES: u64 = 320 * GIB;

/// How much of everything there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Model engines.
    pub engines: usize,
    /// Base models.
    pub models: usize,
    /// Adapters for each base model.
    pub adapters_per_model: usize,
}

impl Sizes {
    /// The whole deployment to design for. 760 rows of models, a fifth of them base models.
    pub const WHOLE: Self = Self { engines: 880, models: 152, adapters_per_model: 4 };
    /// One of its data centres.
    pub const DATA_CENTRE: Self = Self { engines: 147, models: 152, adapters_per_model: 4 };

    /// Models and adapters.
    pub fn rows(&self) -> usize {
        self.models * (1 + self.adapters_per_model)
    }
}

/// The operators' table.
pub fn table(sizes: Sizes) -> Table {
    let mut text = COLUMNS.join(",") + "\n";
    for model in 0..sizes.models {
        let bytes = (20 + (model as u64 % 5) * 10) * GIB;
        text += &format!("model-{model:03},model,,{bytes},urgent,1,0,0,1600,26,true\n");
        for adapter in 0..sizes.adapters_per_model {
            text += &format!(
                "model-{model:03}-adapter-{adapter},adapter,model-{model:03},{GIB},urgent,1,0,0,\
                 1600,26,true\n"
            );
        }
    }
    Table::parse_csv(&text, TableVersion(1)).expect("the table is valid")
}

fn engine_id(idx: usize) -> BackendId {
    BackendId::new(&format!("engine-{idx:03}"))
}

/// Models on engine number `idx`: a few bases with all their adapters.
fn contents(sizes: Sizes, idx: usize) -> Vec<(String, u64, Option<String>)> {
    let mut contents = Vec::new();
    for offset in 0..4 {
        let model = (idx * 4 + offset) % sizes.models;
        let base = format!("model-{model:03}");
        contents.push((base.clone(), (20 + (model as u64 % 5) * 10) * GIB, None));
        for adapter in 0..sizes.adapters_per_model {
            contents.push((format!("{base}-adapter-{adapter}"), GIB, Some(base.clone())));
        }
    }
    contents
}

fn report(sizes: Sizes, idx: usize) -> EngineReport {
    EngineReport {
        incarnation: Incarnation(1_796_344_967_201),
        memory_bytes: ENGINE_MEMORY_BYTES,
        accelerators: 4,
        running: 20,
        waiting: 3,
        slots: 64,
        mean_request: Duration::from_millis(1800),
        leaving: false,
        resident: contents(sizes, idx)
            .into_iter()
            .map(|(name, memory_bytes, _)| ResidentModel {
                name: ModelName::new(&name),
                memory_bytes,
            })
            .collect(),
    }
}

/// The ledgers of all engines.
pub fn ledgers(sizes: Sizes) -> Vec<Ledger> {
    (0..sizes.engines)
        .map(|idx| {
            let empty = EngineReport { resident: vec![], ..report(sizes, idx) };
            let mut ledger = Ledger::first(&engine_id(idx), true, &empty);
            for (name, bytes, base) in contents(sizes, idx) {
                let base = base.map(|base| ModelName::new(&base));
                let order = ledger.begin_load(&ModelName::new(&name), bytes, base.as_ref());
                ledger.settle(&order.expect("the contents fit"), OrderOutcome::Done);
            }
            ledger
        })
        .collect()
}

/// One placement pass over all `ledgers` as one group, with demand for every row.
pub fn run_placement(table: &Table, ledgers: &[Ledger]) -> Vec<Move> {
    let demand = table.rows().enumerate().map(|(idx, row)| {
        let under_way = if idx % 40 == 0 { 120.0 } else { 2.0 };
        (row.name.clone(), ModelDemand { under_way, missed_per_s: 0.0 })
    });
    let engines = ledgers.iter().enumerate().map(|(idx, ledger)| EngineInput {
        ledger,
        usable: true,
        utilization: (idx % 10) as f64 / 10.0,
        slots: 64,
    });
    plan(&PlacementInput {
        table,
        engines: engines.collect(),
        owed: table.rows().map(|row| &row.name).collect(),
        elsewhere: HashMap::new(),
        demand: demand.collect(),
        policy: PlacementPolicy::default(),
    })
}

/// Loads of all engines as a watcher sends them.
pub fn load_digests(sizes: Sizes) -> Vec<LoadDigest> {
    (0..sizes.engines)
        .map(|idx| LoadDigest {
            engine: engine_id(idx),
            incarnation: Incarnation(1_796_344_967_201),
            running: 20,
            waiting: 3,
            slots: 64,
            mean_request_ms: 1800,
            leaving: false,
        })
        .collect()
}

/// Contents of one engine as a watcher sends them.
pub fn residency(sizes: Sizes, idx: usize) -> Residency {
    let resident = contents(sizes, idx).into_iter();
    Residency {
        engine: engine_id(idx),
        incarnation: Incarnation(1_796_344_967_201),
        memory_bytes: ENGINE_MEMORY_BYTES,
        accelerators: 4,
        resident: resident.map(|(name, bytes, _)| (ModelName::new(&name), bytes)).collect(),
    }
}

/// A route table in which each model is held by `holders` engines.
pub fn route_table(sizes: Sizes, holders: usize) -> RouteTable {
    let table = table(sizes);
    let engines = (0..sizes.engines).map(|idx| EngineEntry {
        id: engine_id(idx),
        addr: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        key: idx as u16,
        distance: Duration::from_micros(200),
        slots: 64,
        reported: (idx % 50) as u32,
        under_way_at_report: 0,
        mean_request: Duration::from_millis(1800),
        usable: true,
        counters: Arc::default(),
    });
    let positions = |row: usize| {
        (0..holders.min(sizes.engines))
            .map(|nth| u32::try_from((row + nth * 7) % sizes.engines).unwrap_or(0))
            .collect::<Vec<u32>>()
    };
    let held = table.rows().enumerate().map(|(idx, row)| (row.name.clone(), positions(idx)));
    RouteTable {
        holders: Arc::new(held.collect()),
        engines: engines.collect(),
        table: Arc::new(table),
        entries: 65,
        takes_work: true,
        ..RouteTable::default()
    }
}

/// One routing decision.
pub fn decide_once(
    routes: &RouteTable,
    model: &ModelName,
    prefixes: &PrefixMemory,
    rng: &mut fastrand::Rng,
) -> Decision {
    let need = Need {
        model,
        priority: Priority::Urgent,
        first_token_within: Duration::from_millis(1600),
        prefix: 42,
        waited: Duration::ZERO,
        avoid: None,
    };
    let policy = RoutingPolicy::default();
    decide(routes, &policy, prefixes, &need, Duration::from_secs(1), rng)
}

/// A planner of one data centre that knows everything but holds no lease: what every node's planner
/// does all the time.
pub fn planner_at_work(sizes: Sizes, now: Instant) -> Control {
    let addr = ([127, 0, 0, 1], 1).into();
    let data_centre = DataCentre::new("dc-1");
    let config = ControlConfig {
        vm: VmId::new("vm-000"),
        incarnation: Incarnation(1),
        data_centre: data_centre.clone(),
        lease: Duration::from_secs(4),
        lease_renew: Duration::from_secs(1),
        report_stale: Duration::from_secs(3),
        report_lag: Duration::from_secs(2),
        loads_per_s: 20.0,
        loads_at_once: 60,
        groups_per_data_centre: 18,
        policy: PlacementPolicy::default(),
        seed: 1,
    };
    let mut control = Control::new(config, now);
    let vms = (0..65).map(|idx| VmRecord {
        name: VmId::new(&format!("vm-{idx:03}")),
        data_centre: data_centre.clone(),
        caller: addr,
        operator: addr,
        entry_peer: addr,
        planner_peer: addr,
        leaving: false,
    });
    let backends = (0..sizes.engines).map(|idx| BackendRecord {
        id: engine_id(idx),
        kind: BackendKind::Engine { enforces_fencing: true },
        data_centre: data_centre.clone(),
        addr,
        leaving: false,
    });
    let listing = Listing { vms: vms.collect(), backends: backends.collect() };
    let live = listing.vms.iter().map(|vm| vm.name.clone()).collect();
    let mut actions = Vec::new();
    let mut give = |event| control.step(now, event, &mut actions);
    give(Event::Listing(listing));
    give(Event::LivePlanners(live));
    give(Event::Table(Arc::new(table(sizes))));
    for idx in 0..sizes.engines {
        give(Event::Residency(residency(sizes, idx)));
    }
    load_digests(sizes).into_iter().for_each(|load| give(Event::Load(load)));
    control
}
