//! Commits one edit of the table with optimistic concurrency control.
//!
//! The new text is stored first, in an object with a key of its own. Then one transaction sets the
//! head row to the new version, on condition that the head hasn't changed since it was read, and
//! adds a row to the history. When the answer to a commit is lost, the history row of the version
//! that the commit would create decides its outcome. If that row names this edit, the edit is
//! committed, whatever was committed after it. If it names another edit, the commit can no longer
//! succeed. An edit that loses a race against another is rebased on the winner's table and tried
//! again, unless both changed the same rows.

use {
    crate::table_head::{HEAD_KEY, HistoryRow, TableHead, history_key},
    glade_platform::{
        Condition, Key, ObjectStore, Revision, StoreError, StoredRow, TableService, Txn, TxnAnswer,
        Write,
    },
    glade_table::{Conflict, Table, TableVersion, diff, rebase, to_csv},
    std::sync::Arc,
};

/// Number of versions whose history rows are kept.
const HISTORY_VERSIONS: u64 = 1000;
/// Failed reads that are retried during one edit, in total.
const MAX_READ_FAILURES: u32 = 4;
/// Commit attempts before the edit ends with the outcome known so far: not applied, or unknown.
const MAX_ATTEMPTS: u32 = 12;

/// An edit that an operator requests.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Identifier of the edit, unique.
    pub edit_id: u64,
    /// Name of the operator, as stated by the client.
    pub author: String,
    /// Version that the operator edited.
    pub based_on: TableVersion,
    /// The edited table.
    pub edited: Table,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The edit is committed; this table is the result.
    Committed(Arc<Table>),
    /// The edit changes nothing; this version stays current.
    Unchanged(TableVersion),
    /// Another edit changed the same rows; nothing was applied.
    Conflict(Conflict),
    /// The version that the edit is based on is no longer in the history; nothing was applied.
    BaseExpired(TableVersion),
    /// Nothing was applied: the store couldn't be reached.
    NotApplied(StoreError),
    /// The commit may have been applied or may still be. Once it has been, the history has a row
    /// with the edit's identifier.
    Unknown {
        /// Identifier of the edit.
        edit_id: u64,
        /// Version that the commit would create.
        version: TableVersion,
    },
}

/// Next operation that the caller has to carry out for an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditStep {
    /// Read this row and call [`TableEdit::on_row`].
    ReadRow(Key),
    /// Read the table of this head and call [`TableEdit::on_table`].
    LoadTable(TableHead),
    /// Store this object and call [`TableEdit::on_object_stored`].
    PutObject(String, Vec<u8>),
    /// Apply this transaction and call [`TableEdit::on_txn_answer`].
    Transact(Txn),
    /// The edit has ended.
    Done(EditOutcome),
}

#[derive(Clone, Debug)]
enum State {
    ReadingBaseRow,
    LoadingBase,
    ReadingHead,
    LoadingCurrent {
        revision: Revision,
    },
    Storing {
        revision: Revision,
        new_table: Arc<Table>,
        head: TableHead,
    },
    Committing {
        new_table: Arc<Table>,
    },
    /// The answer to the commit of `new_table` was lost. The history row of its version is being
    /// read.
    ResolvingCommit {
        new_table: Arc<Table>,
    },
}

/// State machine of one edit. It does no I/O; [`run_edit`] carries out its steps.
#[derive(Clone, Debug)]
pub struct TableEdit {
    request: EditRequest,
    base: Option<Table>,
    state: State,
    attempts: u32,
    /// Table of the latest commit whose outcome isn't known.
    unresolved: Option<Arc<Table>>,
    /// The latest read, for retrying it.
    last_read: EditStep,
    read_failures: u32,
}

impl TableEdit {
    /// Starts an edit.
    pub fn start(request: EditRequest) -> (Self, EditStep) {
        let (state, step) = if request.based_on == TableVersion(0) {
            (State::ReadingHead, EditStep::ReadRow(Key::new(HEAD_KEY)))
        } else {
            (State::ReadingBaseRow, EditStep::ReadRow(history_key(request.based_on)))
        };
        let base = (request.based_on == TableVersion(0)).then(Table::default);
        let edit = Self {
            request,
            base,
            state,
            attempts: 0,
            unresolved: None,
            last_read: step.clone(),
            read_failures: 0,
        };
        (edit, step)
    }

