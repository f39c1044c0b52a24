//! What the control thread does, counted by kind.
//!
//! Messages between nodes are nearly all of a node's control cost, so a rise of that cost shows here
//! first.

use {
    glade_observe::Metrics,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Kinds of message, in the order of [`crate::peer_message::PeerMessage::kind`].
pub(crate) const KINDS: [&str; 13] = [
    "beat",
    "loads",
    "prompts",
    "entrances",
    "nodes",
    "registry",
    "registry_wanted",
    "catalog_wanted",
    "catalog_is",
    "demand",
    "wish",
    "server_gone",
    "residents",
];

/// Messages of one kind and their bytes.
#[derive(Debug, Default)]
struct Tally {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Tally {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Counts of one process, shared by its threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: [Tally; KINDS.len()],
    received: [Tally; KINDS.len()],
    views: AtomicU64,
}

impl Work {
    /// A message of `kind` was sent to one node.
    pub(crate) fn on_sent(&self, kind: usize, bytes: usize) {
        self.counts.sent[kind].add(bytes);
    }

    /// A message of `kind` has arrived.
    pub(crate) fn on_received(&self, kind: usize, bytes: usize) {
        self.counts.received[kind].add(bytes);
    }

    /// Traffic was handed another view.
    pub(crate) fn on_view(&self) {
        self.counts.views.fetch_add(1, Ordering::Relaxed);
    }

    /// Shows the counts among `metrics`.
    pub(crate) fn show(&self, metrics: &Metrics) {
        let tallies = |of: fn(&Counts) -> &[Tally], read: fn(&Tally) -> &AtomicU64| {
            let counts = Arc::clone(&self.counts);
            move || {
                let values = of(&counts).iter().map(|tally| read(tally).load(Ordering::Relaxed));
                KINDS.into_iter().zip(values).collect::<Vec<_>>()
            }
        };
        let (sent, received): (fn(&Counts) -> &[Tally], fn(&Counts) -> &[Tally]) =
            (|counts| &counts.sent, |counts| &counts.received);
        metrics.counter_by(
            "peer_messages_sent",
            "Messages to other nodes.",
            "kind",
            tallies(sent, |tally| &tally.messages),
        );
        metrics.counter_by(
            "peer_bytes_sent",
            "Bytes of messages to other nodes.",
            "kind",
            tallies(sent, |tally| &tally.bytes),
        );
        metrics.counter_by(
            "peer_messages_received",
            "Messages of other nodes.",
            "kind",
            tallies(received, |tally| &tally.messages),
        );
        metrics.counter_by(
            "peer_bytes_received",
            "Bytes of messages of other nodes.",
            "kind",
            tallies(received, |tally| &tally.bytes),
        );
        let counts = Arc::clone(&self.counts);
        metrics.counter("views_published", "Views handed to traffic.", move || {
            counts.views.load(Ordering::Relaxed)
        });
    }
}
