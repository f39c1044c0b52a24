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
pub(crate) const MESSAGE_KINDS: [&str; 20] = [
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
    "introduction",
    "leaf_residents",
    "server_leaving",
    "start_wanted",
    "starts",
    "start_events",
    "entrances_wanted",
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

/// One of the counts.
type Count = fn(&Counts) -> &AtomicU64;

/// Counts of one process, shared by its threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlMetrics {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: [Tally; MESSAGE_KINDS.len()],
    received: [Tally; MESSAGE_KINDS.len()],
    /// What carries the messages.
    parcels_sent: Tally,
    parcels_received: Tally,
    views: AtomicU64,
}

impl ControlMetrics {
    /// A message of `kind` was sent to one node.
    pub(crate) fn on_sent(&self, kind: usize, bytes: usize) {
        self.counts.sent[kind].add(bytes);
    }

    /// A message of `kind` has arrived.
    pub(crate) fn on_received(&self, kind: usize, bytes: usize) {
        self.counts.received[kind].add(bytes);
    }

    /// A parcel of messages was sent to one node.
    pub(crate) fn on_batch_sent(&self, bytes: usize) {
        self.counts.parcels_sent.add(bytes);
    }

    /// A parcel of messages has arrived.
    pub(crate) fn on_batch_received(&self, bytes: usize) {
        self.counts.parcels_received.add(bytes);
    }

    /// Traffic was handed another view.
    pub(crate) fn on_view_published(&self) {
        self.counts.views.fetch_add(1, Ordering::Relaxed);
    }

    /// Shows the counts among `metrics`.
    pub(crate) fn register(&self, metrics: &Metrics) {
        self.register_kinds(metrics, "peer_messages_sent", "Messages to other nodes.", |counts| {
            counts.sent.each_ref().map(|tally| &tally.messages)
        });
        self.register_kinds(metrics, "peer_bytes_sent", "Bytes of these.", |counts| {
            counts.sent.each_ref().map(|tally| &tally.bytes)
        });
        self.register_kinds(metrics, "peer_messages_received", "Messages of others.", |counts| {
            counts.received.each_ref().map(|tally| &tally.messages)
        });
        self.register_kinds(metrics, "peer_bytes_received", "Bytes of these.", |counts| {
            counts.received.each_ref().map(|tally| &tally.bytes)
        });
        let totals: [(&'static str, &'static str, Count); 5] = [
            ("peer_parcels_sent", "Parcels of messages to other nodes.", |counts| {
                &counts.parcels_sent.messages
            }),
            ("peer_parcel_bytes_sent", "Bytes of these.", |counts| &counts.parcels_sent.bytes),
            ("peer_parcels_received", "Parcels of messages of others.", |counts| {
                &counts.parcels_received.messages
            }),
            ("peer_parcel_bytes_received", "Bytes of these.", |counts| {
                &counts.parcels_received.bytes
            }),
            ("views_published", "Views handed to traffic.", |counts| &counts.views),
        ];
        for (name, description, of) in totals {
            let counts = Arc::clone(&self.counts);
            metrics.counter(name, description, move || of(&counts).load(Ordering::Relaxed));
        }
    }

    fn register_kinds(
        &self,
        metrics: &Metrics,
        name: &'static str,
        description: &'static str,
        of: fn(&Counts) -> [&AtomicU64; MESSAGE_KINDS.len()],
    ) {
        let counts = Arc::clone(&self.counts);
        metrics.counter_by(name, description, "kind", move || {
            let values = of(&counts).map(|count| count.load(Ordering::Relaxed));
            MESSAGE_KINDS.into_iter().zip(values).collect()
        });
    }
}