    /// Records `step` for a retry if it is a read.
    fn record_read(&mut self, step: EditStep) -> EditStep {
        if matches!(step, EditStep::ReadRow(_) | EditStep::LoadTable(_)) {
            self.last_read = step.clone();
        }
        step
    }

    /// Retries the latest read up to [`MAX_READ_FAILURES`] times per edit. This is safe because a
    /// read has no effect on the store.
    fn read_failed(&mut self, err: StoreError) -> EditStep {
        self.read_failures += 1;
        if self.read_failures <= MAX_READ_FAILURES {
            self.last_read.clone()
        } else {
            self.end_after_failure(err)
        }
    }

    /// Takes the answer to [`EditStep::ReadRow`].
    pub fn on_row(&mut self, answer: Result<Option<StoredRow>, StoreError>) -> EditStep {
        let step = match answer {
            Ok(row) => self.process_row(row),
            Err(err) => return self.read_failed(err),
        };
        self.record_read(step)
    }

    fn process_row(&mut self, row: Option<StoredRow>) -> EditStep {
        match self.state.clone() {
            State::ReadingBaseRow => match row.as_ref().and_then(decode::<HistoryRow>) {
                Some(history) => {
                    self.state = State::LoadingBase;
                    EditStep::LoadTable(history.head)
                }
                None => EditStep::Done(EditOutcome::BaseExpired(self.request.based_on)),
            },
            State::ResolvingCommit { new_table } => self.resolve_commit(new_table, row.as_ref()),
            _ => self.on_head(row.as_ref()),
        }
    }

    fn on_head(&mut self, row: Option<&StoredRow>) -> EditStep {
        let Some(row) = row else { return self.rebase_on(Revision::ABSENT, &Table::default()) };
        let Some(head) = decode::<TableHead>(row) else {
            let reason = "the table's head is malformed".to_owned();
            return EditStep::Done(EditOutcome::NotApplied(StoreError::Unknown { reason }));
        };
        self.state = State::LoadingCurrent { revision: row.revision };
        EditStep::LoadTable(head)
    }

    /// Takes the answer to [`EditStep::LoadTable`].
    pub fn on_table(&mut self, answer: Result<Table, StoreError>) -> EditStep {
        let step = match answer {
            Ok(table) => self.process_table(table),
            Err(err) => return self.read_failed(err),
        };
        self.record_read(step)
    }

    fn process_table(&mut self, table: Table) -> EditStep {
        match self.state.clone() {
            State::LoadingCurrent { revision } => self.rebase_on(revision, &table),
            _ => {
                self.base = Some(table);
                self.read_head()
            }
        }
    }

    /// Takes the answer to [`EditStep::PutObject`].
    pub fn on_object_stored(&mut self, answer: Result<(), StoreError>) -> EditStep {
        let State::Storing { revision, new_table, head } = self.state.clone() else {
            return self.read_head();
        };
        if let Err(err) = answer {
            return self.end_after_failure(err);
        }
        let base = self.base.clone().unwrap_or_default();
        let rows = diff(&base, &self.request.edited);
        let history = HistoryRow {
            head: head.clone(),
            author: self.request.author.clone(),
            rows: rows.iter().map(|change| change.name().to_string()).collect(),
        };
        let mut writes = vec![
            Write::Put { key: Key::new(HEAD_KEY), value: encode(&head) },
            Write::Put { key: history_key(head.version), value: encode(&history) },
        ];
        if let Some(expired) = head.version.0.checked_sub(HISTORY_VERSIONS) {
            writes.push(Write::Delete { key: history_key(TableVersion(expired)) });
        }
        self.state = State::Committing { new_table };
        let conditions = vec![Condition { key: Key::new(HEAD_KEY), revision }];
        EditStep::Transact(Txn { conditions, writes })
    }

    /// Takes the answer to [`EditStep::Transact`].
    pub fn on_txn_answer(&mut self, answer: Result<TxnAnswer, StoreError>) -> EditStep {
        let State::Committing { new_table } = self.state.clone() else { return self.read_head() };
        self.attempts += 1;
        match answer {
            Ok(TxnAnswer::Committed(_)) => EditStep::Done(EditOutcome::Committed(new_table)),
            Ok(TxnAnswer::Conflict(_)) => match self.unresolved.clone() {
                // An earlier commit of this same edit may have changed the head.
                Some(unresolved) => self.read_history(unresolved),
                None => self.read_head(),
            },
            Err(StoreError::NotSent { .. }) if self.attempts < MAX_ATTEMPTS => self.read_head(),
            Err(err @ StoreError::NotSent { .. }) => self.end_after_failure(err),
            Err(StoreError::Unknown { .. }) => {
                self.unresolved = Some(Arc::clone(&new_table));
                self.read_history(new_table)
            }
        }
    }

