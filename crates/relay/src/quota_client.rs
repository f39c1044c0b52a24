//! Charges requests to the quotas of their teams.

use {
    crate::{dialect::Dialect, own_answer::OwnAnswer, relay::Relay, routed_request::RoutedRequest},
    glade_catalog::{Quota, QuotaUnit, RequestMetadata},
    glade_clock::Clock,
    glade_limit::{QuotaAsk, QuotaGrant, QuotaPools, QuotaRate, QuotaVerdict},
    glade_types::stable_hash,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        fmt,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Longest time for which a request waits for a grant.
const GRANT_WAIT_MAX: Duration = Duration::from_millis(150);
/// Interval at which the needs are looked at while there are any.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The quotas of teams on this VM.
pub(crate) struct QuotaClient {
    clock: Arc<dyn Clock>,
    pools: RefCell<QuotaPools>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Notified when a request begins to wait, and when the first team uses its quota.
    changed: Notify,
}

impl fmt::Debug for QuotaClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QuotaClient").finish_non_exhaustive()
    }
}

impl QuotaClient {
    pub(crate) fn new(clock: &Arc<dyn Clock>) -> Self {
        Self {
            clock: Arc::clone(clock),
            pools: RefCell::new(QuotaPools::new(clock.now())),
            waiting: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Waits until something is to be asked of the issuers, and returns that.
    pub(crate) async fn next_asks(&self) -> Vec<QuotaAsk> {
        loop {
            let asks = self.pools.borrow_mut().next_asks(self.clock.now());
            if !asks.is_empty() {
                return asks;
            }
            if self.pools.borrow().is_idle() {
                self.changed.notified().await;
            } else {
                // The needs are looked at after a time-out as well as after a change.
                let _ = timeout(POLL_INTERVAL, self.changed.notified()).await;
            }
        }
    }

    /// Applies replies of issuers.
    pub(crate) fn on_grants(&self, grants: &[QuotaGrant]) {
        let now = self.clock.now();
        for grant in grants {
            self.pools.borrow_mut().add_grant(now, grant);
            self.serve_waiting(now, grant.team);
        }
    }

    /// Charges the waiting requests of `team` that there is credit for.
    fn serve_waiting(&self, now: Instant, team: u32) {
        let served = self.pools.borrow_mut().take_served(now, team);
        for ticket in served {
            // A request that has given up has cancelled its ticket before it dropped the receiver.
            let sender = self.waiting.borrow_mut().remove(&ticket);
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                log::warn!(team = team; "quota_ticket_unknown");
            }
        }
    }

    /// Takes `tokens` of the quota of `team`, waiting for a grant for at most `wait_max`. Returns `None`
    /// if there is none in time.
    async fn charge(
        self: &Rc<Self>,
        team: u32,
        tokens: u32,
        wait_max: Duration,
        on_wait: impl FnOnce(),
    ) -> Option<QuotaCharge> {
        let now = self.clock.now();
        let is_first = self.pools.borrow().is_idle();
        let verdict = self.pools.borrow_mut().charge(now, team, tokens);
        if verdict == QuotaVerdict::UsedUp {
            return None;
        }
        if let QuotaVerdict::Waits(ticket) = verdict {
            on_wait();
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().insert(ticket, sender);
            self.changed.notify_one();
            let mut ticket = TicketGuard { client: self, team, tokens, ticket, is_served: false };
            ticket.is_served = matches!(timeout(wait_max, receiver).await, Ok(Ok(())));
            if !ticket.is_served {
                return None;
            }
        } else if is_first {
            self.changed.notify_one();
        }
        let charged_at = self.clock.now();
        Some(QuotaCharge {
            client: Rc::clone(self),
            team,
            tokens,
            charged_at,
            is_spent: Cell::new(false),
        })
    }

    fn give_back(&self, team: u32, tokens: u32, charged_at: Instant) {
        let now = self.clock.now();
        self.pools.borrow_mut().give_back(now, team, tokens, charged_at);
        self.serve_waiting(now, team);
    }
}

/// Drop guard that removes a waiting request, and gives back a grant that came too late for it.
struct TicketGuard<'a> {
    client: &'a QuotaClient,
    team: u32,
    tokens: u32,
    ticket: u64,
    is_served: bool,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if self.is_served {
            return;
        }
        self.client.waiting.borrow_mut().remove(&self.ticket);
        let was_waiting = self.client.pools.borrow_mut().cancel(self.team, self.ticket);
        if was_waiting {
            // The ones behind it may be smaller.
            self.client.serve_waiting(self.client.clock.now(), self.team);
        } else {
            self.client.give_back(self.team, self.tokens, self.client.clock.now());
        }
    }
}

/// What a request has taken of its team's quota. Given back on drop unless the request was sent to a
/// server.
pub(crate) struct QuotaCharge {
    client: Rc<QuotaClient>,
    team: u32,
    tokens: u32,
    charged_at: Instant,
    is_spent: Cell<bool>,
}

impl fmt::Debug for QuotaCharge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QuotaCharge").field("tokens", &self.tokens).finish_non_exhaustive()
    }
}

impl QuotaCharge {
    /// Records that the request is sent to a server, however many follow.
    pub(crate) fn spend(&self, now: Instant) {
        if !self.is_spent.replace(true) {
            let mut pools = self.client.pools.borrow_mut();
            pools.settle(now, self.team, self.tokens, self.charged_at);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            self.client.give_back(self.team, self.tokens, self.charged_at);
        }
    }
}

/// What a request with these `terms` counts as.
fn cost(quota: &Quota, terms: &RequestMetadata) -> u32 {
    match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens => match terms.prompt_tokens.saturating_add(terms.output_tokens_max) {
            0 => quota.plain_tokens,
            tokens => tokens,
        },
    }
}

impl<D: Dialect> Relay<D> {
    /// Charges a request to its team's quota, if it has one.
    ///
    /// # Errors
    ///
    /// The quota is used up.
    pub(crate) async fn charge_quota(
        &self,
        routed: &RoutedRequest,
    ) -> Result<Option<QuotaCharge>, OwnAnswer> {
        let Some(team) = &routed.team else { return Ok(None) };
        let Some(quota) = &team.quota else { return Ok(None) };
        let hash = stable_hash(team.name.as_str().as_bytes()) as u32;
        let tokens = cost(quota, &routed.terms);
        let now = self.clock.now();
        let wait_max = GRANT_WAIT_MAX.min(routed.answer_by().saturating_duration_since(now));
        let on_wait = || self.metrics.on_quota_held();
        if let Some(charge) = self.quota_client.charge(hash, tokens, wait_max, on_wait).await {
            return Ok(Some(charge));
        }
        self.metrics.on_quota_refused();
        let rate = QuotaRate { per_s: quota.rate_per_s, burst: quota.burst };
        let (now, spread) = (self.clock.now(), self.rng.borrow_mut().f64());
        let pools = self.quota_client.pools.borrow();
        Err(OwnAnswer::over_quota(pools.retry_after(now, hash, tokens, rate, spread)))
    }
}

#[cfg(test)]
mod tests;
