//! Reads and writes the ledger row of one engine for the planner's core, and resolves writes whose
//! answer was lost.
//!
//! The ledger records the memory reserved on the engine. An order is sent only after the write of
//! its reservation is known to be committed.

use {
    crate::event::OpId,
    glade_engine::{Order, OrderKind, OrderOutcome},
    glade_ledger::Ledger,
    glade_platform::{Key, Revision, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{BackendId, GroupId},
    std::time::{Duration, Instant},
};

/// First backoff after an order that wasn't carried out or had no answer.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(500);
/// Upper limit of the exponential backoff after repeated failures.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(16);

/// Last known state of the ledger's row in the table service.
#[derive(Clone, Debug)]
pub(crate) enum LedgerRow {
    /// The state is unknown and the row has to be read.
    Unread,
    /// The row doesn't exist.
    Absent,
    /// The row exists at this revision with this ledger.
    Present { revision: Revision, ledger: Ledger },
}

/// A conditional write that replaces the last known row.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ledger: Ledger,
    /// Order to send once the write is committed.
    pub(crate) order: Option<Order>,
    /// Outcomes of orders that the written ledger contains.
    recorded_outcomes: Vec<(Order, OrderOutcome)>,
}

/// Ledger row of one engine, with the operation on the row and the order in flight.
#[derive(Debug)]
pub(crate) struct EngineLedger {
    pub(crate) engine: BackendId,
    pub(crate) group: GroupId,
    pub(crate) row: LedgerRow,
    /// Operation on the row that has no answer yet.
    operation: Option<OpId>,
    pending: Option<PendingWrite>,
    /// Writes whose answer was lost. Each may have been committed or may still be.
    in_doubt: Vec<PendingWrite>,
    /// Outcomes of orders that aren't recorded in the row yet.
    outcomes: Vec<(Order, OrderOutcome)>,
    /// Order that was sent and has no outcome yet.
    pub(crate) in_flight: Option<Order>,
    /// Earliest time of the next order.
    pub(crate) retry_at: Instant,
    /// Consecutive orders that didn't succeed.
    failures: u32,
    /// Time of the last committed write by this planner.
    pub(crate) changed_at: Instant,
}

impl EngineLedger {
    pub(crate) fn new(engine: BackendId, group: GroupId, now: Instant) -> Self {
        Self {
            engine,
            group,
            row: LedgerRow::Unread,
            operation: None,
            pending: None,
            in_doubt: Vec::new(),
            outcomes: Vec::new(),
            in_flight: None,
            retry_at: now,
            failures: 0,
            changed_at: now,
        }
    }

    /// Returns the key of the ledger row.
    pub(crate) fn key(&self) -> Key {
        Key::new(&format!("ledger/{}/{}", self.group, self.engine))
    }

    /// Returns true while an operation on the row has no answer.
    pub(crate) fn has_operation(&self) -> bool {
        self.operation.is_some()
    }

    pub(crate) fn ledger(&self) -> Option<&Ledger> {
        match &self.row {
            LedgerRow::Present { ledger, .. } => Some(ledger),
            LedgerRow::Unread | LedgerRow::Absent => None,
        }
    }

    /// Returns true if outcomes of orders aren't recorded in the row yet.
    pub(crate) fn has_outcomes(&self) -> bool {
        !self.outcomes.is_empty()
    }