    /// Decides the outcome of the commit of `new_table`, whose answer was lost, from the history
    /// row of its version.
    fn resolve_commit(&mut self, new_table: Arc<Table>, row: Option<&StoredRow>) -> EditStep {
        match row.and_then(decode::<HistoryRow>) {
            Some(history) if history.head.edit_id == self.request.edit_id => {
                EditStep::Done(EditOutcome::Committed(new_table))
            }
            Some(_) => {
                self.unresolved = None;
                self.read_head()
            }
            // The commit hasn't been applied and still may be. Both commits are conditional on the
            // head's revision, so trying again from the same head lets at most one of them succeed.
            None if self.attempts < MAX_ATTEMPTS => self.read_head(),
            None => self.give_up(),
        }
    }

    /// Merges the edit into the current table and stores the result.
    fn rebase_on(&mut self, revision: Revision, current: &Table) -> EditStep {
        let base = self.base.clone().unwrap_or_default();
        if self.attempts >= MAX_ATTEMPTS {
            return self.give_up();
        }
        if let Some(unresolved) = self.unresolved.clone()
            && current.version >= unresolved.version
        {
            return self.read_history(unresolved);
        }
        let merged = match rebase(&base, &self.request.edited, current) {
            Ok(merged) => merged,
            Err(conflict) => return EditStep::Done(EditOutcome::Conflict(conflict)),
        };
        if diff(current, &merged).is_empty() && current.version != TableVersion(0) {
            return EditStep::Done(EditOutcome::Unchanged(current.version));
        }
        let version = TableVersion(current.version.0 + 1);
        let new_table = Arc::new(merged.at_version(version));
        let object = format!("table-{:012}-{:016x}.csv", version.0, self.request.edit_id);
        let head = TableHead { version, edit_id: self.request.edit_id, object: object.clone() };
        let body = to_csv(&new_table).into_bytes();
        self.state = State::Storing { revision, new_table, head };
        EditStep::PutObject(object, body)
    }

    fn read_head(&mut self) -> EditStep {
        self.state = State::ReadingHead;
        self.record_read(EditStep::ReadRow(Key::new(HEAD_KEY)))
    }

    fn read_history(&mut self, new_table: Arc<Table>) -> EditStep {
        let key = history_key(new_table.version);
        self.state = State::ResolvingCommit { new_table };
        self.record_read(EditStep::ReadRow(key))
    }

    /// Ends the edit after a failure of the store. While the outcome of a commit is unknown, the
    /// edit must not be reported as not applied.
    fn end_after_failure(&mut self, err: StoreError) -> EditStep {
        match &self.unresolved {
            None => EditStep::Done(EditOutcome::NotApplied(err)),
            Some(_) => self.give_up(),
        }
    }

    /// Ends the edit with the outcome known so far: not applied, or unknown.
    fn give_up(&self) -> EditStep {
        EditStep::Done(match &self.unresolved {
            Some(new_table) => {
                EditOutcome::Unknown { edit_id: self.request.edit_id, version: new_table.version }
            }
            None => EditOutcome::NotApplied(StoreError::NotSent {
                reason: "other edits kept coming first".to_owned(),
            }),
        })
    }
}

fn decode<T: serde::de::DeserializeOwned>(row: &StoredRow) -> Option<T> {
    serde_json::from_slice(&row.value).ok()
}

fn encode<T: serde::Serialize>(row: &T) -> Vec<u8> {
    serde_json::to_vec(row).expect("rows have only string keys")
}

/// Runs an edit on the given services until it ends.
pub async fn run_edit<T: TableService, O: ObjectStore>(
    request: EditRequest,
    store: &T,
    objects: &O,
) -> EditOutcome {
    let (mut edit, mut step) = TableEdit::start(request);
    loop {
        step = match step {
            EditStep::ReadRow(key) => edit.on_row(store.read(&key).await),
            EditStep::LoadTable(head) => {
                edit.on_table(crate::table_head::load_table(objects, &head).await)
            }
            EditStep::PutObject(key, body) => edit.on_object_stored(objects.put(&key, &body).await),
            EditStep::Transact(txn) => edit.on_txn_answer(store.transact(&txn).await),
            EditStep::Done(outcome) => return outcome,
        };
    }
}
