//! The state machine of a call made under the caller's own idempotency key.
//!
//! The entry daemon creates one [`KeyedCall`] per attempt, performs the steps that the state
//! machine returns and reports their results. An attempt dispatches the request only after it has
//! claimed the call's row in the table service.

use {
    crate::call_record::{CallRecord, CallState, StoredAnswer},
    glade_platform::{Key, Revision, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{CallOutcome, Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// Maximum number of inserts by one attempt, including inserts that take over an existing row.
/// Bounds the work while the table service doesn't answer or other attempts keep winning.
const MAX_INSERTS: u32 = 3;

/// Identifies one attempt by one VM incarnation. No two attempts have the same owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Owner {
    /// VM that makes the attempt.
    pub vm: VmId,
    /// Incarnation of the VM's entry daemon.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt within the incarnation.
    pub attempt: u64,
}

/// Final result of an attempt that doesn't dispatch the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// The call ran before; this is its stored answer.
    Replayed(StoredAnswer),
    /// This attempt did not run the call. Whether an earlier attempt under the same key ran the
    /// call is unknown.
    NotRun {
        /// Why the attempt did not run the call.
        reason: String,
    },
    /// Another attempt owns the call and is in flight or died. This attempt did not run the call.
    OwnedByOther {
        /// The attempt that owns the call.
        owner: Owner,
    },
    /// An earlier attempt may have sent the request and its outcome is unknown; the request is
    /// never sent again.
    Unknown,
    /// The key was already used for a different request.
    KeyReused,
}

/// The next step that the caller of [`KeyedCall`] must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Apply this transaction and call [`KeyedCall::on_txn_result`].
    Transact(Txn),
    /// Read this row and call [`KeyedCall::on_read_result`].
    Read(Key),
    /// Send the request now, exactly once, and call [`KeyedCall::on_outcome`].
    Dispatch,
    /// Send this reply to the caller; the attempt is finished.
    Reply(CallReply),
}

/// The state of one attempt. Performs no I/O.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    key: Key,
    record: CallRecord,
    expected_revision: Revision,
    insert_attempts: u32,
    /// Whether an insert without an answer may have been applied or may still be applied.
    insert_in_doubt: bool,
    dispatched: bool,
}

impl KeyedCall {
    /// Starts an attempt and returns its first step, which claims the call's row.
    pub fn start(key: Key, owner: Owner, request_hash: u64) -> (Self, CallStep) {
        let record = CallRecord { owner, request_hash, state: CallState::Claimed };
        let mut call = Self {
            key,
            record,
            expected_revision: Revision::ABSENT,
            insert_attempts: 0,
            insert_in_doubt: false,
            dispatched: false,
        };
        let step = call.insert();
        (call, step)
    }

    /// Returns the owner that identifies this attempt.
    pub fn owner(&self) -> &Owner {
        &self.record.owner
    }

    /// Returns the key of the call's row in the table service.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns true if a row of this attempt may exist although the attempt did not dispatch the
    /// call. Later attempts on the same VM may then take the call over.
    pub fn may_be_abandoned(&self) -> bool {
        self.insert_in_doubt && !self.dispatched
    }

    /// Handles the result of [`CallStep::Transact`].
    ///
    /// `is_abandoned` returns true for an owner that, according to the records of this VM, never
    /// dispatched the call and never will.
    pub fn on_txn_result(
        &mut self,
        answer: Result<TxnAnswer, StoreError>,
        is_abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        match answer {
            Ok(TxnAnswer::Committed(revision)) => self.dispatch_claimed(revision),
            Ok(TxnAnswer::Conflict(rows)) => self.on_stored_row(rows.first(), is_abandoned),
            Err(StoreError::NotSent { reason }) if !self.insert_in_doubt => {
                CallStep::Reply(CallReply::NotRun { reason })
            }
            Err(StoreError::NotSent { .. }) => CallStep::Read(self.key.clone()),
            #[cfg(feature = "sabotage")]
            Err(StoreError::Unknown { .. }) if crate::sabotage::is_guard_removed() => {
                self.dispatch_claimed(Revision::ABSENT)
            }
            Err(StoreError::Unknown { .. }) => {
                self.insert_in_doubt = true;
                CallStep::Read(self.key.clone())
            }
        }
    }

