//! Several VMs with calls that may run at most once.
//!
//! Checked after every event: no call was executed twice, and no attempt that was told "not run"
//! had executed.

use {
    crate::{
        counts::FaultCounts,
        driver::World,
        faulty_store::{FaultyStore, StoreEvent},
        timeline::Timeline,
    },
    fastrand::Rng,
    glade_once::{
        CallReply, CallStep, KeyedCall, Owner, StoredAnswer, Token, TokenDecision, TokenRegistry,
    },
    glade_platform::{Key, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{CallOutcome, Incarnation, VmId},
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

const VMS: usize = 3;
const KEYS: u8 = 8;
const TOKEN_TTL: Duration = Duration::from_secs(60);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// One operation.
#[derive(Clone, Debug)]
pub enum CallOp {
    /// Lets time pass.
    Advance { ms: u16 },
    /// A caller presents its own key at a VM.
    Keyed { vm: u8, key: u8 },
    /// A VM issues a token to the caller of this number.
    Issue { vm: u8, caller: u8 },
    /// The caller presents its token at a VM.
    WithToken { vm: u8, caller: u8 },
    /// Kills a VM; a new incarnation starts at once.
    Kill { vm: u8 },
    /// Sets the store's faults.
    Store { down: bool, slow_ms: u16, loss_percent: u8 },
    /// Sets the share of dispatches that go wrong, in percent.
    Service { fault_percent: u8 },
}

impl Arbitrary for CallOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let (byte, other, short) = (u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0 => Self::Kill { vm: byte },
            1 => Self::Store {
                down: byte.is_multiple_of(3),
                slow_ms: short % 1500,
                loss_percent: other % 60,
            },
            2 => Self::Service { fault_percent: byte % 80 },
            3..=8 => Self::Keyed { vm: byte, key: other % KEYS },
            9 => Self::Issue { vm: byte, caller: other % KEYS },
            10 | 11 => Self::WithToken { vm: byte, caller: other % KEYS },
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

/// An attempt at a call, unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptId(u64);

/// What the call is known by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallName {
    Key(u8),
    Token(String),
}

/// One VM incarnation.
struct Vm {
    life: u64,
    tokens: TokenRegistry,
    abandoned: HashSet<Owner>,
    attempts: HashMap<AttemptId, KeyedCall>,
}

#[derive(Debug)]
enum StoreResult {
    Written(Result<TxnAnswer, StoreError>),
    Read(Result<Option<StoredRow>, StoreError>),
}

#[derive(Clone, Debug)]
enum StoreOp {
    Transact(Txn),
    Read(Key),
}

#[derive(Clone, Copy, Debug)]
struct Address {
    vm: usize,
    life: u64,
}

enum Delivery {
    StoreEffect {
        to: Address,
        attempt: Option<AttemptId>,
        work: StoreOp,
        answer_after: Option<Duration>,
    },
    StoreAnswer {
        to: Address,
        attempt: Option<AttemptId>,
        result: StoreResult,
    },
    /// A request reaches the service.
    Executes {
        call: CallName,
        attempt: AttemptId,
    },
    /// The VM learns what became of its dispatch.
    Outcome {
        to: Address,
        call: CallName,
        attempt: AttemptId,
        outcome: CallOutcome,
    },
}

/// See the module.
pub struct CallWorld {
    time: Timeline<Delivery>,
    rng: Rng,
    store: FaultyStore,
    service_fault_percent: u8,
    vms: Vec<Vm>,
    tokens: HashMap<u8, Token>,
    executions: HashMap<CallName, u32>,
    executed: HashSet<AttemptId>,
    not_run: HashSet<AttemptId>,
    next_attempt: u64,
    next_life: u64,
    violation: Option<String>,
    counts: FaultCounts,
}

fn vm_id(idx: usize) -> VmId {
    VmId::new(&format!("vm-{idx}"))
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, content_type: None, body: b"done".to_vec() }
}

/// Every caller's request has the same hash under its key.
const REQUEST_HASH: u64 = 7;

impl World for CallWorld {
    type Op = CallOp;

    fn new(seed: u64) -> Self {
        let mut world = Self {
            time: Timeline::new(),
            rng: Rng::with_seed(seed),
            store: FaultyStore::default(),
            service_fault_percent: 0,
            vms: Vec::new(),
            tokens: HashMap::new(),
            executions: HashMap::new(),
            executed: HashSet::new(),
            not_run: HashSet::new(),
            next_attempt: 1,
            next_life: 1,
            violation: None,
            counts: FaultCounts::default(),
        };
        for idx in 0..VMS {
            let vm = world.start_vm(idx);
            world.vms.push(vm);
        }
        world
    }

    fn apply(&mut self, op: &CallOp) {
        match *op {
            CallOp::Advance { ms } => self.advance(Duration::from_millis(u64::from(ms))),
            CallOp::Keyed { vm, key } => self.keyed(usize::from(vm) % VMS, key),
            CallOp::Issue { vm, caller } => {
                let token = self.vms[usize::from(vm) % VMS].tokens.issue(self.time.now());
                self.tokens.insert(caller, token);
            }
            CallOp::WithToken { vm, caller } => self.with_token(usize::from(vm) % VMS, caller),
            CallOp::Kill { vm } => {
                self.counts.add("VM killed");
                let idx = usize::from(vm) % VMS;
                self.vms[idx] = self.start_vm(idx);
            }
            CallOp::Store { down, slow_ms, loss_percent } => {
                self.store.down = down;
                self.store.slow_ms = u64::from(slow_ms);
                self.store.loss_percent = loss_percent;
            }
            CallOp::Service { fault_percent } => self.service_fault_percent = fault_percent,
        }
    }

    fn finish(&mut self) {
        self.store.heal();
        self.service_fault_percent = 0;
        self.advance(Duration::from_secs(120));
        self.check_keys_are_settled();
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn counts(&self) -> &FaultCounts {
        &self.counts
    }
}

impl CallWorld {
    fn start_vm(&mut self, idx: usize) -> Vm {
        let life = self.next_life;
        self.next_life += 1;
        let seed = self.rng.u64(..);
        Vm {
            life,
            tokens: TokenRegistry::new(vm_id(idx), Incarnation(life), TOKEN_TTL, seed),
            abandoned: HashSet::new(),
            attempts: HashMap::new(),
        }
    }

    fn fresh_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        AttemptId(self.next_attempt)
    }

    fn row_key(key: u8) -> Key {
        Key::new(&format!("call/market/{key}"))
    }

    fn keyed(&mut self, idx: usize, key: u8) {
        let attempt = self.fresh_attempt();
        let life = self.vms[idx].life;
        let owner = Owner { vm: vm_id(idx), incarnation: Incarnation(life), attempt: attempt.0 };
        let (call, step) = KeyedCall::start(Self::row_key(key), owner, REQUEST_HASH);
        self.vms[idx].attempts.insert(attempt, call);
        self.act(Address { vm: idx, life }, attempt, CallName::Key(key), step);
    }

    fn with_token(&mut self, idx: usize, caller: u8) {
        let Some(token) = self.tokens.get(&caller).cloned() else { return };
        let now = self.time.now();
        let decision = self.vms[idx].tokens.redeem(now, &token, REQUEST_HASH);
        if decision == TokenDecision::Dispatch {
            let to = Address { vm: idx, life: self.vms[idx].life };
            let attempt = self.fresh_attempt();
            self.dispatch(to, attempt, CallName::Token(token.to_string()));
        }
    }

    fn act(&mut self, to: Address, attempt: AttemptId, call: CallName, step: CallStep) {
        match step {
            CallStep::Transact(txn) => {
                self.store_op(to, Some(attempt), StoreOp::Transact(txn));
            }
            CallStep::Read(key) => self.store_op(to, Some(attempt), StoreOp::Read(key)),
            CallStep::Dispatch => self.dispatch(to, attempt, call),
            CallStep::Reply(reply) => {
                let vm = &mut self.vms[to.vm];
                if let Some(keyed) = vm.attempts.remove(&attempt)
                    && keyed.may_be_abandoned()
                {
                    self.counts.add("attempt abandoned");
                    vm.abandoned.insert(keyed.owner().clone());
                }
                let not_run =
                    matches!(reply, CallReply::NotRun { .. } | CallReply::OwnedByOther { .. });
                if not_run {
                    self.not_run.insert(attempt);
                    self.check_not_run(attempt);
                }
            }
        }
    }

    fn dispatch(&mut self, to: Address, attempt: AttemptId, call: CallName) {
        let soon = Duration::from_millis(1 + self.rng.u64(0..20));
        let executes = Delivery::Executes { call: call.clone(), attempt };
        let outcome = |outcome| Delivery::Outcome { to, call: call.clone(), attempt, outcome };
        if self.rng.u8(0..100) >= self.service_fault_percent {
            self.time.schedule(soon, executes);
            self.time.schedule(soon * 2, outcome(CallOutcome::Answered));
            return;
        }
        match self.rng.u8(0..3) {
            0 => {
                self.counts.add("connection refused");
                self.time.schedule(soon, outcome(CallOutcome::NotRun));
            }
            1 => {
                self.counts.add("service answer lost");
                self.time.schedule(soon, executes);
                self.time.schedule(ANSWER_TIMEOUT, outcome(CallOutcome::Unknown));
            }
            _ => {
                self.counts.add("call late");
                let late = Duration::from_millis(self.rng.u64(0..60_000));
                self.time.schedule(late, executes);
                self.time.schedule(ANSWER_TIMEOUT, outcome(CallOutcome::Unknown));
            }
        }
    }

    fn store_op(&mut self, to: Address, attempt: Option<AttemptId>, work: StoreOp) {
        let fail = |error| match &work {
            StoreOp::Transact(_) => StoreResult::Written(Err(error)),
            StoreOp::Read(_) => StoreResult::Read(Err(error)),
        };
        let answered = |result| Delivery::StoreAnswer { to, attempt, result };
        for event in self.store.events(&mut self.rng, &mut self.counts) {
            match event {
                StoreEvent::Fails { after, error } => {
                    self.time.schedule(after, answered(fail(error)));
                }
                StoreEvent::TakesEffect { after, answer_after } => {
                    let effect =
                        Delivery::StoreEffect { to, attempt, work: work.clone(), answer_after };
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
            Delivery::StoreEffect { to, attempt, work, answer_after } => {
                let result = match &work {
                    StoreOp::Transact(txn) => {
                        StoreResult::Written(Ok(self.store.table.transact(txn)))
                    }
                    StoreOp::Read(key) => StoreResult::Read(Ok(self.store.table.read(key))),
                };
                if let Some(after) = answer_after {
                    self.time.schedule(after, Delivery::StoreAnswer { to, attempt, result });
                }
            }
            Delivery::StoreAnswer { to, attempt: Some(attempt), result } => {
                self.store_answered(to, attempt, result);
            }
            Delivery::StoreAnswer { attempt: None, .. } => {}
            Delivery::Executes { call, attempt } => self.execute(call, attempt),
            Delivery::Outcome { to, call, attempt, outcome } => {
                self.learn(to, &call, attempt, outcome);
            }
        }
    }

    fn store_answered(&mut self, to: Address, attempt: AttemptId, result: StoreResult) {
        let vm = &mut self.vms[to.vm];
        if vm.life != to.life {
            return;
        }
        let Some(mut call) = vm.attempts.remove(&attempt) else { return };
        let abandoned = |owner: &Owner| vm.abandoned.contains(owner);
        let step = match result {
            StoreResult::Written(answer) => call.on_txn_result(answer, abandoned),
            StoreResult::Read(answer) => call.on_read_result(answer, abandoned),
        };
        let key = (0..KEYS).find(|key| call.key() == &Self::row_key(*key)).unwrap_or(0);
        vm.attempts.insert(attempt, call);
        self.act(to, attempt, CallName::Key(key), step);
    }

    fn execute(&mut self, call: CallName, attempt: AttemptId) {
        self.executed.insert(attempt);
        self.check_not_run(attempt);
        let count = self.executions.entry(call.clone()).or_default();
        *count += 1;
        if *count > 1 {
            let count = *count;
            self.fail(format!("{call:?} was executed {count} times"));
        }
    }

    fn learn(&mut self, to: Address, call: &CallName, attempt: AttemptId, outcome: CallOutcome) {
        let vm = &mut self.vms[to.vm];
        if vm.life != to.life {
            return;
        }
        match call {
            CallName::Key(_) => {
                let Some(mut keyed) = vm.attempts.remove(&attempt) else { return };
                let stored = (outcome == CallOutcome::Answered).then(answer);
                let record = keyed.on_outcome(outcome, stored);
                self.store_op(to, None, StoreOp::Transact(record));
            }
            CallName::Token(text) => {
                let Some(token) = Token::parse(text) else { return };
                match outcome {
                    CallOutcome::Answered => {
                        vm.tokens.record_answer(&token, REQUEST_HASH, answer())
                    }
                    CallOutcome::NotRun => vm.tokens.record_not_run(&token),
                    CallOutcome::Unknown => vm.tokens.record_unknown(&token, REQUEST_HASH),
                }
            }
        }
    }

    fn check_not_run(&mut self, attempt: AttemptId) {
        if self.not_run.contains(&attempt) && self.executed.contains(&attempt) {
            self.fail(format!("attempt {} was told \"not run\" but ran", attempt.0));
        }
    }

    /// Once faults have ended, every key gives a final word through any VM.
    fn check_keys_are_settled(&mut self) {
        for key in 0..KEYS {
            self.keyed(usize::from(key) % VMS, key);
            self.advance(Duration::from_secs(10));
        }
        let open: usize = self.vms.iter().map(|vm| vm.attempts.len()).sum();
        if open > 0 {
            self.fail(format!("{open} attempts have no outcome after the faults"));
        }
    }

    fn fail(&mut self, message: String) {
        let at = self.time.elapsed();
        self.violation.get_or_insert(format!("at {at:?}: {message}"));
    }
}
