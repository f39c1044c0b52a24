//! Watches a table of the platform's store and passes its snapshots and changes to the control
//! thread.

use {
    crate::{
        event::{Event, WatchedTable},
        read_role::ReadRole,
    },
    glade_clock::Clock,
    glade_platform::{ChangeFeed, FeedError, Revision},
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, watch},
        time::sleep,
    },
};

/// Longest wait of one call for changes. When a reader's connection stops delivering data without
/// being closed, the reader must notice soon enough for other nodes to read in its place before a
/// change is overdue.
pub(crate) const LONG_POLL_WAIT: Duration = Duration::from_millis(700);
/// Pause after changes, so that several changes in quick succession cost one call.
const BATCHING_PAUSE: Duration = Duration::from_millis(100);
/// Pause after changes for the standby reader, whose changes are used only if those of the primary
/// reader don't arrive.
const STANDBY_BATCHING_PAUSE: Duration = Duration::from_millis(350);
/// Factor by which both pauses are longer outside a full mesh: servers of a large deployment change
/// many times a second, and its time bounds are longer.
const LARGE_MESH_PAUSE_FACTOR: u32 = 3;
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. The configuration must be in force 2 s after the store is
/// reachable again.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Revision that a table watcher has reached, shared with the control thread.
#[derive(Clone, Debug)]
pub(crate) struct WatchPosition(Rc<Cell<Revision>>);

impl WatchPosition {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(Revision::ABSENT)))
    }

    /// Revision up to which all changes have been received, from the store or from other nodes.
    pub(crate) fn get(&self) -> Revision {
        self.0.get()
    }

    /// Makes the watcher read a new snapshot.
    pub(crate) fn reset(&self) {
        self.0.set(Revision::ABSENT);
    }

    /// Records that all changes up to `revision` have been received.
    pub(crate) fn advance_to(&self, revision: Revision) {
        self.0.set(self.0.get().max(revision));
    }
}

/// Watches one table.
pub(crate) struct TableWatcher<F> {
    pub(crate) store: Rc<F>,
    pub(crate) table: &'static str,
    pub(crate) watched: WatchedTable,
    pub(crate) position: WatchPosition,
    /// Longest wait of one call for changes.
    pub(crate) long_poll_wait: Duration,
    /// Whether this node reads the table itself at present, and as primary or standby reader.
    pub(crate) role: watch::Receiver<ReadRole>,
    /// True if the deployment is too large for a full mesh.
    pub(crate) in_large_mesh: Rc<Cell<bool>>,
    pub(crate) events: Sender<Event>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) rng: fastrand::Rng,
}

impl<F: ChangeFeed> TableWatcher<F> {
    /// Watches the table until the receiver of events is closed.
    pub(crate) async fn run(mut self) {
        let mut needs_snapshot = true;
        let mut backoff = BACKOFF_MIN;
        while self.role.wait_for(|role| role.is_reader()).await.is_ok() {
            let after = self.position.get();
            needs_snapshot |= after == Revision::ABSENT;
            let began_at = self.clock.now();
            let result = self.read(after, needs_snapshot).await;
            let failure = match result {
                Ok(event) => {
                    backoff = BACKOFF_MIN;
                    let has_changes = event.has_changes();
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                    needs_snapshot = false;
                    if has_changes {
                        sleep(self.pause_after_changes()).await;
                    }
                    continue;
                }
                Err(FeedError::HistoryLost) => {
                    log::info!(table = self.table, era = after.era.0, after = after.number; "feed_history_lost");
                    needs_snapshot = true;
                    continue;
                }
                Err(FeedError::Store(err)) => err.to_string(),
            };
            if self.events.send(Event::StoreCallFailed(began_at, failure)).await.is_err() {
                return;
            }
            sleep(backoff.mul_f64(0.5 + self.rng.f64())).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    fn pause_after_changes(&self) -> Duration {
        let is_standby = *self.role.borrow() == ReadRole::Standby;
        let pause = if is_standby { STANDBY_BATCHING_PAUSE } else { BATCHING_PAUSE };
        if self.in_large_mesh.get() { pause * LARGE_MESH_PAUSE_FACTOR } else { pause }
    }

    async fn read(&self, after: Revision, needs_snapshot: bool) -> Result<Event, FeedError> {
        if needs_snapshot {
            let snapshot = self.store.snapshot(self.table).await.map_err(FeedError::Store)?;
            return Ok(Event::Snapshot(self.watched, snapshot));
        }
        let changes = self.store.changes(self.table, after, self.long_poll_wait).await?;
        Ok(Event::Changes(self.watched, after, changes))
    }
}
