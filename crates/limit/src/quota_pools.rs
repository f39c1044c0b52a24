//! The credit of all teams that one node holds for its requests.

use {
    crate::{
        quota_message::{QuotaAsk, QuotaGrant},
        quota_pool::QuotaPool,
        quota_rate::QuotaRate,
    },
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// What becomes of a request that is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// The node holds enough credit, which has been taken.
    Charged,
    /// The request waits for a grant, under this ticket.
    Waits(u64),
    /// The quota is used up, and no grant would come in time.
    UsedUp,
}

/// Pools of the teams that this node has served recently.
#[derive(Clone, Debug)]
pub struct QuotaPools {
    /// Zero of the stamps by which this node recognises late grants.
    origin: Instant,
    pools: HashMap<u32, QuotaPool>,
    next_ticket: u64,
}

impl QuotaPools {
    /// Returns pools without credit.
    pub fn new(now: Instant) -> Self {
        Self { origin: now, pools: HashMap::new(), next_ticket: 0 }
    }

    /// Charges a request of `team` that counts as `tokens`, or has it wait for a grant.
    pub fn charge(&mut self, now: Instant, team: u32, tokens: u32) -> QuotaVerdict {
        let pool = self.pools.entry(team).or_insert_with(|| QuotaPool::new(now));
        if pool.try_take(now, tokens) {
            return QuotaVerdict::Charged;
        }
        if pool.is_used_up(now) {
            return QuotaVerdict::UsedUp;
        }
        self.next_ticket += 1;
        pool.add_waiting(self.next_ticket, tokens);
        QuotaVerdict::Waits(self.next_ticket)
    }

    /// Removes a waiting request. Returns false if its credit has been taken meanwhile.
    pub fn cancel(&mut self, team: u32, ticket: u64) -> bool {
        self.pools.get_mut(&team).is_some_and(|pool| pool.cancel(ticket))
    }

    /// Takes back the credit of a request that was charged at `charged_at` and isn't sent.
    pub fn give_back(&mut self, now: Instant, team: u32, tokens: u32, charged_at: Instant) {
        let pool = self.pools.entry(team).or_insert_with(|| QuotaPool::new(now));
        pool.give_back(now, tokens, charged_at);
    }

    /// Charges a request that is sent now. Its charge at `charged_at` is replaced if it is so old that
    /// it would let the team send more than its limit in a short time.
    pub fn settle(&mut self, now: Instant, team: u32, tokens: u32, charged_at: Instant) {
        let pool = self.pools.entry(team).or_insert_with(|| QuotaPool::new(now));
        pool.renew(now, tokens, charged_at);
    }

    /// Adds an issuer's grant.
    pub fn add_grant(&mut self, now: Instant, grant: &QuotaGrant) {
        let age_ms = self.stamp_ms(now).wrapping_sub(grant.stamp_ms);
        let pool = self.pools.entry(grant.team).or_insert_with(|| QuotaPool::new(now));
        pool.add_grant(now, grant, Duration::from_millis(u64::from(age_ms)));
    }

    /// Tickets of the waiting requests of `team` that are charged now.
    pub fn take_served(&mut self, now: Instant, team: u32) -> Vec<u64> {
        self.pools.get_mut(&team).map(|pool| pool.take_served(now)).unwrap_or_default()
    }

    /// What is to be asked of the issuers now.
    pub fn next_asks(&mut self, now: Instant) -> Vec<QuotaAsk> {
        let stamp_ms = self.stamp_ms(now);
        let mut asks = Vec::new();
        self.pools.retain(|team, pool| {
            asks.extend(pool.next_ask(now, *team, stamp_ms));
            !pool.is_idle(now)
        });
        asks
    }

    /// True if nothing is to be asked until a request is charged.
    pub fn is_idle(&self) -> bool {
        self.pools.is_empty()
    }

    /// When the caller of a request of `team` is to return that was refused.
    pub fn retry_after(
        &self,
        now: Instant,
        team: u32,
        tokens: u32,
        rate: QuotaRate,
        spread: f64,
    ) -> Duration {
        let unknown = QuotaPool::new(now);
        self.pools.get(&team).unwrap_or(&unknown).retry_after(now, tokens, rate, spread)
    }

    /// This node's time for stamps, in milliseconds.
    fn stamp_ms(&self, now: Instant) -> u32 {
        now.saturating_duration_since(self.origin).as_millis() as u32
    }
}
