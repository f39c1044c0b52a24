//! Node discovery: each node writes a row with its addresses into a table of the store, and reads
//! the rows of the others.

use {
    crate::{event::Event, peer_message::PeerInfo},
    glade_platform::{ChangeFeed, Key, StoreError, StoredRow, TableService, Txn, Write},
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc::Sender, time::sleep},
};

/// Table with a row for each node.
const TABLE: &str = "nodes";
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Longest random delay before a node writes its row when its whole deployment starts for the first
/// time: the store accepts a few hundred writes per second and refuses more.
pub(crate) const FIRST_START_JITTER_MAX: Duration = Duration::from_millis(1500);

/// Longest random delay before a node writes its row again after the store was restored.
const RESTORE_JITTER_MAX: Duration = Duration::from_secs(3);

/// Registers a node in the store and reads which other nodes are registered.
pub(crate) struct NodeDiscovery<S> {
    pub(crate) store: Rc<S>,
    pub(crate) me: PeerInfo,
    /// The whole deployment starts for the first time, so no row can exist yet.
    pub(crate) is_first_start: bool,
    pub(crate) events: Sender<Event>,
    pub(crate) rng: fastrand::Rng,
}

impl<S: TableService + ChangeFeed> NodeDiscovery<S> {
    /// Writes this node's row, unless the table still has it from an earlier start, and reads the
    /// rows of all nodes once. Of two nodes that start together, the one that writes later finds
    /// the row of the other and sends it a first heartbeat.
    pub(crate) async fn run(mut self) {
        let listed = if self.is_first_start {
            sleep(FIRST_START_JITTER_MAX.mul_f64(self.rng.f64())).await;
            None
        } else {
            Some(self.read_rows().await).filter(|rows| self.is_listed(rows))
        };
        let rows = match listed {
            Some(rows) => rows,
            None => {
                self.write_row().await;
                self.read_rows().await
            }
        };
        // The channel closes only when the process ends, so a failed send needs no handling.
        let _ = self.events.send(Event::NodesRead(rows)).await;
    }

    /// Writes this node's row once more, after the store was restored from a backup that may lack
    /// it.
    pub(crate) async fn write_row_again(mut self) {
        sleep(RESTORE_JITTER_MAX.mul_f64(self.rng.f64())).await;
        self.write_row().await;
    }

    /// True if other nodes can find this VM by `rows`, whichever process of it has written its row.
    fn is_listed(&self, rows: &[PeerInfo]) -> bool {
        let is_own = |row: &PeerInfo| {
            PeerInfo { incarnation: self.me.incarnation, ..row.clone() } == self.me
        };
        rows.iter().any(is_own)
    }

    async fn write_row(&mut self) {
        let value = serde_json::to_vec(&self.me).expect("plain structure");
        let key = Key::new(&format!("{TABLE}/{}", self.me.vm));
        let txn = Txn { conditions: Vec::new(), writes: vec![Write::Put { key, value }] };
        let mut backoff = BACKOFF_MIN;
        while let Err(err) = self.store.transact(&txn).await {
            self.back_off(&mut backoff, &err).await;
        }
    }

    async fn read_rows(&mut self) -> Vec<PeerInfo> {
        let mut backoff = BACKOFF_MIN;
        loop {
            match self.store.snapshot(TABLE).await {
                Ok(snapshot) => {
                    return snapshot.rows.iter().filter_map(decode).collect();
                }
                Err(err) => self.back_off(&mut backoff, &err).await,
            }
        }
    }

    /// Reports a failed call and waits before the next attempt.
    async fn back_off(&mut self, backoff: &mut Duration, err: &StoreError) {
        log::info!(reason = err.to_string().as_str(); "roll_call_failed");
        // The channel closes only when the process ends, so a failed send needs no handling.
        let _ = self.events.send(Event::NodeDiscoveryFailed).await;
        sleep(backoff.mul_f64(0.5 + self.rng.f64())).await;
        *backoff = (*backoff * 2).min(BACKOFF_MAX);
    }
}

/// Decodes a node's row. Rows of other writers are logged and skipped.
fn decode(row: &StoredRow) -> Option<PeerInfo> {
    let key = row.key.as_str();
    serde_json::from_slice(&row.value)
        .inspect_err(|err| {
            log::warn!(key = key, reason = err.to_string().as_str(); "node_row_unreadable");
        })
        .ok()
}

#[cfg(test)]
mod tests;
