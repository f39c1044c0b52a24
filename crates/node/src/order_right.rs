//! This node's right to send orders to engines: the lease, and the orders that bear on when it may
//! pass on and what it allows when it comes back.

use {
    crate::order_log::OrderLog,
    glade_catalog::{EngineOrder, OrderAnswer},
    glade_lease::{EarlierProcess, LeaseAction, LeaseCandidate, LeaseConfig},
    glade_residency::{LeaseTerm, ORDER_ARRIVAL_MAX, OrderWaits},
    glade_types::VmId,
    std::time::{Duration, Instant},
};

/// Progress of giving up the lease for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// The process has not been told to end.
    NotDue,
    /// No order is sent any more, but some may still be on their way.
    Due,
    /// The lease was released or has expired.
    Done,
}

/// The lease and the recent orders of one node.
#[derive(Clone, Debug)]
pub(crate) struct OrderRight {
    holder: VmId,
    alternation_limit: Duration,
    lease: LeaseCandidate,
    orders: OrderLog,
    /// Latest epoch whose lease this node has resigned, as announced to other nodes.
    resigned_epoch: u64,
    /// Epoch that this node has resigned and not announced yet.
    unannounced_epoch: Option<u64>,
    release: Release,
}

impl OrderRight {
    pub(crate) fn new(now: Instant, config: LeaseConfig) -> Self {
        Self {
            holder: config.holder.clone(),
            alternation_limit: config.alternation_limit,
            orders: OrderLog::new(config.alternation_limit),
            lease: LeaseCandidate::new(config, now),
            resigned_epoch: 0,
            unannounced_epoch: None,
            release: Release::NotDue,
        }
    }

    pub(crate) fn lease(&self) -> &LeaseCandidate {
        &self.lease
    }

    pub(crate) fn lease_mut(&mut self) -> &mut LeaseCandidate {
        &mut self.lease
    }

    /// Latest epoch whose lease this node has resigned without recording that in the store.
    pub(crate) fn resigned_epoch(&self) -> u64 {
        self.resigned_epoch
    }

    /// Epoch and end of the lease if this node may act on it at `now`.
    pub(crate) fn held(&self, now: Instant) -> Option<(u64, Instant)> {
        if self.release != Release::NotDue {
            return None;
        }
        self.lease.epoch(now).zip(self.lease.valid_until())
    }

    /// Begins the term with `fence`.
    pub(crate) fn begin_term(
        &mut self,
        now: Instant,
        fence: u64,
        valid_until: Instant,
    ) -> LeaseTerm {
        self.orders.on_term_start(fence, self.lease.takeovers());
        let waits = OrderWaits {
            any_engine: self.earlier_process_wait().filter(|until| *until > now),
            by_engine: self.orders.waits(now, fence),
        };
        if waits != OrderWaits::default() {
            let engines = waits.by_engine.len();
            log::info!(fence, engines, any_engine = waits.any_engine.is_some(); "orders_wait");
        }
        LeaseTerm { holder: self.holder.clone(), fence, valid_until, waits }
    }

    /// Earliest time for orders, on account of those of earlier processes of this VM.
    fn earlier_process_wait(&self) -> Option<Instant> {
        let time = match self.lease.earlier_process() {
            EarlierProcess::NoTerm => return None,
            EarlierProcess::HeldLast => ORDER_ARRIVAL_MAX,
            EarlierProcess::HeldBeforeOther => self.alternation_limit + ORDER_ARRIVAL_MAX,
        };
        Some(self.lease.started_at() + time)
    }

    /// Records that `order` is being sent.
    pub(crate) fn on_sent(&mut self, now: Instant, order: &EngineOrder) {
        self.orders.on_sent(now, order);
    }

    /// Records the answer to `order`.
    pub(crate) fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        self.orders.on_answer(now, order, answer);
    }

    /// Stops acting on the lease. Other nodes learn of it once no order may still be on its way.
    /// Returns the epoch.
    pub(crate) fn resign(&mut self, now: Instant) -> Option<u64> {
        let epoch = self.lease.resign(now)?;
        self.unannounced_epoch = Some(epoch);
        self.announce_if_settled(now);
        Some(epoch)
    }

    /// Stops acting on the lease for good. [`Self::tick`] then returns the write that records it.
    pub(crate) fn give_up(&mut self) {
        if self.release == Release::NotDue {
            self.release = Release::Due;
        }
    }

    /// True once the node has stopped acting on the lease for good.
    pub(crate) fn is_given_up(&self) -> bool {
        self.release != Release::NotDue
    }

    /// Lets other nodes take over a resigned lease once no order may still be on its way: the first
    /// order of the next holder must not overtake it.
    pub(crate) fn announce_if_settled(&mut self, now: Instant) {
        if self.orders.is_settled(now)
            && let Some(epoch) = self.unannounced_epoch.take()
        {
            self.resigned_epoch = epoch;
        }
    }

    /// Passes on a lease that was given up. Returns the next operation, if any.
    fn hand_over(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        match self.release {
            Release::Due if self.orders.is_settled(now) => {
                self.release = Release::Done;
                if self.lease.valid_until().is_some() {
                    log::info!("lease_released");
                }
                self.lease.release(now, write_id)
            }
            // The release may still have to be written.
            Release::Done => self.lease.tick(now, write_id),
            Release::Due | Release::NotDue => None,
        }
    }

    /// Takes part in the election: renews, reads or takes over. Returns the next operation, if
    /// any.
    pub(crate) fn tick(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        self.announce_if_settled(now);
        if self.is_given_up() {
            return self.hand_over(now, write_id);
        }
        self.lease.tick(now, write_id)
    }
}

#[cfg(test)]
mod tests;
