//! Tests of the orders that one planner core sends to one engine. The tests supply the clock, the
//! engine's reports and the outcomes of orders.

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

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A planner core with an in-memory table service that always answers, and an engine whose reports
/// and order outcomes the test supplies.
struct Harness {
    planner: PlannerCore,
    store: MemoryTable,
    now: Instant,
    report: EngineReport,
    orders: Vec<Order>,
}

impl Harness {
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
        let planner = PlannerCore::new(config, now);
        let store = MemoryTable::default();
        let mut harness = Self { planner, store, now, report, orders: Vec::new() };
        harness.handle_event(Event::Listing(Listing { vms: vec![vm], backends: vec![engine] }));
        harness.handle_event(Event::Table(Arc::new(table)));
        harness
    }

    /// Passes an event to the planner core and answers the resulting operations on the table
    /// service.
    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.step(self.now, event, &mut actions);
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
            self.handle_event(Event::StoreAnswered { op, answer });
        }
    }

    /// Advances the clock by `duration`, with an engine report twice a second.
    fn advance(&mut self, duration: Duration) {
        for tick in 0..duration.as_millis() / TICK_INTERVAL.as_millis() {
            self.now += TICK_INTERVAL;
            if tick % 5 == 0 {
                let report = self.report.clone();
                self.handle_event(Event::EngineReport { engine: BackendId::new("e"), report });
            }
            self.handle_event(Event::Tick);
        }
    }

    /// Reports the outcome of an order to the planner core.
    fn report_outcome(&mut self, order: &Order, outcome: OrderOutcome) {
        self.handle_event(Event::OrderOutcome { order: order.clone(), outcome });
    }
}

/// Guards against ordering every load twice. This happened when the planner looked up an entry in
/// the ledger row from before the load's outcome was recorded. Found by tracing the policy
/// benchmark.
#[test]
fn a_completed_load_is_not_ordered_again() {
    let mut harness = Harness::new();
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.orders.len(), 1, "{:?}", harness.orders);
    let order = harness.orders[0].clone();
    // The load takes longer than the report lag, so the last report is newer than the reservation.
    harness.advance(Duration::from_secs(4));
    harness.report_outcome(&order, OrderOutcome::Done);
    // The reports don't show the model yet after the load completed.
    harness.advance(Duration::from_secs(2));
    harness.report.resident = vec![ResidentModel { name: ModelName::new("m"), memory_bytes: 60 }];
    harness.advance(Duration::from_secs(20));
    assert_eq!(harness.orders.len(), 1, "{:?}", harness.orders);
}

#[test]
fn a_model_missing_from_its_engines_reports_is_loaded_again() {
    let mut harness = Harness::new();
    harness.advance(Duration::from_secs(3));
    let order = harness.orders[0].clone();
    harness.report_outcome(&order, OrderOutcome::Done);
    harness.advance(Duration::from_secs(10));
    assert_eq!(
        harness.orders.len(),
        2,
        "the reports never listed the model, so the planner orders another load"
    );
}

#[test]
fn a_load_whose_answer_is_lost_is_ordered_again_with_a_higher_fencing_token() {
    let mut harness = Harness::new();
    harness.advance(Duration::from_secs(3));
    let order = harness.orders[0].clone();
    harness.report_outcome(&order, OrderOutcome::Unknown);
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.orders.len(), 2, "{:?}", harness.orders);
    assert!(harness.orders[1].token > order.token);
    assert_eq!(harness.planner.status().engines[0].open_loads, 2);
}

/// Guards against a planner that takes the leases of all data centres because it starts first and
/// has no heartbeats of the preferred candidates yet. Seen in the demo.
#[test]
fn a_planner_that_starts_first_does_not_take_the_leases_of_other_data_centres() {
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
    let mut harness = Harness::new();
    let engine = BackendRecord {
        id: BackendId::new("far"),
        kind: BackendKind::Engine { enforces_fencing: true },
        data_centre: DataCentre::new("far"),
        addr,
        leaving: false,
    };
    let vms = vec![vm("vm", "dc"), vm("far-1", "far"), vm("far-2", "far"), vm("far-3", "far")];
    harness.handle_event(Event::Listing(Listing { vms, backends: vec![engine] }));
    let group = glade_types::GroupId::new("far.0");
    harness.advance(Duration::from_millis(900));
    assert_eq!(
        harness.planner.epoch_at(&group, harness.now),
        None,
        "the VMs of the engine's data centre are preferred candidates"
    );
    harness.advance(Duration::from_secs(10));
    let epoch = harness.planner.epoch_at(&group, harness.now);
    assert_eq!(
        epoch,
        Some(1),
        "no preferred candidate sent a heartbeat, so this planner takes the lease"
    );
}