    /// Returns true if the order in flight loads a base model.
    pub(crate) fn is_loading_base(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|order| matches!(order.kind, OrderKind::Load { base: None, .. }))
    }

    pub(crate) fn begin_read(&mut self, op: OpId) {
        self.operation = Some(op);
    }

    /// Applies all unrecorded outcomes to `ledger`. Returns true if `ledger` changed.
    pub(crate) fn apply_outcomes(&self, ledger: &mut Ledger) -> bool {
        let mut changed = false;
        for (order, outcome) in &self.outcomes {
            changed |= ledger.record_outcome(order, *outcome);
        }
        changed
    }

    /// Discards the unrecorded outcomes once they are known not to change the ledger.
    pub(crate) fn discard_outcomes(&mut self) {
        self.outcomes.clear();
    }

    /// Starts a write that replaces the last known row by `ledger`.
    pub(crate) fn begin_write(&mut self, op: OpId, ledger: Ledger, order: Option<Order>) -> Txn {
        let expected = match &self.row {
            LedgerRow::Present { revision, .. } => *revision,
            LedgerRow::Unread | LedgerRow::Absent => Revision::ABSENT,
        };
        let value = serde_json::to_vec(&ledger).expect("ledgers have only string keys");
        let recorded_outcomes = std::mem::take(&mut self.outcomes);
        self.pending = Some(PendingWrite { ledger, order, recorded_outcomes });
        self.operation = Some(op);
        Txn::compare_and_set(self.key(), expected, value)
    }

    /// Handles the answer to a write. Returns the order whose reservation is now committed.
    pub(crate) fn on_written(
        &mut self,
        now: Instant,
        op: OpId,
        answer: Result<TxnAnswer, StoreError>,
    ) -> Option<Order> {
        if self.operation != Some(op) {
            return None;
        }
        self.operation = None;
        let pending = self.pending.take()?;
        match answer {
            Ok(TxnAnswer::Committed(revision)) => self.commit(now, revision, pending),
            Ok(TxnAnswer::Conflict(rows)) => {
                self.outcomes.splice(0..0, pending.recorded_outcomes);
                self.observe(now, rows.first())
            }
            Err(StoreError::NotSent { .. }) => {
                self.outcomes.splice(0..0, pending.recorded_outcomes);
                None
            }
            Err(StoreError::Unknown { .. }) => {
                self.outcomes.splice(0..0, pending.recorded_outcomes.iter().cloned());
                self.in_doubt.push(pending);
                self.row = LedgerRow::Unread;
                None
            }
        }
    }

    /// Handles the answer to a read. Returns the order of an in-doubt write that turns out to be
    /// committed.
    pub(crate) fn on_read(
        &mut self,
        now: Instant,
        op: OpId,
        answer: Result<Option<StoredRow>, StoreError>,
    ) -> Option<Order> {
        if self.operation != Some(op) {
            return None;
        }
        self.operation = None;
        match answer {
            Ok(stored) => self.observe(now, stored.as_ref()),
            Err(_) => None,
        }
    }

    /// Updates the last known row from the stored row, unless an operation on the row has no answer
    /// yet. Returns the order of an in-doubt write that turns out to be committed.
    pub(crate) fn observe(&mut self, now: Instant, stored: Option<&StoredRow>) -> Option<Order> {
        if self.operation.is_some() {
            return None;
        }
        let Some(stored) = stored else {
            self.row = LedgerRow::Absent;
            return None;
        };
        let Ok(ledger) = serde_json::from_slice::<Ledger>(&stored.value) else {
            // A row that can't be decoded is never overwritten; an operator has to inspect it.
            self.row = LedgerRow::Unread;
            return None;
        };
        let committed =
            self.in_doubt.iter().position(|write| write.ledger.write_id == ledger.write_id);
        if let Some(idx) = committed {
            let write = self.in_doubt.swap_remove(idx);
            return self.commit(now, stored.revision, write);
        }
        self.row = LedgerRow::Present { revision: stored.revision, ledger };
        None
    }

    /// Records that `write` is committed and returns its order.
    fn commit(&mut self, now: Instant, revision: Revision, write: PendingWrite) -> Option<Order> {
        self.in_doubt.clear();
        self.changed_at = now;
        self.outcomes.retain(|outcome| !write.recorded_outcomes.contains(outcome));
        self.row = LedgerRow::Present { revision, ledger: write.ledger };
        write.order
    }

    /// Handles the outcome of an order that this planner decided.
    pub(crate) fn on_order_outcome(&mut self, now: Instant, order: Order, outcome: OrderOutcome) {
        if self.in_flight.as_ref() == Some(&order) {
            self.in_flight = None;
        }
        if outcome == OrderOutcome::Done {
            self.failures = 0;
            self.retry_at = now;
        } else {
            let backoff = MIN_RETRY_BACKOFF * 2_u32.pow(self.failures.min(5));
            self.retry_at = now + backoff.min(MAX_RETRY_BACKOFF);
            self.failures += 1;
        }
        self.outcomes.push((order, outcome));
    }
}
