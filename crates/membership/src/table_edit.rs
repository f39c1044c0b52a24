//! One edit of the table.
//!
//! The new text is stored first, under a key of its own. Then one transaction moves the head, if it
//! still stands where it was read, and adds a row to the history. A commit whose answer was lost is
//! settled by the history row of the version it tried to make: if that row names this edit, the
//! edit is committed, whatever came after it; if it names another, this attempt can't land any
//! more. An edit that lost a race is tried again on top of the winner unless both changed the same
//! rows.

use {
    crate::table_head::{HEAD_KEY, HistoryRow, TableHead, history_key},
    glade_platform::{
        Condition, Key, ObjectStore, Revision, StoreError, StoredRow, TableService, Txn, TxnAnswer,
        Write,
    },
    glade_table::{Conflict, Table, TableVersion, diff, rebase, to_csv},
    std::sync::Arc,
};

/// Versions of which the history is kept.
const HISTORY_LEN: u64 = 1000;
/// Reads without an answer that are repeated during one edit.
const MAX_READ_FAILURES: u32 = 4;
/// Times that an edit is tried before its outcome is reported as it stands.
const MAX_ATTEMPTS: u32 = 12;

/// What the operator asks for.
#[derive(Clone, Debug)]
pub struct EditRequest {
    /// Identifier of the edit, unique.
    pub edit_id: u64,
    /// Who asks.
    pub author: String,
    /// Version that the edited text was based on.
    pub based_on: TableVersion,
    /// The edited table.
    pub edited: Table,
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// It is committed as this table.
    Committed(Arc<Table>),
    /// It changes nothing; this version stands.
    Unchanged(TableVersion),
    /// Another edit changed the same rows; nothing was applied.
    Conflict(Conflict),
    /// The version it was based on isn't known any more; nothing was applied.
    BaseExpired(TableVersion),
    /// Nothing was applied: the store couldn't be reached.
    NotApplied(StoreError),
    /// It may have been applied or may still be; the history will tell by the edit's identifier.
    Unknown {
        /// Identifier of the edit.
        edit_id: u64,
        /// Version it would make.
        version: TableVersion,
    },
}

/// What the edit needs next.
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
        next: Arc<Table>,
        head: TableHead,
    },
    Committing {
        next: Arc<Table>,
    },
    /// The answer to the commit of `next` was lost; its history row is being read.
    Settling {
        next: Arc<Table>,
    },
}

