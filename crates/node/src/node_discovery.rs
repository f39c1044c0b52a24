//! Rows of the store by which nodes find each other.

use {
    crate::{event::Event, peer_message::PeerInfo},
    glade_platform::{ChangeFeed, Key, StoreError, TableService, Txn, Write},
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc::Sender, time::sleep},
};

/// Table with a row for each node.
const TABLE: &str = "nodes";
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Time over which the nodes of a whole deployment write their rows when it starts for the first time:
/// the store writes a few hundred rows a second and refuses more.
pub(crate) const FIRST_START_SPREAD: Duration = Duration::from_millis(1500);

/// Time over which nodes write their rows again after the store was restored.
const RESTORE_SPREAD: Duration = Duration::from_secs(3);

/// Has a node listed in the store, and reads who else is.
pub(crate) struct NodeDiscovery<S> {
    pub(crate) store: Rc<S>,
    pub(crate) me: PeerInfo,
    /// The whole deployment starts for the first time.
    pub(crate) is_first_start: bool,
    pub(crate) events: Sender<Event>,
    pub(crate) rng: fastrand::Rng,
}

impl<S: TableService + ChangeFeed> NodeDiscovery<S> {
    /// Writes this node's row, unless it stands there from an earlier start, and reads all others',
    /// once. Of two nodes that start together, the later one to write finds the earlier one's row, and
    /// greets it.
    pub(crate) async fn answer(mut self) {
        let listed = if self.is_first_start {
            sleep(FIRST_START_SPREAD.mul_f64(self.rng.f64())).await;
            None
        } else {
            Some(self.read().await).filter(|rows| self.is_in(rows))
        };
        let rows = match listed {
            Some(rows) => rows,
            None => {
                self.write().await;
                self.read().await
            }
        };
        // The control thread ends only with the process.
        let _ = self.events.send(Event::NodesRead(rows)).await;
    }

    /// Writes this node's row once more, after the store was restored from a copy that may lack it.
    pub(crate) async fn answer_again(mut self) {
        sleep(RESTORE_SPREAD.mul_f64(self.rng.f64())).await;
        self.write().await;
    }

    /// True if others find this VM by `rows`, whichever process they were written by.
    fn is_in(&self, rows: &[PeerInfo]) -> bool {
        let is_here = |row: &PeerInfo| {
            PeerInfo { incarnation: self.me.incarnation, ..row.clone() } == self.me
        };
        rows.iter().any(is_here)
    }

    async fn write(&mut self) {
        let value = serde_json::to_vec(&self.me).expect("plain structure");
        let key = Key::new(&format!("{TABLE}/{}", self.me.vm));
        let txn = Txn { conditions: Vec::new(), writes: vec![Write::Put { key, value }] };
        let mut backoff = BACKOFF_MIN;
        while let Err(err) = self.store.transact(&txn).await {
            self.pause(&mut backoff, &err).await;
        }
    }

    async fn read(&mut self) -> Vec<PeerInfo> {
        let mut backoff = BACKOFF_MIN;
        loop {
            match self.store.snapshot(TABLE).await {
                Ok(snapshot) => {
                    let info = |value: &[u8]| serde_json::from_slice(value).ok();
                    return snapshot.rows.iter().filter_map(|row| info(&row.value)).collect();
                }
                Err(err) => self.pause(&mut backoff, &err).await,
            }
        }
    }

    async fn pause(&mut self, backoff: &mut Duration, err: &StoreError) {
        log::info!(reason = err.to_string().as_str(); "roll_call_failed");
        // The control thread ends only with the process.
        let _ = self.events.send(Event::NodeDiscoveryFailed).await;
        sleep(backoff.mul_f64(0.5 + self.rng.f64())).await;
        *backoff = (*backoff * 2).min(BACKOFF_MAX);
    }
}

#[cfg(test)]
mod tests;