    /// Handles the result of [`CallStep::Read`]. `is_abandoned` is as for
    /// [`KeyedCall::on_txn_result`].
    pub fn on_read_result(
        &mut self,
        answer: Result<Option<StoredRow>, StoreError>,
        is_abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        match answer {
            Ok(row) => self.on_stored_row(row.as_ref(), is_abandoned),
            Err(err) if self.insert_attempts >= MAX_INSERTS => {
                CallStep::Reply(CallReply::NotRun { reason: err.to_string() })
            }
            Err(_) => self.insert(),
        }
    }

    /// Handles the outcome of the dispatch and returns the transaction that records the outcome.
    /// The reply to the caller doesn't wait for this transaction.
    pub fn on_outcome(&mut self, outcome: CallOutcome, answer: Option<StoredAnswer>) -> Txn {
        self.record.state = match (outcome, answer) {
            (CallOutcome::Answered, Some(answer)) => CallState::Answered(answer),
            (CallOutcome::NotRun, _) => CallState::NotRun,
            (CallOutcome::Answered | CallOutcome::Unknown, _) => CallState::Unknown,
        };
        Txn::compare_and_set(self.key.clone(), self.expected_revision, encode(&self.record))
    }

    fn insert(&mut self) -> CallStep {
        self.insert_attempts += 1;
        let value = encode(&self.record);
        CallStep::Transact(Txn::compare_and_set(self.key.clone(), self.expected_revision, value))
    }

    fn dispatch_claimed(&mut self, revision: Revision) -> CallStep {
        self.expected_revision = revision;
        self.dispatched = true;
        CallStep::Dispatch
    }

    fn on_stored_row(
        &mut self,
        row: Option<&StoredRow>,
        is_abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        let Some(row) = row else {
            if self.insert_attempts >= MAX_INSERTS {
                let reason = "the table service gives no answer".to_owned();
                return CallStep::Reply(CallReply::NotRun { reason });
            }
            self.expected_revision = Revision::ABSENT;
            return self.insert();
        };
        let Ok(stored) = serde_json::from_slice::<CallRecord>(&row.value) else {
            return CallStep::Reply(CallReply::Unknown);
        };
        if stored.owner == self.record.owner {
            return self.dispatch_claimed(row.revision);
        }
        if stored.request_hash != self.record.request_hash {
            return CallStep::Reply(CallReply::KeyReused);
        }
        match stored.state {
            CallState::Answered(answer) => CallStep::Reply(CallReply::Replayed(answer)),
            CallState::Unknown => CallStep::Reply(CallReply::Unknown),
            CallState::NotRun => self.take_over(row.revision),
            CallState::Claimed if is_abandoned(&stored.owner) => self.take_over(row.revision),
            CallState::Claimed => CallStep::Reply(CallReply::OwnedByOther { owner: stored.owner }),
        }
    }

    fn take_over(&mut self, revision: Revision) -> CallStep {
        if self.insert_attempts >= MAX_INSERTS {
            let reason = "other attempts under this key kept coming first".to_owned();
            return CallStep::Reply(CallReply::NotRun { reason });
        }
        self.expected_revision = revision;
        self.insert()
    }
}

fn encode(record: &CallRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("records have only string keys")
}

#[cfg(test)]
mod tests {
    use {super::*, glade_platform::MemoryTable};

    fn owner(vm: &str, attempt: u64) -> Owner {
        Owner { vm: VmId::new(vm), incarnation: Incarnation(1), attempt }
    }

    fn start(vm: &str, attempt: u64) -> (KeyedCall, Txn) {
        let (call, step) = KeyedCall::start(Key::new("call/s/k"), owner(vm, attempt), 7);
        let CallStep::Transact(txn) = step else { panic!("{step:?}") };
        (call, txn)
    }

    fn lost_answer() -> StoreError {
        StoreError::Unknown { reason: "lost".to_owned() }
    }

    fn none_abandoned(_: &Owner) -> bool {
        false
    }

    #[test]
    fn two_vms_with_one_key_dispatch_once() {
        let mut store = MemoryTable::default();
        let (mut a, txn_a) = start("a", 1);
        let (mut b, txn_b) = start("b", 1);
        assert_eq!(a.on_txn_result(Ok(store.transact(&txn_a)), none_abandoned), CallStep::Dispatch);
        let reply = b.on_txn_result(Ok(store.transact(&txn_b)), none_abandoned);
        assert_eq!(reply, CallStep::Reply(CallReply::OwnedByOther { owner: owner("a", 1) }));
    }

