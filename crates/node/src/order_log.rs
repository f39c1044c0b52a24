//! When this node's orders may have reached engines. Decides when the right to send orders may pass
//! on, and which engines get no orders yet when it comes back.

use {
    glade_catalog::{EngineOrder, OrderAnswer, ServerKey},
    glade_residency::ORDER_ARRIVAL_MAX,
    glade_types::BackendId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// When the orders of one term may have reached an engine. One at a time waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Time up to which any of them may arrive.
    latest: Instant,
    /// Time up to which those without an answer may arrive, apart from the last one sent.
    unanswered: Option<Instant>,
}

/// Latest arrivals of this node's recent orders.
#[derive(Clone, Debug)]
pub(crate) struct OrderLog {
    /// Orders of one holder, then of another, and then of the first one again must not all reach an
    /// engine within this time.
    alternation_limit: Duration,
    /// By engine and fencing token.
    arrivals: BTreeMap<(ServerKey, u64), Arrival>,
    /// Fencing token of the latest term that may have followed another VM's. Orders with lower
    /// tokens are one turn earlier.
    turn_fence: u64,
    /// Value of [`LeaseCandidate::takeovers`](glade_lease::LeaseCandidate::takeovers) in that term.
    takeovers: u32,
}

impl OrderLog {
    pub(crate) fn new(alternation_limit: Duration) -> Self {
        Self { alternation_limit, arrivals: BTreeMap::new(), turn_fence: 0, takeovers: 0 }
    }

    /// Records that `order` is being sent.
    pub(crate) fn on_sent(&mut self, now: Instant, order: &EngineOrder) {
        let limit = self.alternation_limit;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < limit;
        self.arrivals.retain(|_, arrival| is_recent(arrival.latest));
        let latest = now + ORDER_ARRIVAL_MAX;
        self.arrivals
            .entry(Self::key(order))
            .or_insert(Arrival { latest, unanswered: None })
            .latest = latest;
    }

    /// Records the answer to `order`. Without one, the order may still be on its way.
    pub(crate) fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        let Some(arrival) = self.arrivals.get_mut(&Self::key(order)) else { return };
        if answer == OrderAnswer::Unclear {
            arrival.unanswered = Some(arrival.latest);
        } else {
            let latest = arrival.unanswered.map_or(now, |at| at.max(now));
            arrival.latest = arrival.latest.min(latest);
        }
    }

    /// True if none of the orders sent may still be on its way.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.arrivals.values().all(|arrival| arrival.latest <= now)
    }

    /// Records the start of a term with `fence`. `takeovers` is the number of acquisitions so far
    /// before which another VM may have held the lease.
    pub(crate) fn on_term_start(&mut self, fence: u64, takeovers: u32) {
        if takeovers != self.takeovers {
            self.takeovers = takeovers;
            self.turn_fence = fence;
        }
    }

    /// Earliest times for orders with `fence` to engines, as far as they lie ahead. Orders of an
    /// earlier term must not arrive after them.
    pub(crate) fn waits(&self, now: Instant, fence: u64) -> BTreeMap<BackendId, Instant> {
        let mut waits = BTreeMap::new();
        for ((engine, earlier), arrival) in &self.arrivals {
            if *earlier < fence {
                let is_turn = *earlier < self.turn_fence;
                let limit = if is_turn { self.alternation_limit } else { Duration::ZERO };
                let until = arrival.latest + limit;
                let known = waits.entry(engine.id.clone()).or_insert(until);
                *known = until.max(*known);
            }
        }
        waits.retain(|_, until| *until > now);
        waits
    }

    fn key(order: &EngineOrder) -> (ServerKey, u64) {
        (order.server.clone(), order.fencing_token)
    }
}
