//! Follows a table of the store.

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

/// Longest wait of one call for changes. A reader whose connection has gone silent must notice soon
/// enough for other nodes to read in its place before a change is overdue.
const WAIT: Duration = Duration::from_millis(700);
/// Pause after changes, so that several that come together cost one call.
const GATHERING_PAUSE: Duration = Duration::from_millis(100);
/// The same for a reader that only stands by: its news is used if the other one's doesn't come.
const STANDBY_PAUSE: Duration = Duration::from_millis(350);
/// By how much both are longer in a large mesh, whose servers change many times a second and whose
/// bounds are longer.
const LARGE_FACTOR: u32 = 3;
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. The configuration must be in force 2 s after the store is back.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Where a follower stands, shared with the control thread.
#[derive(Clone, Debug)]
pub(crate) struct WatchPosition(Rc<Cell<Revision>>);

impl WatchPosition {
    pub(crate) fn new() -> Self {
        Self(Rc::new(Cell::new(Revision::ABSENT)))
    }

    /// Revision up to which everything is known, from the store or from other nodes.
    pub(crate) fn get(&self) -> Revision {
        self.0.get()
    }

    /// Nothing counts as known any more.
    pub(crate) fn reset(&self) {
        self.0.set(Revision::ABSENT);
    }

    /// Everything up to `revision` is known.
    pub(crate) fn reach(&self, revision: Revision) {
        self.0.set(self.0.get().max(revision));
    }
}

/// Follows one table.
pub(crate) struct TableWatcher<F> {
    pub(crate) store: Rc<F>,
    pub(crate) table: &'static str,
    pub(crate) followed: WatchedTable,
    pub(crate) position: WatchPosition,
    /// Whether this node reads the table itself at present.
    pub(crate) reads: watch::Receiver<ReadRole>,
    /// The node is one of many.
    pub(crate) in_large_mesh: Rc<Cell<bool>>,
    pub(crate) events: Sender<Event>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) rng: fastrand::Rng,
}

impl<F: ChangeFeed> TableWatcher<F> {
    /// Follows the table for as long as anybody listens.
    pub(crate) async fn run(mut self) {
        let mut needs_snapshot = true;
        let mut backoff = BACKOFF_MIN;
        while self.reads.wait_for(|reads| reads.is_on()).await.is_ok() {
            let after = self.position.get();
            needs_snapshot |= after == Revision::ABSENT;
            let began_at = self.clock.now();
            let step = self.read(after, needs_snapshot).await;
            let failed = match step {
                Ok(event) => {
                    backoff = BACKOFF_MIN;
                    let is_news = event.has_changes();
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                    needs_snapshot = false;
                    if is_news {
                        sleep(self.pause()).await;
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
            if self.events.send(Event::StoreCallFailed(began_at, failed)).await.is_err() {
                return;
            }
            sleep(backoff.mul_f64(0.5 + self.rng.f64())).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Pause after changes.
    fn pause(&self) -> Duration {
        let stands_by = *self.reads.borrow() == ReadRole::Standby;
        let pause = if stands_by { STANDBY_PAUSE } else { GATHERING_PAUSE };
        if self.in_large_mesh.get() { pause * LARGE_FACTOR } else { pause }
    }

    async fn read(&self, after: Revision, needs_snapshot: bool) -> Result<Event, FeedError> {
        if needs_snapshot {
            let snapshot = self.store.snapshot(self.table).await.map_err(FeedError::Store)?;
            return Ok(Event::Snapshot(self.followed, snapshot));
        }
        let changes = self.store.changes(self.table, after, WAIT).await?;
        Ok(Event::Changes(self.followed, after, changes))
    }
}
