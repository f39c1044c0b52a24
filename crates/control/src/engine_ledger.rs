//! One engine's ledger as handled by this planner: reading, writing and settling in-doubt writes.

use {
    crate::event::OpId,
    glade_engine::{Order, OrderKind, OrderOutcome},
    glade_ledger::Ledger,
    glade_platform::{Key, Revision, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{BackendId, GroupId},
    std::time::{Duration, Instant},
};

/// First pause after an order without an answer.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Longest pause after repeated orders without an answer.
const RETRY_MAX: Duration = Duration::from_secs(16);

/// What is known of the ledger's row.
#[derive(Clone, Debug)]
pub(crate) enum LedgerRow {
    /// Nothing; it has to be read.
    Unread,
    /// It doesn't exist.
    Absent,
    /// It stands like this.
    Present { revision: Revision, ledger: Ledger },
}

/// A write on top of the known row.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ledger: Ledger,
    /// Order to send once the write is committed.
    pub(crate) order: Option<Order>,
    /// Outcomes that the write records.
    settled: Vec<(Order, OrderOutcome)>,
}

/// One engine's ledger.
#[derive(Debug)]
pub(crate) struct EngineLedger {
    pub(crate) engine: BackendId,
    pub(crate) group: GroupId,
    pub(crate) row: LedgerRow,
    /// The operation under way, if any.
    busy: Option<OpId>,
    pending: Option<PendingWrite>,
    /// Writes whose answer was lost and that may have landed or may still do so.
    doubtful: Vec<PendingWrite>,
    /// Outcomes of orders that the row doesn't show yet.
    outcomes: Vec<(Order, OrderOutcome)>,
    /// The order that was sent last and has no outcome yet.
    pub(crate) in_flight: Option<Order>,
    pub(crate) retry_at: Instant,
    failures: u32,
    /// When the row last changed by this planner's hand.
    pub(crate) changed_at: Instant,
}

impl EngineLedger {
    pub(crate) fn new(engine: BackendId, group: GroupId, now: Instant) -> Self {
        Self {
            engine,
            group,
            row: LedgerRow::Unread,
            busy: None,
            pending: None,
            doubtful: Vec::new(),
            outcomes: Vec::new(),
            in_flight: None,
            retry_at: now,
            failures: 0,
            changed_at: now,
        }
    }

    /// Key of the row.
    pub(crate) fn key(&self) -> Key {
        Key::new(&format!("ledger/{}/{}", self.group, self.engine))
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.busy.is_some()
    }

    pub(crate) fn ledger(&self) -> Option<&Ledger> {
        match &self.row {
            LedgerRow::Present { ledger, .. } => Some(ledger),
            LedgerRow::Unread | LedgerRow::Absent => None,
        }
    }

    /// True if outcomes wait to be recorded.
    pub(crate) fn has_outcomes(&self) -> bool {
        !self.outcomes.is_empty()
    }

    /// True if a base model's load that this planner sent has no outcome yet.
    pub(crate) fn is_loading_base(&self) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|order| matches!(order.kind, OrderKind::Load { base: None, .. }))
    }

    pub(crate) fn begin_read(&mut self, op: OpId) {
        self.busy = Some(op);
    }

    /// Applies all outcomes to `ledger`; true if that changed it.
    pub(crate) fn settle_into(&self, ledger: &mut Ledger) -> bool {
        let mut changed = false;
        for (order, outcome) in &self.outcomes {
            changed |= ledger.record_outcome(order, *outcome);
        }
        changed
    }

    /// Forgets outcomes that change nothing.
    pub(crate) fn drop_outcomes(&mut self) {
        self.outcomes.clear();
    }

    /// Starts to write `ledger` on top of the known row.
    pub(crate) fn begin_write(&mut self, op: OpId, ledger: Ledger, order: Option<Order>) -> Txn {
        let expected = match &self.row {
            LedgerRow::Present { revision, .. } => *revision,
            LedgerRow::Unread | LedgerRow::Absent => Revision::ABSENT,
        };
        let value = serde_json::to_vec(&ledger).expect("ledgers have only string keys");
        let settled = std::mem::take(&mut self.outcomes);
        self.pending = Some(PendingWrite { ledger, order, settled });
        self.busy = Some(op);
        Txn::compare_and_set(self.key(), expected, value)
    }

    /// Takes the answer to a write. Returns the order whose reservation is now committed.
    pub(crate) fn on_written(
        &mut self,
        now: Instant,
        op: OpId,
        answer: Result<TxnAnswer, StoreError>,
    ) -> Option<Order> {
        if self.busy != Some(op) {
            return None;
        }
        self.busy = None;
        let pending = self.pending.take()?;
        match answer {
            Ok(TxnAnswer::Committed(revision)) => self.commit(now, revision, pending),
            Ok(TxnAnswer::Conflict(rows)) => {
                self.outcomes.splice(0..0, pending.settled);
                self.observe(now, rows.first())
            }
            Err(StoreError::NotSent { .. }) => {
                self.outcomes.splice(0..0, pending.settled);
                None
            }
            Err(StoreError::Unknown { .. }) => {
                self.outcomes.splice(0..0, pending.settled.iter().cloned());
                self.doubtful.push(pending);
                self.row = LedgerRow::Unread;
                None
            }
        }
    }

    /// Takes the answer to a read. Returns the order of a write that turns out to be committed.
    pub(crate) fn on_read(
        &mut self,
        now: Instant,
        op: OpId,
        answer: Result<Option<StoredRow>, StoreError>,
    ) -> Option<Order> {
        if self.busy != Some(op) {
            return None;
        }
        self.busy = None;
        match answer {
            Ok(stored) => self.observe(now, stored.as_ref()),
            Err(_) => None,
        }
    }

    /// Takes note of the row as stored, unless an operation on it is under way.
    pub(crate) fn observe(&mut self, now: Instant, stored: Option<&StoredRow>) -> Option<Order> {
        if self.busy.is_some() {
            return None;
        }
        let Some(stored) = stored else {
            self.row = LedgerRow::Absent;
            return None;
        };
        let Ok(ledger) = serde_json::from_slice::<Ledger>(&stored.value) else {
            // A row that can't be read is never written over; an operator has to look at it.
            self.row = LedgerRow::Unread;
            return None;
        };
        let landed =
            self.doubtful.iter().position(|write| write.ledger.write_id == ledger.write_id);
        if let Some(idx) = landed {
            let write = self.doubtful.swap_remove(idx);
            return self.commit(now, stored.revision, write);
        }
        self.row = LedgerRow::Present { revision: stored.revision, ledger };
        None
    }

    fn commit(&mut self, now: Instant, revision: Revision, write: PendingWrite) -> Option<Order> {
        self.doubtful.clear();
        self.changed_at = now;
        self.outcomes.retain(|outcome| !write.settled.contains(outcome));
        self.row = LedgerRow::Present { revision, ledger: write.ledger };
        write.order
    }

    /// Takes what became known about an order that this planner decided.
    pub(crate) fn on_order(&mut self, now: Instant, order: Order, outcome: OrderOutcome) {
        if self.in_flight.as_ref() == Some(&order) {
            self.in_flight = None;
        }
        if outcome == OrderOutcome::Done {
            self.failures = 0;
            self.retry_at = now;
        } else {
            let pause = RETRY_MIN * 2_u32.pow(self.failures.min(5));
            self.retry_at = now + pause.min(RETRY_MAX);
            self.failures += 1;
        }
        self.outcomes.push((order, outcome));
    }
}
