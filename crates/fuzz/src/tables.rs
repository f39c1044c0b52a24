//! Several VMs that follow the table while operators race to edit it.
//!
//! Checked after every event: no VM goes back to a lower version, and no two contents have one
//! version. Checked once faults have ended: edits reported as committed are in the history and in
//! force on every VM within five seconds, and those reported as not applied are in neither.

use {
    crate::{
        counts::FaultCounts,
        driver::World,
        faulty_store::{FaultyStore, StoreEvent, no_answer},
        timeline::Timeline,
    },
    fastrand::Rng,
    glade_membership::{
        Action, EditOutcome, EditRequest, EditStep, Event, HISTORY_PREFIX, HistoryRow, Membership,
        MembershipConfig, TableEdit, TableHead,
    },
    glade_platform::{Key, Listing, StoreError, StoredRow, Txn, TxnAnswer, VmRecord},
    glade_table::{COLUMNS, Table, TableVersion},
    glade_types::{DataCentre, Incarnation, VmId},
    glade_wire::{Envelope, PeerId, Role},
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

const VMS: usize = 4;
const ROWS: u8 = 5;
const TICK: Duration = Duration::from_millis(100);
/// Time within which an accepted change has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// One operation.
#[derive(Clone, Debug)]
pub enum TableOp {
    /// Lets time pass.
    Advance { ms: u16 },
    /// An operator changes a row through a VM, based on that VM's table.
    Edit { vm: u8, row: u8, weight: u8 },
    /// Kills a VM; a new incarnation starts at once.
    Kill { vm: u8 },
    /// Sets the store's faults.
    Store { down: bool, slow_ms: u16, loss_percent: u8 },
    /// Sets the share of peer messages that are lost, in percent.
    Peers { loss_percent: u8 },
}

impl Arbitrary for TableOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let (byte, other, short) = (u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g));
        match u8::arbitrary(g) % 12 {
            0 => Self::Kill { vm: byte },
            1 | 2 => Self::Store {
                down: byte.is_multiple_of(3),
                slow_ms: short % 1500,
                loss_percent: other % 60,
            },
            3 => Self::Peers { loss_percent: byte % 100 },
            4..=7 => Self::Edit { vm: byte, row: other % ROWS, weight: 1 + byte % 9 },
            _ => Self::Advance { ms: short % 4000 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Advance { ms } => Box::new(ms.shrink().map(|ms| Self::Advance { ms })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}

struct Vm {
    membership: Membership,
    life: u64,
    version: TableVersion,
    edits: HashMap<u64, TableEdit>,
}

#[derive(Clone, Copy, Debug)]
struct Address {
    vm: usize,
    life: u64,
}

/// Who waits for an operation on the store.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Edit(u64),
    Membership,
}

#[derive(Clone, Debug)]
enum StoreOp {
    Transact(Txn),
    Read(Key),
    Put(String, Vec<u8>),
    Load(TableHead),
}

#[derive(Debug)]
enum StoreResult {
    Transacted(Result<TxnAnswer, StoreError>),
    Row(Result<Option<StoredRow>, StoreError>),
    Stored(Result<(), StoreError>),
    Loaded(Result<Table, StoreError>),
}

enum Delivery {
    Tick,
    Message(usize, Envelope),
    StoreEffect { to: Address, waiter: Waiter, work: StoreOp, answer_after: Option<Duration> },
    StoreAnswer { to: Address, waiter: Waiter, result: StoreResult },
}

/// See the module.
pub struct TableWorld {
    time: Timeline<Delivery>,
    rng: Rng,
    store: FaultyStore,
    objects: HashMap<String, Vec<u8>>,
    peer_loss_percent: u8,
    vms: Vec<Vm>,
    contents: BTreeMap<TableVersion, Arc<Table>>,
    committed: HashMap<u64, TableVersion>,
    not_applied: HashSet<u64>,
    next_number: u64,
    violation: Option<String>,
    counts: FaultCounts,
}

fn vm_id(idx: usize) -> VmId {
    VmId::new(&format!("vm-{idx}"))
}

fn addr(idx: usize) -> SocketAddr {
    let port = u16::try_from(1000 + idx).unwrap_or(u16::MAX);
    ([127, 0, 0, 1], port).into()
}

fn listing() -> Listing {
    let vm = |idx: usize| VmRecord {
        name: vm_id(idx),
        data_centre: DataCentre::new("dc"),
        caller: addr(idx),
        operator: addr(idx),
        entry_peer: addr(idx),
        planner_peer: addr(idx + 100),
        leaving: false,
    };
    Listing { vms: (0..VMS).map(vm).collect(), backends: vec![] }
}

impl World for TableWorld {
    type Op = TableOp;

    fn new(seed: u64) -> Self {
        let mut world = Self {
            time: Timeline::new(),
            rng: Rng::with_seed(seed),
            store: FaultyStore::default(),
            objects: HashMap::new(),
            peer_loss_percent: 0,
            vms: Vec::new(),
            contents: BTreeMap::new(),
            committed: HashMap::new(),
            not_applied: HashSet::new(),
            next_number: 1,
            violation: None,
            counts: FaultCounts::default(),
        };
        for idx in 0..VMS {
            let vm = world.start_vm(idx);
            world.vms.push(vm);
        }
        for idx in 0..VMS {
            world.give(idx, Event::Listing(listing()));
        }
        world.time.schedule(Duration::ZERO, Delivery::Tick);
        world
    }

    fn apply(&mut self, op: &TableOp) {
        match *op {
            TableOp::Advance { ms } => self.advance(Duration::from_millis(u64::from(ms))),
            TableOp::Edit { vm, row, weight } => self.edit(usize::from(vm) % VMS, row, weight),
            TableOp::Kill { vm } => {
                self.counts.add("VM killed");
                let idx = usize::from(vm) % VMS;
                self.vms[idx] = self.start_vm(idx);
                self.give(idx, Event::Listing(listing()));
            }
            TableOp::Store { down, slow_ms, loss_percent } => {
                self.store.down = down;
                self.store.slow_ms = u64::from(slow_ms);
                self.store.loss_percent = loss_percent;
            }
            TableOp::Peers { loss_percent } => self.peer_loss_percent = loss_percent,
        }
    }

    fn finish(&mut self) {
        self.store.heal();
        self.peer_loss_percent = 0;
        // Late writes land and edits under way end.
        self.advance(Duration::from_secs(120));
        self.check_history();
        self.check_in_force();
        // One more edit without faults has to be in force in time.
        self.edit(0, 0, 77);
        self.advance(IN_FORCE);
        self.check_in_force();
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn counts(&self) -> &FaultCounts {
        &self.counts
    }
}

impl TableWorld {
    fn start_vm(&mut self, idx: usize) -> Vm {
        let life = self.fresh_number();
        let me = PeerId { vm: vm_id(idx), role: Role::Entry, incarnation: Incarnation(life) };
        let config = MembershipConfig {
            me,
            data_centre: DataCentre::new("dc"),
            peer_timeout: Duration::from_secs(3),
            isolation_timeout: Duration::from_secs(15),
            head_poll_interval: Duration::from_secs(2),
        };
        let membership = Membership::new(config, self.time.now());
        Vm { membership, life, version: TableVersion(0), edits: HashMap::new() }
    }

    fn fresh_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn edit(&mut self, idx: usize, row: u8, weight: u8) {
        let vm = &self.vms[idx];
        let current = Arc::clone(vm.membership.table());
        let line = format!("row-{row},model,,1,urgent,{weight},0,0,1,1,true");
        let text = format!("{}\n{line}\n", COLUMNS.join(","));
        let one = Table::parse_csv(&text, current.version).expect("the world's row is valid");
        let changed = one.rows().next().cloned().expect("the text has one row");
        let edit_id = self.fresh_number();
        let request = EditRequest {
            edit_id,
            author: "fuzz".to_owned(),
            based_on: current.version,
            edited: current.with_row(changed),
        };
        let (edit, step) = TableEdit::start(request);
        let vm = &mut self.vms[idx];
        vm.edits.insert(edit_id, edit);
        let to = Address { vm: idx, life: vm.life };
        self.act_edit(to, edit_id, step);
    }

    fn act_edit(&mut self, to: Address, edit_id: u64, step: EditStep) {
        let waiter = Waiter::Edit(edit_id);
        match step {
            EditStep::ReadRow(key) => self.store_op(to, waiter, StoreOp::Read(key)),
            EditStep::LoadTable(head) => self.store_op(to, waiter, StoreOp::Load(head)),
            EditStep::PutObject(key, body) => self.store_op(to, waiter, StoreOp::Put(key, body)),
            EditStep::Transact(txn) => self.store_op(to, waiter, StoreOp::Transact(txn)),
            EditStep::Done(outcome) => self.edit_ended(to.vm, edit_id, outcome),
        }
    }

    fn edit_ended(&mut self, idx: usize, edit_id: u64, outcome: EditOutcome) {
        self.vms[idx].edits.remove(&edit_id);
        match outcome {
            EditOutcome::Committed(table) => {
                self.committed.insert(edit_id, table.version);
                self.give(idx, Event::Table(table));
            }
            EditOutcome::Unchanged(_) => {}
            EditOutcome::Conflict(_) | EditOutcome::BaseExpired(_) => {
                self.counts.add("edits conflicted");
                self.not_applied.insert(edit_id);
            }
            EditOutcome::NotApplied(_) => {
                self.not_applied.insert(edit_id);
            }
            EditOutcome::Unknown { .. } => self.counts.add("edit outcome unknown"),
        }
    }

    fn give(&mut self, idx: usize, event: Event) {
        let mut actions = Vec::new();
        let vm = &mut self.vms[idx];
        vm.membership.step(self.time.now(), event, &mut actions);
        let to = Address { vm: idx, life: vm.life };
        for action in actions {
            self.act(to, action);
        }
    }

    fn act(&mut self, to: Address, action: Action) {
        match action {
            Action::Send(target, message) => self.send(to, target, message),
            Action::Redial(_) => {}
            Action::ReadHead => {
                let key = Key::new(glade_membership::HEAD_KEY);
                self.store_op(to, Waiter::Membership, StoreOp::Read(key));
            }
            Action::FetchTable(head) => {
                self.store_op(to, Waiter::Membership, StoreOp::Load(head));
            }
            Action::TableActivated(table) => self.in_force(to.vm, &table),
        }
    }

    fn send(&mut self, from: Address, target: SocketAddr, message: glade_wire::Message) {
        let Some(target) = (0..VMS).find(|idx| addr(*idx) == target) else { return };
        if self.rng.u8(0..100) < self.peer_loss_percent {
            self.counts.add("peer message lost");
            return;
        }
        let incarnation = Incarnation(from.life);
        let peer = PeerId { vm: vm_id(from.vm), role: Role::Entry, incarnation };
        let delay = Duration::from_millis(1 + self.rng.u64(0..10));
        self.time.schedule(delay, Delivery::Message(target, Envelope { from: peer, message }));
    }

    fn store_op(&mut self, to: Address, waiter: Waiter, work: StoreOp) {
        let fail = |error| match &work {
            StoreOp::Transact(_) => StoreResult::Transacted(Err(error)),
            StoreOp::Read(_) => StoreResult::Row(Err(error)),
            StoreOp::Put(..) => StoreResult::Stored(Err(error)),
            StoreOp::Load(_) => StoreResult::Loaded(Err(error)),
        };
        let answered = |result| Delivery::StoreAnswer { to, waiter, result };
        for event in self.store.events(&mut self.rng, &mut self.counts) {
            match event {
                StoreEvent::Fails { after, error } => {
                    self.time.schedule(after, answered(fail(error)));
                }
                StoreEvent::TakesEffect { after, answer_after } => {
                    let effect =
                        Delivery::StoreEffect { to, waiter, work: work.clone(), answer_after };
                    self.time.schedule(after, effect);
                }
            }
        }
    }

    fn advance(&mut self, by: Duration) {
        let until = self.time.elapsed() + by;
        while let Some(delivery) = self.time.next(until) {
            self.deliver(delivery);
            if self.violation.is_some() {
                return;
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick => {
                self.time.schedule(TICK, Delivery::Tick);
                (0..VMS).for_each(|idx| self.give(idx, Event::Tick));
            }
            Delivery::Message(idx, envelope) => self.give(idx, Event::Message(envelope)),
            Delivery::StoreEffect { to, waiter, work, answer_after } => {
                let result = self.effect(work);
                if let Some(after) = answer_after {
                    self.time.schedule(after, Delivery::StoreAnswer { to, waiter, result });
                }
            }
            Delivery::StoreAnswer { to, waiter, result } => self.answered(to, waiter, result),
        }
    }

    fn effect(&mut self, work: StoreOp) -> StoreResult {
        match work {
            StoreOp::Transact(txn) => StoreResult::Transacted(Ok(self.store.table.transact(&txn))),
            StoreOp::Read(key) => StoreResult::Row(Ok(self.store.table.read(&key))),
            StoreOp::Put(key, body) => {
                self.objects.insert(key, body);
                StoreResult::Stored(Ok(()))
            }
            StoreOp::Load(head) => {
                let body = self.objects.get(&head.object);
                let text = body.and_then(|body| String::from_utf8(body.clone()).ok());
                let table = text.and_then(|text| Table::parse_csv(&text, head.version).ok());
                StoreResult::Loaded(table.ok_or_else(no_answer))
            }
        }
    }

    fn answered(&mut self, to: Address, waiter: Waiter, result: StoreResult) {
        if self.vms[to.vm].life != to.life {
            return;
        }
        match waiter {
            Waiter::Edit(edit_id) => {
                let Some(edit) = self.vms[to.vm].edits.get_mut(&edit_id) else { return };
                let step = match result {
                    StoreResult::Transacted(answer) => edit.on_txn_answer(answer),
                    StoreResult::Row(answer) => edit.on_row(answer),
                    StoreResult::Stored(answer) => edit.on_object_stored(answer),
                    StoreResult::Loaded(answer) => edit.on_table(answer),
                };
                self.act_edit(to, edit_id, step);
            }
            Waiter::Membership => match result {
                StoreResult::Row(Ok(row)) => {
                    let head = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                    self.give(to.vm, Event::HeadRead(head));
                }
                StoreResult::Loaded(Ok(table)) => {
                    self.give(to.vm, Event::Table(Arc::new(table)));
                }
                _ => {}
            },
        }
    }

    /// A VM says that a table is in force from now on.
    fn in_force(&mut self, idx: usize, table: &Arc<Table>) {
        let before = self.vms[idx].version;
        if table.version < before {
            self.fail(format!("vm-{idx} went from version {before} back to {}", table.version));
        }
        self.vms[idx].version = table.version;
        let known = self.contents.entry(table.version).or_insert_with(|| Arc::clone(table));
        if known != table {
            self.fail(format!("version {} has two contents", table.version));
        }
    }

    fn check_history(&mut self) {
        let rows = self.store.table.scan(HISTORY_PREFIX);
        let rows: Vec<HistoryRow> =
            rows.iter().filter_map(|row| serde_json::from_slice(&row.value).ok()).collect();
        for (edit_id, version) in self.committed.clone() {
            let found =
                rows.iter().any(|row| row.head.version == version && row.head.edit_id == edit_id);
            if !found {
                self.fail(format!("edit {edit_id} was reported as version {version} and is not"));
            }
        }
        for row in rows {
            if self.not_applied.contains(&row.head.edit_id) {
                self.fail(format!("edit {} was reported as not applied and is", row.head.edit_id));
            }
        }
    }

    fn check_in_force(&mut self) {
        let head = self.store.table.read(&Key::new(glade_membership::HEAD_KEY));
        let Some(head) = head.and_then(|row| serde_json::from_slice::<TableHead>(&row.value).ok())
        else {
            return;
        };
        for idx in 0..VMS {
            let version = self.vms[idx].membership.table().version;
            if version != head.version {
                self.fail(format!("vm-{idx} has version {version}, not {}", head.version));
            }
        }
    }

    fn fail(&mut self, message: String) {
        let at = self.time.elapsed();
        self.violation.get_or_insert(format!("at {at:?}: {message}"));
    }
}