    #[test]
    fn an_insert_with_a_lost_answer_is_read_back_and_dispatched_once() {
        let mut store = MemoryTable::default();
        let (mut call, txn) = start("a", 1);
        store.transact(&txn);
        let CallStep::Read(key) = call.on_txn_result(Err(lost_answer()), none_abandoned) else {
            panic!("no read")
        };
        assert_eq!(call.on_read_result(Ok(store.read(&key)), none_abandoned), CallStep::Dispatch);
    }

    #[test]
    fn an_insert_applied_late_is_found_by_the_next_insert() {
        let mut store = MemoryTable::default();
        let (mut call, late) = start("a", 1);
        let CallStep::Read(_) = call.on_txn_result(Err(lost_answer()), none_abandoned) else {
            panic!("no read")
        };
        let CallStep::Transact(retry) = call.on_read_result(Ok(None), none_abandoned) else {
            panic!("no insert")
        };
        store.transact(&late);
        assert_eq!(
            call.on_txn_result(Ok(store.transact(&retry)), none_abandoned),
            CallStep::Dispatch
        );
    }

    #[test]
    fn the_answer_is_replayed_and_a_reused_key_is_refused() {
        let mut store = MemoryTable::default();
        let (mut a, txn) = start("a", 1);
        a.on_txn_result(Ok(store.transact(&txn)), none_abandoned);
        let answer = StoredAnswer { status: 200, content_type: None, body: b"ok".to_vec() };
        store.transact(&a.on_outcome(CallOutcome::Answered, Some(answer.clone())));
        let (mut b, txn) = start("b", 1);
        let reply = b.on_txn_result(Ok(store.transact(&txn)), none_abandoned);
        assert_eq!(reply, CallStep::Reply(CallReply::Replayed(answer)));
        let (mut other, step) = KeyedCall::start(Key::new("call/s/k"), owner("c", 1), 8);
        let CallStep::Transact(txn) = step else { panic!("{step:?}") };
        let reply = other.on_txn_result(Ok(store.transact(&txn)), none_abandoned);
        assert_eq!(reply, CallStep::Reply(CallReply::KeyReused));
    }

    #[test]
    fn a_call_that_did_not_run_can_be_taken_over_but_a_call_with_unknown_outcome_cannot() {
        let mut store = MemoryTable::default();
        let (mut a, txn) = start("a", 1);
        a.on_txn_result(Ok(store.transact(&txn)), none_abandoned);
        store.transact(&a.on_outcome(CallOutcome::NotRun, None));
        let (mut b, txn) = start("b", 1);
        let CallStep::Transact(txn) = b.on_txn_result(Ok(store.transact(&txn)), none_abandoned)
        else {
            panic!("no takeover")
        };
        assert_eq!(b.on_txn_result(Ok(store.transact(&txn)), none_abandoned), CallStep::Dispatch);
        store.transact(&b.on_outcome(CallOutcome::Unknown, None));
        let (mut c, txn) = start("c", 1);
        let reply = c.on_txn_result(Ok(store.transact(&txn)), none_abandoned);
        assert_eq!(reply, CallStep::Reply(CallReply::Unknown));
    }

    #[test]
    fn an_abandoned_attempt_of_the_same_vm_does_not_block_the_key() {
        let mut store = MemoryTable::default();
        let (mut first, txn) = start("a", 1);
        let mut step = first.on_txn_result(Err(lost_answer()), none_abandoned);
        for _ in 0..5 {
            step = match step {
                CallStep::Read(_) => first.on_read_result(Err(lost_answer()), none_abandoned),
                CallStep::Transact(_) => first.on_txn_result(Err(lost_answer()), none_abandoned),
                other => other,
            };
        }
        assert!(matches!(step, CallStep::Reply(CallReply::NotRun { .. })), "{step:?}");
        assert!(first.may_be_abandoned());
        store.transact(&txn);
        let (mut second, txn) = start("a", 2);
        let is_first = |owner: &Owner| owner.attempt == 1;
        let CallStep::Transact(txn) = second.on_txn_result(Ok(store.transact(&txn)), is_first)
        else {
            panic!("no takeover")
        };
        assert_eq!(second.on_txn_result(Ok(store.transact(&txn)), is_first), CallStep::Dispatch);
    }
}
