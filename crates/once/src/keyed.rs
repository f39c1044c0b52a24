//! A call under the caller's own idempotency key.

use {
    crate::record::{CallRecord, CallState, StoredAnswer},
    glade_platform::{Key, Revision, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{CallOutcome, Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// Times that the insert is tried while the table service gives no answer.
const MAX_INSERTS: u32 = 3;

/// One attempt by one VM incarnation; no two attempts share an owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Owner {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its entry daemon.
    pub incarnation: Incarnation,
    /// Number of the attempt within the incarnation.
    pub attempt: u64,
}

/// Final word on a call without a dispatch by this attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// It ran before; this was its answer.
    Repeated(StoredAnswer),
    /// This attempt did not run it. Whether an earlier attempt under the key did isn't known.
    NotRun {
        /// Why.
        reason: String,
    },
    /// Another attempt is under way or died; this one did not run it.
    Elsewhere {
        /// The attempt that owns the call.
        owner: Owner,
    },
    /// An earlier attempt sent it and learnt no outcome; it is never sent again.
    Unknown,
    /// The key was used for a different request.
    KeyReused,
}

/// What the call needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Apply this transaction and call [`KeyedCall::on_answer`].
    Transact(Txn),
    /// Read this row and call [`KeyedCall::on_row`].
    Read(Key),
    /// Send the request now, once, and call [`KeyedCall::on_outcome`].
    Dispatch,
    /// Answer the caller.
    Reply(CallReply),
}

/// The state of one attempt. No I/O.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    key: Key,
    record: CallRecord,
    expected: Revision,
    inserts: u32,
    /// Whether an insert may have landed, or may still land, although no answer came.
    in_doubt: bool,
    dispatched: bool,
}

impl KeyedCall {
    /// Starts an attempt.
    pub fn start(key: Key, owner: Owner, request_hash: u64) -> (Self, CallStep) {
        let record = CallRecord { owner, request_hash, state: CallState::Claimed };
        let mut call = Self {
            key,
            record,
            expected: Revision::ABSENT,
            inserts: 0,
            in_doubt: false,
            dispatched: false,
        };
        let step = call.insert();
        (call, step)
    }

    /// The attempt.
    pub fn owner(&self) -> &Owner {
        &self.record.owner
    }

    /// Key of the call's row.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// True if a row of this attempt may exist without a dispatch: later attempts on the same VM
    /// may then take the call over.
    pub fn may_be_abandoned(&self) -> bool {
        self.in_doubt && !self.dispatched
    }

    /// Takes the answer to [`CallStep::Transact`]. `abandoned` says of an owner whether this VM
    /// knows that it never dispatched and never will.
    pub fn on_answer(
        &mut self,
        answer: Result<TxnAnswer, StoreError>,
        abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        match answer {
            Ok(TxnAnswer::Committed(revision)) => self.claimed(revision),
            Ok(TxnAnswer::Conflict(rows)) => self.on_stored(rows.first(), abandoned),
            Err(StoreError::NotSent { reason }) if !self.in_doubt => {
                CallStep::Reply(CallReply::NotRun { reason })
            }
            Err(StoreError::NotSent { .. }) => CallStep::Read(self.key.clone()),
            #[cfg(feature = "sabotage")]
            Err(StoreError::Unknown { .. }) if crate::sabotage::is_removed() => {
                self.claimed(Revision::ABSENT)
            }
            Err(StoreError::Unknown { .. }) => {
                self.in_doubt = true;
                CallStep::Read(self.key.clone())
            }
        }
    }

    /// Takes the answer to [`CallStep::Read`].
    pub fn on_row(
        &mut self,
        answer: Result<Option<StoredRow>, StoreError>,
        abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        match answer {
            Ok(row) => self.on_stored(row.as_ref(), abandoned),
            Err(err) if self.inserts >= MAX_INSERTS => {
                CallStep::Reply(CallReply::NotRun { reason: err.to_string() })
            }
            Err(_) => self.insert(),
        }
    }

    /// Takes the outcome of the dispatch and returns the transaction that records it. The caller is
    /// answered without waiting for the record.
    pub fn on_outcome(&mut self, outcome: CallOutcome, answer: Option<StoredAnswer>) -> Txn {
        self.record.state = match (outcome, answer) {
            (CallOutcome::Answered, Some(answer)) => CallState::Answered(answer),
            (CallOutcome::NotRun, _) => CallState::NotRun,
            (CallOutcome::Answered | CallOutcome::Unknown, _) => CallState::Unknown,
        };
        Txn::compare_and_set(self.key.clone(), self.expected, encode(&self.record))
    }

    fn insert(&mut self) -> CallStep {
        self.inserts += 1;
        let value = encode(&self.record);
        CallStep::Transact(Txn::compare_and_set(self.key.clone(), self.expected, value))
    }

    fn claimed(&mut self, revision: Revision) -> CallStep {
        self.expected = revision;
        self.dispatched = true;
        CallStep::Dispatch
    }