/// The state of one edit. No I/O; see [`run_edit`] for a driver.
#[derive(Clone, Debug)]
pub struct TableEdit {
    request: EditRequest,
    base: Option<Table>,
    state: State,
    attempts: u32,
    /// The last attempt whose outcome isn't known.
    in_doubt: Option<Arc<Table>>,
    /// The last read, for repeating it.
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
            in_doubt: None,
            last_read: step.clone(),
            read_failures: 0,
        };
        (edit, step)
    }

    /// Remembers a step that reads.
    fn remember(&mut self, step: EditStep) -> EditStep {
        if matches!(step, EditStep::ReadRow(_) | EditStep::LoadTable(_)) {
            self.last_read = step.clone();
        }
        step
    }

    /// Repeats the last read, which has no effect, a few times before giving up.
    fn read_failed(&mut self, err: StoreError) -> EditStep {
        self.read_failures += 1;
        if self.read_failures <= MAX_READ_FAILURES {
            self.last_read.clone()
        } else {
            self.failed(err)
        }
    }

    /// Takes the answer to [`EditStep::ReadRow`].
    pub fn on_row(&mut self, answer: Result<Option<StoredRow>, StoreError>) -> EditStep {
        let step = match answer {
            Ok(row) => self.take_row(row),
            Err(err) => return self.read_failed(err),
        };
        self.remember(step)
    }

    fn take_row(&mut self, row: Option<StoredRow>) -> EditStep {
        match self.state.clone() {
            State::ReadingBaseRow => match row.as_ref().and_then(decode::<HistoryRow>) {
                Some(history) => {
                    self.state = State::LoadingBase;
                    EditStep::LoadTable(history.head)
                }
                None => EditStep::Done(EditOutcome::BaseExpired(self.request.based_on)),
            },
            State::Settling { next } => self.settle(next, row.as_ref()),
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
            Ok(table) => self.take_table(table),
            Err(err) => return self.read_failed(err),
        };
        self.remember(step)
    }

    fn take_table(&mut self, table: Table) -> EditStep {
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
        let State::Storing { revision, next, head } = self.state.clone() else {
            return self.read_head();
        };
        if let Err(err) = answer {
            return self.failed(err);
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
        if let Some(old) = head.version.0.checked_sub(HISTORY_LEN) {
            writes.push(Write::Delete { key: history_key(TableVersion(old)) });
        }
        self.state = State::Committing { next };
        let conditions = vec![Condition { key: Key::new(HEAD_KEY), revision }];
        EditStep::Transact(Txn { conditions, writes })
    }

    /// Takes the answer to [`EditStep::Transact`].
    pub fn on_txn_answer(&mut self, answer: Result<TxnAnswer, StoreError>) -> EditStep {
        let State::Committing { next } = self.state.clone() else { return self.read_head() };
        self.attempts += 1;
        match answer {
            Ok(TxnAnswer::Committed(_)) => EditStep::Done(EditOutcome::Committed(next)),
            Ok(TxnAnswer::Conflict(_)) => match self.in_doubt.clone() {
                // The head may have been moved by an earlier attempt of this very edit.
                Some(doubtful) => self.read_history(doubtful),
                None => self.read_head(),
            },
            Err(StoreError::NotSent { .. }) if self.attempts < MAX_ATTEMPTS => self.read_head(),
            Err(err @ StoreError::NotSent { .. }) => self.failed(err),
            Err(StoreError::Unknown { .. }) => {
                self.in_doubt = Some(Arc::clone(&next));
                self.read_history(next)
            }
        }
    }

    fn settle(&mut self, next: Arc<Table>, row: Option<&StoredRow>) -> EditStep {
        match row.and_then(decode::<HistoryRow>) {
            Some(history) if history.head.edit_id == self.request.edit_id => {
                EditStep::Done(EditOutcome::Committed(next))
            }
            Some(_) => {
                self.in_doubt = None;
                self.read_head()
            }
            // The attempt hasn't landed and still may. Trying again from the same head makes sure
            // that at most one attempt does.
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
        if let Some(doubtful) = self.in_doubt.clone()
            && current.version >= doubtful.version
        {
            return self.read_history(doubtful);
        }
        let merged = match rebase(&base, &self.request.edited, current) {
            Ok(merged) => merged,
            Err(conflict) => return EditStep::Done(EditOutcome::Conflict(conflict)),
        };
        if diff(current, &merged).is_empty() && current.version != TableVersion(0) {
            return EditStep::Done(EditOutcome::Unchanged(current.version));
        }
        let version = TableVersion(current.version.0 + 1);
        let next = Arc::new(merged.at_version(version));
        let object = format!("table-{:012}-{:016x}.csv", version.0, self.request.edit_id);
        let head = TableHead { version, edit_id: self.request.edit_id, object: object.clone() };
        let body = to_csv(&next).into_bytes();
        self.state = State::Storing { revision, next, head };
        EditStep::PutObject(object, body)
    }

    fn read_head(&mut self) -> EditStep {
        self.state = State::ReadingHead;
        self.remember(EditStep::ReadRow(Key::new(HEAD_KEY)))
    }

    fn read_history(&mut self, next: Arc<Table>) -> EditStep {
        let key = history_key(next.version);
        self.state = State::Settling { next };
        self.remember(EditStep::ReadRow(key))
    }

    /// Ends the edit after a failure of the store, truthfully.
    fn failed(&mut self, err: StoreError) -> EditStep {
        match &self.in_doubt {
            None => EditStep::Done(EditOutcome::NotApplied(err)),
            Some(_) => self.give_up(),
        }
    }

    fn give_up(&self) -> EditStep {
        EditStep::Done(match &self.in_doubt {
            Some(next) => {
                EditOutcome::Unknown { edit_id: self.request.edit_id, version: next.version }
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

/// Carries an edit through the given services.
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
