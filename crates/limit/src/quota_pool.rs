//! The credit of one team that one node holds, and the node's requests that wait for some.

use {
    crate::{
        quota_message::{QuotaAsk, QuotaGrant, ReturnedCredit},
        quota_rate::QuotaRate,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Time for which a node may use granted credit.
const LEASE_TTL: Duration = Duration::from_millis(500);
/// Age of the ask to which a grant replies from which the grant holds no longer, however late it
/// arrived: the node may have stood still. An ask waits at the issuer for 250 ms at most.
const GRANT_MAX_AGE: Duration = Duration::from_millis(750);
/// Time over which recent use is averaged.
const USE_AVERAGED_OVER_S: f64 = 1.0;
/// Period at which a node repeats an ask while requests wait.
const WAITING_ASK_PERIOD: Duration = Duration::from_millis(50);
/// Age up to which an issuer's reply tells whether a further request would wait in vain.
const REPLY_HOLDS_FOR: Duration = Duration::from_millis(100);
/// Time for which a request waits for a grant.
const GRANT_WAIT_S: f64 = 0.15;
/// Shortest time between two asks for an advance, or that return credit.
const ADVANCE_ASK_PERIOD: Duration = Duration::from_millis(100);
/// Requests a second from which a node wants an advance, which is for a quarter of a second.
const FREQUENT_PER_S: f64 = 4.0;
/// Time without use after which a node wants no advance.
const ADVANCE_AFTER_USE: Duration = Duration::from_millis(500);
/// Time without use after which a pool is dropped. The issuer has forgotten the node by then.
const IDLE_AFTER: Duration = Duration::from_secs(3);
/// Largest number of waiting requests that an ask lists.
const WAITING_LISTED_MAX: usize = 32;
/// Shortest time over which the returns of refused callers are spread.
const SPREAD_MIN_S: f64 = 0.5;
/// Longest time after which a refused caller is told to return.
const RETRY_AFTER_MAX_S: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Lease {
    tokens: u32,
    granted_at: Instant,
    lapses_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    tokens: u32,
}

/// The issuer's bucket, as its latest reply tells.
#[derive(Clone, Copy, Debug)]
struct IssuerState {
    level: f64,
    fill_per_s: f64,
    at: Instant,
}

/// Leases, waiting requests and returned credit of one team.
#[derive(Clone, Debug)]
pub(crate) struct QuotaPool {
    leases: VecDeque<Lease>,
    waiting: VecDeque<Waiting>,
    received: u32,
    use_per_s: f64,
    /// Average size of the requests, the latest ones most.
    mean_size: f64,
    used_at: Instant,
    returned: Vec<(Instant, u32)>,
    taken: u32,
    asked_at: Option<Instant>,
    /// Other requests wait than the issuer was told.
    waiting_changed: bool,
    issuer: Option<IssuerState>,
}

impl QuotaPool {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            leases: VecDeque::new(),
            waiting: VecDeque::new(),
            received: 0,
            use_per_s: 0.0,
            mean_size: 0.0,
            used_at: now,
            returned: Vec::new(),
            taken: 0,
            asked_at: None,
            waiting_changed: false,
            issuer: None,
        }
    }

    /// Takes `tokens` out of the leases if no other request waits and they hold enough.
    pub(crate) fn try_take(&mut self, now: Instant, tokens: u32) -> bool {
        self.return_lapsed(now);
        let has_enough = self.waiting.is_empty() && self.held() >= u64::from(tokens);
        if has_enough {
            self.take(now, tokens);
        }
        has_enough
    }

    /// True if the requests that wait at all nodes take more than the bucket gains while a request may
    /// wait. Another one would cost the nodes messages and be refused in the end.
    pub(crate) fn is_used_up(&self, now: Instant) -> bool {
        self.issuer.is_some_and(|issuer| {
            let since = now.saturating_duration_since(issuer.at);
            let gain = issuer.fill_per_s * (since.as_secs_f64() + GRANT_WAIT_S);
            since < REPLY_HOLDS_FOR && issuer.level + gain < 0.0
        })
    }

    /// Adds a request that waits for `tokens`.
    pub(crate) fn add_waiting(&mut self, ticket: u64, tokens: u32) {
        self.waiting.push_back(Waiting { ticket, tokens });
        self.waiting_changed = true;
    }

    /// Removes a request. Returns true if it was still waiting.
    pub(crate) fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        self.waiting_changed |= self.waiting.len() < before;
        self.waiting.len() < before
    }

    /// Adds granted credit. `age` is the time since the ask that the grant replies to.
    pub(crate) fn add_grant(&mut self, now: Instant, grant: &QuotaGrant, age: Duration) {
        self.received = self.received.wrapping_add(grant.tokens);
        self.issuer = Some(IssuerState {
            level: f64::from(grant.level),
            fill_per_s: f64::from(grant.fill_per_s),
            at: now,
        });
        let time_left = GRANT_MAX_AGE.saturating_sub(age).min(LEASE_TTL);
        if grant.tokens == 0 {
            return;
        }
        if time_left.is_zero() {
            self.returned.push((now.checked_sub(age).unwrap_or(now), grant.tokens));
            return;
        }
        let lapses_at = now + time_left;
        self.leases.push_back(Lease { tokens: grant.tokens, granted_at: now, lapses_at });
    }

    /// Takes back the credit of a request that was charged at `charged_at` and isn't sent.
    pub(crate) fn give_back(&mut self, now: Instant, tokens: u32, charged_at: Instant) {
        let lapses_at = charged_at + LEASE_TTL;
        if now < lapses_at {
            self.leases.push_front(Lease { tokens, granted_at: charged_at, lapses_at });
        } else {
            self.returned.push((charged_at, tokens));
        }
    }

    /// Charges a request again that was charged at `charged_at` and is sent only now.
    pub(crate) fn renew(&mut self, now: Instant, tokens: u32, charged_at: Instant) {
        if now.saturating_duration_since(charged_at) >= LEASE_TTL {
            self.returned.push((charged_at, tokens));
            self.taken = self.taken.saturating_add(tokens);
        }
    }

    /// Tickets of the waiting requests that the leases suffice for. Takes their credit.
    pub(crate) fn take_served(&mut self, now: Instant) -> Vec<u64> {
        self.return_lapsed(now);
        let mut served = Vec::new();
        while let Some(first) = self.waiting.front().copied() {
            if self.held() < u64::from(first.tokens) {
                break;
            }
            self.waiting.pop_front();
            self.take(now, first.tokens);
            served.push(first.ticket);
        }
        self.waiting_changed |= !served.is_empty();
        served
    }

    /// What to ask the issuer of `team` for, if anything is due.
    pub(crate) fn next_ask(&mut self, now: Instant, team: u32, stamp_ms: u32) -> Option<QuotaAsk> {
        self.return_lapsed(now);
        let since_ask = self.asked_at.map(|at| now.saturating_duration_since(at));
        let is_after = |period: Duration| since_ask.is_none_or(|since| since >= period);
        let waits =
            self.waiting_changed || !self.waiting.is_empty() && is_after(WAITING_ASK_PERIOD);
        let use_per_s = self.recent_use(now);
        // An advance that is smaller than a request saves no question, and other nodes lack it.
        let is_frequent = use_per_s / FREQUENT_PER_S >= self.mean_size
            && now.saturating_duration_since(self.used_at) < ADVANCE_AFTER_USE;
        let wants_advance = is_frequent && (self.held() as f64) < use_per_s / 8.0;
        let has_returns = !self.returned.is_empty() || self.taken > 0;
        if !waits && !((wants_advance || has_returns) && is_after(ADVANCE_ASK_PERIOD)) {
            return None;
        }
        self.asked_at = Some(now);
        self.waiting_changed = false;
        let returned = |(at, tokens): (Instant, u32)| {
            let age_ms = now.saturating_duration_since(at).as_millis();
            ReturnedCredit { age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX), tokens }
        };
        Some(QuotaAsk {
            team,
            stamp_ms,
            received: self.received,
            held: u32::try_from(self.lasting(now)).unwrap_or(u32::MAX),
            use_per_s: if is_frequent { use_per_s as u32 } else { 0 },
            waiting: self.waiting.iter().take(WAITING_LISTED_MAX).map(|wait| wait.tokens).collect(),
            returned: std::mem::take(&mut self.returned).into_iter().map(returned).collect(),
            taken: std::mem::take(&mut self.taken),
            is_alone: false,
        })
    }

    /// True if the pool has nothing to keep.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        let is_empty =
            self.leases.is_empty() && self.waiting.is_empty() && self.returned.is_empty();
        is_empty && self.taken == 0 && now.saturating_duration_since(self.used_at) >= IDLE_AFTER
    }

    /// Time after which the issuer's bucket is expected to hold `tokens`, spread by `spread`, a number
    /// from 0 to 1.
    pub(crate) fn retry_after(
        &self,
        now: Instant,
        tokens: u32,
        rate: QuotaRate,
        spread: f64,
    ) -> Duration {
        let known = self.issuer.filter(|issuer| issuer.fill_per_s > 0.0);
        let (level, fill_per_s) = known.map_or((0.0, rate.per_s), |issuer| {
            let since = now.saturating_duration_since(issuer.at).as_secs_f64();
            (issuer.level + issuer.fill_per_s * since, issuer.fill_per_s)
        });
        let missing = (f64::from(tokens) - level).max(0.0);
        let wait_s = missing / fill_per_s;
        let wait_s = wait_s + spread * wait_s.max(SPREAD_MIN_S);
        // A quota may be so low that the time has no useful value.
        Duration::from_secs_f64(if wait_s < RETRY_AFTER_MAX_S { wait_s } else { RETRY_AFTER_MAX_S })
    }

    fn held(&self) -> u64 {
        self.leases.iter().map(|lease| u64::from(lease.tokens)).sum()
    }

    /// Credit that the issuer is told of: what lasts for as long as waiting requests may wait.
    fn lasting(&self, now: Instant) -> u64 {
        if self.waiting.is_empty() {
            return self.held();
        }
        let needed_until = now + Duration::from_secs_f64(GRANT_WAIT_S);
        let lasting = self.leases.iter().filter(|lease| lease.lapses_at >= needed_until);
        lasting.map(|lease| u64::from(lease.tokens)).sum()
    }

    /// Takes `tokens` out of the leases, the oldest first.
    fn take(&mut self, now: Instant, tokens: u32) {
        let mut missing = tokens;
        while let Some(lease) = self.leases.front_mut().filter(|_| missing > 0) {
            let part = lease.tokens.min(missing);
            lease.tokens -= part;
            missing -= part;
            if lease.tokens == 0 {
                self.leases.pop_front();
            }
        }
        self.use_per_s = self.recent_use(now) + f64::from(tokens) / USE_AVERAGED_OVER_S;
        self.mean_size += (f64::from(tokens) - self.mean_size) / 4.0;
        self.used_at = now;
    }

    fn recent_use(&self, now: Instant) -> f64 {
        let since_s = now.saturating_duration_since(self.used_at).as_secs_f64();
        self.use_per_s * (-since_s / USE_AVERAGED_OVER_S).exp()
    }

    fn return_lapsed(&mut self, now: Instant) {
        let returned = &mut self.returned;
        self.leases.retain(|lease| {
            if lease.lapses_at <= now {
                returned.push((lease.granted_at, lease.tokens));
            }
            now < lease.lapses_at
        });
    }
}
