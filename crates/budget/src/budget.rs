//! The budget of a process, and who gives way when it is short.

use {
    crate::{
        account::Account, account_state::AccountState, kind::Kind, limits::BudgetLimits, port::Port,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, Semaphore},
        time::sleep,
    },
};

/// Largest reservation that may use the reserve. Bodies of prompts of some thousand tokens are smaller.
pub const SMALL_BYTES: usize = 32 << 10;
/// Unit in which room is counted.
pub(crate) const UNIT_BYTES: usize = 1 << 10;

/// Interval at which connections are looked at while room is short.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Least progress between two checks. Twelve callers that share a link of 10 Mbit/s each make six times that.
const PROGRESS_BYTES_MIN: u64 = 8 << 10;
/// Checks in a row without progress after which a connection gives way.
const STALLED_CHECKS_MAX: u32 = 2;
/// Checks in a row without a reservation being granted after which the largest gives way.
const STANDSTILL_CHECKS_MAX: u32 = 6;

/// All ports.
const PORTS: [Port; 2] = [Port::Callers, Port::Pages];

/// Room of a kind.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) room: Arc<Semaphore>,
    pub(crate) capacity: usize,
}

impl Pool {
    fn new(bytes: usize) -> Self {
        let capacity = (bytes / UNIT_BYTES).max(1);
        Self { room: Arc::new(Semaphore::new(capacity)), capacity }
    }
}

/// Reserved units by kind.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    pub(crate) units: [AtomicUsize; Kind::ALL.len()],
    ranks: AtomicU64,
}

impl Usage {
    pub(crate) fn next_rank(&self) -> u64 {
        self.ranks.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// A connection, as the checks see it.
#[derive(Debug)]
struct Member {
    state: Arc<AccountState>,
    /// Progress at the last check.
    progress_bytes: u64,
    stalled_checks: u32,
}

/// The members, and what the checks remember.
#[derive(Debug, Default)]
struct Members {
    by_id: BTreeMap<u64, Member>,
    next_id: u64,
    grants_seen: u64,
    standstill_checks: u32,
}

/// The budget of a process.
#[derive(Debug)]
pub struct Budget {
    bodies: Pool,
    answers: Pool,
    pub(crate) reserve: Arc<Semaphore>,
    caller_slots: Arc<Semaphore>,
    page_slots: Arc<Semaphore>,
    usage: Arc<Usage>,
    members: Mutex<Members>,
    waiting_units: AtomicUsize,
    /// Number of accept loops that wait for a slot, by port.
    waiting_for_slot: [AtomicUsize; 2],
    shortage: Notify,
    grants: AtomicU64,
    evictions: AtomicU64,
}

impl Budget {
    /// Returns a budget of which nothing is taken.
    pub fn new(limits: BudgetLimits) -> Arc<Self> {
        Arc::new(Self {
            bodies: Pool::new(limits.body_bytes),
            answers: Pool::new(limits.answer_bytes),
            reserve: Arc::new(Semaphore::new(limits.reserve_bytes / UNIT_BYTES)),
            caller_slots: Arc::new(Semaphore::new(limits.caller_connections)),
            page_slots: Arc::new(Semaphore::new(limits.page_connections)),
            usage: Arc::default(),
            members: Mutex::default(),
            waiting_units: AtomicUsize::new(0),
            waiting_for_slot: Default::default(),
            shortage: Notify::new(),
            grants: AtomicU64::new(0),
            evictions: AtomicU64::new(0),
        })
    }

    /// Waits for a slot for a connection of `source` to `port`. If all are taken, the connection to the port
    /// that has been idle for longest is told to close.
    pub async fn open_account(self: &Arc<Self>, port: Port, source: IpAddr) -> Account {
        let slots = match port {
            Port::Callers => &self.caller_slots,
            Port::Pages => &self.page_slots,
        };
        let slot = match Arc::clone(slots).try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) => {
                let _waiting = WaitingForSlot::begin(self, port);
                self.evict_idle(port);
                let acquired = Arc::clone(slots).acquire_owned().await;
                acquired.expect("the slots' semaphore is never closed")
            }
        };
        let state = Arc::new(AccountState::new(port, source, Arc::clone(&self.usage)));
        let mut members = self.members();
        let id = members.next_id;
        members.next_id += 1;
        let member = Member { state: Arc::clone(&state), progress_bytes: 0, stalled_checks: 0 };
        members.by_id.insert(id, member);
        Account::new(id, Arc::clone(self), state, slot)
    }

    /// Bytes that are reserved, by kind.
    pub fn used_bytes(&self) -> Vec<(&'static str, u64)> {
        let bytes =
            |kind: Kind| (self.usage.units[kind.idx()].load(Ordering::Relaxed) * UNIT_BYTES) as u64;
        Kind::ALL.iter().map(|kind| (kind.name(), bytes(*kind))).collect()
    }

    /// Connections that were told to give way so far.
    pub fn evictions(&self) -> u64 {
        self.evictions.load(Ordering::Relaxed)
    }

    /// Connections that have an account.
    pub fn connections(&self) -> u64 {
        self.members().by_id.len() as u64
    }

    /// Has connections give way while others wait, for as long as the process runs.
    pub async fn run(&self) {
        loop {
            self.shortage.notified().await;
            self.begin_checks();
            while self.is_short() {
                sleep(CHECK_INTERVAL).await;
                self.check();
            }
        }
    }

    pub(crate) fn pool(&self, kind: Kind) -> &Pool {
        match kind {
            Kind::Bodies => &self.bodies,
            Kind::Answers => &self.answers,
        }
    }

