//! One planner over one engine, driven by hand: which orders go out, and when.

use {
    glade_control::{Action, Event, PlannerConfig, PlannerCore, StoreAnswer},
    glade_engine::{EngineReport, Order, OrderOutcome, ResidentModel},
    glade_placement::PlacementPolicy,
    glade_platform::{BackendKind, BackendRecord, Listing, MemoryTable, VmRecord},
    glade_table::{COLUMNS, Table, TableVersion},
    glade_types::{BackendId, DataCentre, Incarnation, ModelName, VmId},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(100);

/// A planner with a store that always answers, and an engine whose answers the test gives.
struct Bench {
    control: PlannerCore,
    store: MemoryTable,
    now: Instant,
    report: EngineReport,
    orders: Vec<Order>,
}

impl Bench {
    fn new() -> Self {
        let (now, data_centre) = (Instant::now(), DataCentre::new("dc"));
        let config = PlannerConfig {
            vm: VmId::new("vm"),
            incarnation: Incarnation(1),
            data_centre: data_centre.clone(),
            lease_duration: Duration::from_secs(4),
            lease_renew_interval: Duration::from_secs(1),
            max_report_age: Duration::from_secs(3),
            max_report_lag: Duration::from_secs(2),
            loads_per_s: 10.0,
            max_concurrent_loads: 6,
            groups_per_data_centre: 1,
            policy: PlacementPolicy::default(),
            seed: 1,
        };
        let addr = ([127, 0, 0, 1], 1).into();
        let vm = VmRecord {
            name: VmId::new("vm"),
            data_centre: data_centre.clone(),
            caller: addr,
            operator: addr,
            entry_peer: addr,
            planner_peer: addr,
            leaving: false,
        };
        let engine = BackendRecord {
            id: BackendId::new("e"),
            kind: BackendKind::Engine { enforces_fencing: false },
            data_centre,
            addr,
            leaving: false,
        };
        let text = format!("{}\nm,model,,60,urgent,1,0,0,1600,26,true\n", COLUMNS.join(","));
        let table = Table::parse_csv(&text, TableVersion(1)).expect("valid table");
        let report = EngineReport {
            incarnation: Incarnation(1),
            memory_bytes: 100,
            accelerators: 1,
            running: 0,
            waiting: 0,
            slots: 8,
            mean_request: Duration::ZERO,
            leaving: false,
            resident: vec![],
        };
        let control = PlannerCore::new(config, now);
        let store = MemoryTable::default();
        let mut bench = Self { control, store, now, report, orders: Vec::new() };
        bench.give(Event::Listing(Listing { vms: vec![vm], backends: vec![engine] }));
        bench.give(Event::Table(Arc::new(table)));
        bench
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.control.step(self.now, event, &mut actions);
        for action in actions {
            let (op, answer) = match action {
                Action::Transact { op, txn } => {
                    (op, StoreAnswer::Transacted(Ok(self.store.transact(&txn))))
                }
                Action::Read { op, key } => (op, StoreAnswer::Read(Ok(self.store.read(&key)))),
                Action::Scan { op, prefix } => {
                    (op, StoreAnswer::Scanned(Ok(self.store.scan(&prefix))))
                }
                Action::SendOrder { order, .. } => {
                    self.orders.push(order);
                    continue;
                }
            };
            self.give(Event::StoreAnswered { op, answer });
        }
    }

    /// Lets time pass, with the engine's report twice a second.
    fn run(&mut self, time: Duration) {
        for tick in 0..time.as_millis() / TICK.as_millis() {
            self.now += TICK;
            if tick % 5 == 0 {
                let report = self.report.clone();
                self.give(Event::EngineReport { engine: BackendId::new("e"), report });
            }
            self.give(Event::Tick);
        }
    }

    fn settle(&mut self, order: &Order, outcome: OrderOutcome) {
        self.give(Event::OrderOutcome { order: order.clone(), outcome });
    }
}

/// Found by tracing the policy bench: every load was ordered twice, because the settled entry was
/// still looked up in the row from before its settlement.
#[test]
fn a_load_that_is_answered_is_not_ordered_again() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(3));
    assert_eq!(bench.orders.len(), 1, "{:?}", bench.orders);
    let order = bench.orders[0].clone();
    // The load takes longer than reports lag, so the last report is newer than the reservation.
    bench.run(Duration::from_secs(4));
    bench.settle(&order, OrderOutcome::Done);
    // The reports lag behind the answer.
    bench.run(Duration::from_secs(2));
    bench.report.resident = vec![ResidentModel { name: ModelName::new("m"), memory_bytes: 60 }];
    bench.run(Duration::from_secs(20));
    assert_eq!(bench.orders.len(), 1, "{:?}", bench.orders);
}

#[test]
fn a_model_that_vanishes_from_its_engine_is_loaded_again() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(3));
    let order = bench.orders[0].clone();
    bench.settle(&order, OrderOutcome::Done);
    bench.run(Duration::from_secs(10));
    assert_eq!(bench.orders.len(), 2, "the reports never showed the model");
}

#[test]
fn a_load_without_an_answer_is_ordered_again_with_a_higher_token() {
    let mut bench = Bench::new();
    bench.run(Duration::from_secs(3));
    let order = bench.orders[0].clone();
    bench.settle(&order, OrderOutcome::Unknown);
    bench.run(Duration::from_secs(3));
    assert_eq!(bench.orders.len(), 2, "{:?}", bench.orders);
    assert!(bench.orders[1].token > order.token);
    assert_eq!(bench.control.status().engines[0].open_loads, 2);
}

/// Found in the demo: the planner that started first took the leases of all data centres.
#[test]
fn a_planner_that_starts_first_leaves_other_data_centres_to_their_own() {
    let addr = ([127, 0, 0, 1], 1).into();
    let vm = |name: &str, data_centre: &str| VmRecord {
        name: VmId::new(name),
        data_centre: DataCentre::new(data_centre),
        caller: addr,
        operator: addr,
        entry_peer: addr,
        planner_peer: addr,
        leaving: false,
    };
    let mut bench = Bench::new();
    let engine = BackendRecord {
        id: BackendId::new("far"),
        kind: BackendKind::Engine { enforces_fencing: true },
        data_centre: DataCentre::new("far"),
        addr,
        leaving: false,
    };
    let vms = vec![vm("vm", "dc"), vm("far-1", "far"), vm("far-2", "far"), vm("far-3", "far")];
    bench.give(Event::Listing(Listing { vms, backends: vec![engine] }));
    let group = glade_types::GroupId::new("far.0");
    bench.run(Duration::from_millis(900));
    assert_eq!(bench.control.epoch_at(&group, bench.now), None, "far VMs are preferred");
    bench.run(Duration::from_secs(10));
    let epoch = bench.control.epoch_at(&group, bench.now);
    assert_eq!(epoch, Some(1), "none of them was ever heard, so it helps out");
}