    fn on_stored(
        &mut self,
        row: Option<&StoredRow>,
        abandoned: impl Fn(&Owner) -> bool,
    ) -> CallStep {
        let Some(row) = row else {
            if self.inserts >= MAX_INSERTS {
                let reason = "the table service gives no answer".to_owned();
                return CallStep::Reply(CallReply::NotRun { reason });
            }
            self.expected = Revision::ABSENT;
            return self.insert();
        };
        let Ok(stored) = serde_json::from_slice::<CallRecord>(&row.value) else {
            return CallStep::Reply(CallReply::Unknown);
        };
        if stored.owner == self.record.owner {
            return self.claimed(row.revision);
        }
        if stored.request_hash != self.record.request_hash {
            return CallStep::Reply(CallReply::KeyReused);
        }
        match stored.state {
            CallState::Answered(answer) => CallStep::Reply(CallReply::Repeated(answer)),
            CallState::Unknown => CallStep::Reply(CallReply::Unknown),
            CallState::NotRun => self.take_over(row.revision),
            CallState::Claimed if abandoned(&stored.owner) => self.take_over(row.revision),
            CallState::Claimed => CallStep::Reply(CallReply::Elsewhere { owner: stored.owner }),
        }
    }

    fn take_over(&mut self, revision: Revision) -> CallStep {
        if self.inserts >= MAX_INSERTS {
            let reason = "other attempts under this key kept coming first".to_owned();
            return CallStep::Reply(CallReply::NotRun { reason });
        }
        self.expected = revision;
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

    fn lost() -> StoreError {
        StoreError::Unknown { reason: "lost".to_owned() }
    }

    fn nobody(_: &Owner) -> bool {
        false
    }

    #[test]
    fn two_vms_with_one_key_dispatch_once() {
        let mut store = MemoryTable::default();
        let (mut a, txn_a) = start("a", 1);
        let (mut b, txn_b) = start("b", 1);
        assert_eq!(a.on_answer(Ok(store.transact(&txn_a)), nobody), CallStep::Dispatch);
        let reply = b.on_answer(Ok(store.transact(&txn_b)), nobody);
        assert_eq!(reply, CallStep::Reply(CallReply::Elsewhere { owner: owner("a", 1) }));
    }

    #[test]
    fn an_insert_with_a_lost_answer_is_read_back_and_dispatched_once() {
        let mut store = MemoryTable::default();
        let (mut call, txn) = start("a", 1);
        store.transact(&txn);
        let CallStep::Read(key) = call.on_answer(Err(lost()), nobody) else { panic!("no read") };
        assert_eq!(call.on_row(Ok(store.read(&key)), nobody), CallStep::Dispatch);
    }

    #[test]
    fn an_insert_that_lands_late_is_found_by_the_next_one() {
        let mut store = MemoryTable::default();
        let (mut call, late) = start("a", 1);
        let CallStep::Read(_) = call.on_answer(Err(lost()), nobody) else { panic!("no read") };
        let CallStep::Transact(again) = call.on_row(Ok(None), nobody) else { panic!("no insert") };
        store.transact(&late);
        assert_eq!(call.on_answer(Ok(store.transact(&again)), nobody), CallStep::Dispatch);
    }

    #[test]
    fn the_answer_is_repeated_and_a_reused_key_is_refused() {
        let mut store = MemoryTable::default();
        let (mut a, txn) = start("a", 1);
        a.on_answer(Ok(store.transact(&txn)), nobody);
        let answer = StoredAnswer { status: 200, content_type: None, body: b"ok".to_vec() };
        store.transact(&a.on_outcome(CallOutcome::Answered, Some(answer.clone())));
        let (mut b, txn) = start("b", 1);
        let reply = b.on_answer(Ok(store.transact(&txn)), nobody);
        assert_eq!(reply, CallStep::Reply(CallReply::Repeated(answer)));
        let (mut other, step) = KeyedCall::start(Key::new("call/s/k"), owner("c", 1), 8);
        let CallStep::Transact(txn) = step else { panic!("{step:?}") };
        let reply = other.on_answer(Ok(store.transact(&txn)), nobody);
        assert_eq!(reply, CallStep::Reply(CallReply::KeyReused));
    }

    #[test]
    fn a_call_proved_not_run_can_be_taken_over_and_one_of_unknown_outcome_cannot() {
        let mut store = MemoryTable::default();
        let (mut a, txn) = start("a", 1);
        a.on_answer(Ok(store.transact(&txn)), nobody);
        store.transact(&a.on_outcome(CallOutcome::NotRun, None));
        let (mut b, txn) = start("b", 1);
        let CallStep::Transact(txn) = b.on_answer(Ok(store.transact(&txn)), nobody) else {
            panic!("no takeover")
        };
        assert_eq!(b.on_answer(Ok(store.transact(&txn)), nobody), CallStep::Dispatch);
        store.transact(&b.on_outcome(CallOutcome::Unknown, None));
        let (mut c, txn) = start("c", 1);
        let reply = c.on_answer(Ok(store.transact(&txn)), nobody);
        assert_eq!(reply, CallStep::Reply(CallReply::Unknown));
    }

    #[test]
    fn an_abandoned_attempt_of_the_same_vm_does_not_block_the_key() {
        let mut store = MemoryTable::default();
        let (mut first, txn) = start("a", 1);
        let mut step = first.on_answer(Err(lost()), nobody);
        for _ in 0..5 {
            step = match step {
                CallStep::Read(_) => first.on_row(Err(lost()), nobody),
                CallStep::Transact(_) => first.on_answer(Err(lost()), nobody),
                other => other,
            };
        }
        assert!(matches!(step, CallStep::Reply(CallReply::NotRun { .. })), "{step:?}");
        assert!(first.may_be_abandoned());
        store.transact(&txn);
        let (mut second, txn) = start("a", 2);
        let is_first = |owner: &Owner| owner.attempt == 1;
        let CallStep::Transact(txn) = second.on_answer(Ok(store.transact(&txn)), is_first) else {
            panic!("no takeover")
        };
        assert_eq!(second.on_answer(Ok(store.transact(&txn)), is_first), CallStep::Dispatch);
    }
}