    pub(crate) fn leave(&self, id: u64) {
        self.members().by_id.remove(&id);
    }

    pub(crate) fn begin_wait(&self, units: usize) {
        self.waiting_units.fetch_add(units, Ordering::Relaxed);
        self.shortage.notify_one();
    }

    pub(crate) fn end_wait(&self, units: usize) {
        self.waiting_units.fetch_sub(units, Ordering::Relaxed);
    }

    pub(crate) fn count_grant(&self) {
        self.grants.fetch_add(1, Ordering::Relaxed);
    }

    fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_short(&self) -> bool {
        self.waiting_units.load(Ordering::Relaxed) > 0
            || PORTS.iter().any(|port| self.lacks_slots(*port))
    }

    fn lacks_slots(&self, port: Port) -> bool {
        self.waiting_for_slot[port as usize].load(Ordering::Relaxed) > 0
    }

    /// Tells the connection to `port` to close that has been idle for longest, of the source with the most connections.
    fn evict_idle(&self, port: Port) {
        let members = self.members();
        let mut by_source: HashMap<IpAddr, usize> = HashMap::new();
        let of_port = || members.by_id.values().filter(|member| member.state.port == port);
        for member in of_port() {
            *by_source.entry(member.state.source).or_default() += 1;
        }
        let idle = of_port().filter_map(|member| {
            member
                .state
                .idle_rank()
                .map(|rank| (Reverse(by_source[&member.state.source]), rank, member))
        });
        if let Some((_, _, member)) =
            idle.min_by_key(|(connections, rank, _)| (*connections, *rank))
        {
            self.evict(&member.state);
        }
    }

    fn evict(&self, state: &AccountState) {
        state.evict();
        self.evictions.fetch_add(1, Ordering::Relaxed);
    }

    /// Forgets what the checks of an earlier shortage have seen.
    fn begin_checks(&self) {
        let grants = self.grants.load(Ordering::Relaxed);
        let mut members = self.members();
        members.standstill_checks = 0;
        members.grants_seen = grants;
        for member in members.by_id.values_mut() {
            member.stalled_checks = 0;
            member.progress_bytes = member.state.progress_bytes.load(Ordering::Relaxed);
        }
    }

    /// Has connections give way: those that stall, as far as others wait for what they hold; if none stalls
    /// and nothing is granted for long, the largest.
    fn check(&self) {
        if !self.is_short() {
            return;
        }
        for port in PORTS {
            if self.lacks_slots(port) {
                self.evict_idle(port);
            }
        }
        let grants = self.grants.load(Ordering::Relaxed);
        let mut members = self.members();
        let members = &mut *members;
        let is_standstill = std::mem::replace(&mut members.grants_seen, grants) == grants;
        members.standstill_checks = if is_standstill { members.standstill_checks + 1 } else { 0 };
        let mut unfinished: HashMap<IpAddr, usize> = HashMap::new();
        for member in members.by_id.values_mut() {
            let progress_bytes = member.state.progress_bytes.load(Ordering::Relaxed);
            let before = std::mem::replace(&mut member.progress_bytes, progress_bytes);
            if !member.state.waits_for_peer() || progress_bytes - before >= PROGRESS_BYTES_MIN {
                member.stalled_checks = 0;
            } else {
                member.stalled_checks += 1;
            }
            if member.state.waits_for_peer() {
                *unfinished.entry(member.state.source).or_default() += 1;
            }
        }
        let of_source =
            |member: &Member| unfinished.get(&member.state.source).copied().unwrap_or(0);
        let lacks_slots = PORTS.map(|port| self.lacks_slots(port));
        let frees_slot = |member: &Member| lacks_slots[member.state.port as usize];
        let mut wanted_units = self.waiting_units.load(Ordering::Relaxed);
        let is_stalled = |member: &&Member| {
            member.stalled_checks >= STALLED_CHECKS_MAX
                && (frees_slot(member) || member.state.held_units() > 0)
        };
        let mut stalled: Vec<&Member> = members.by_id.values().filter(is_stalled).collect();
        stalled.sort_by_key(|member| (Reverse(of_source(member)), Reverse(member.stalled_checks)));
        let mut count = 0_u64;
        for member in stalled {
            if wanted_units == 0 && !(frees_slot(member) && count == 0) {
                continue;
            }
            wanted_units = wanted_units.saturating_sub(member.state.held_units());
            self.evict(&member.state);
            count += 1;
        }
        if count == 0 && members.standstill_checks >= STANDSTILL_CHECKS_MAX {
            let holding = members
                .by_id
                .values()
                .filter(|member| member.state.waits_for_peer() && member.state.held_units() > 0);
            let largest =
                holding.max_by_key(|member| (of_source(member), member.state.held_units()));
            if let Some(member) = largest {
                self.evict(&member.state);
                members.standstill_checks = 0;
                count = 1;
            }
        }
        if count > 0 {
            // At most one line a check.
            log::warn!(count = count, unfinished = unfinished.values().sum::<usize>() as u64;
                "connections_gave_way");
        }
    }
}

/// Guard of an accept loop that waits for a slot.
struct WaitingForSlot<'a> {
    budget: &'a Budget,
    port: Port,
}

impl<'a> WaitingForSlot<'a> {
    fn begin(budget: &'a Budget, port: Port) -> Self {
        budget.waiting_for_slot[port as usize].fetch_add(1, Ordering::Relaxed);
        budget.shortage.notify_one();
        Self { budget, port }
    }
}

impl Drop for WaitingForSlot<'_> {
    fn drop(&mut self) {
        self.budget.waiting_for_slot[self.port as usize].fetch_sub(1, Ordering::Relaxed);
    }
}
