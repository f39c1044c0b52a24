//! Metrics of the control thread: messages between nodes by kind, and views published to traffic.
//!
//! Messages between nodes cause nearly all of a node's control cost, so a rise of that cost shows
//! in these counters first.

use {
    glade_observe::Metrics,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Kinds of messages, indexed by [`crate::peer_message::PeerMessage::kind`].
pub(crate) const MESSAGE_KINDS: [&str; 38] = [
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
    "attempts_lost",
    "parts_served",
    "quarantine",
    "server_limits",
    "permit_demand",
    "permit_grants",
    "team_catalog",
    "store_report",
    "quota_reports",
    "quota_grants",
    "team_start_wanted",
    "later_catalog_wanted",
    "server_versions",
    "stream_records",
    "stream_questions",
    "stream_answers",
    "continuation_wanted",
    "version_wanted",
];

/// Number of messages of one kind, and their bytes.
#[derive(Debug, Default)]
struct MessageCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl MessageCounter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Selects one of the counters.
type CounterSelector = fn(&Counters) -> &AtomicU64;

/// Counters of one process, shared by its threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlMetrics {
    counters: Arc<Counters>,
}

/// A counter for each kind of message.
#[derive(Debug)]
struct KindCounters([MessageCounter; MESSAGE_KINDS.len()]);

impl Default for KindCounters {
    fn default() -> Self {
        Self(std::array::from_fn(|_| MessageCounter::default()))
    }
}

#[derive(Debug, Default)]
struct Counters {
    sent: KindCounters,
    received: KindCounters,
    /// Batches by which the messages are sent.
    batches_sent: MessageCounter,
    batches_received: MessageCounter,
    views: AtomicU64,
    quarantines: AtomicU64,
    restarts: AtomicU64,
}

impl ControlMetrics {
    /// Counts a message of `kind` sent to one node.
    pub(crate) fn on_sent(&self, kind: usize, bytes: usize) {
        self.counters.sent.0[kind].add(bytes);
    }

    /// Counts a received message of `kind`.
    pub(crate) fn on_received(&self, kind: usize, bytes: usize) {
        self.counters.received.0[kind].add(bytes);
    }

    /// Counts a batch of messages sent to one node.
    pub(crate) fn on_batch_sent(&self, bytes: usize) {
        self.counters.batches_sent.add(bytes);
    }

    /// Counts a received batch of messages.
    pub(crate) fn on_batch_received(&self, bytes: usize) {
        self.counters.batches_received.add(bytes);
    }

    /// Counts a view published to the traffic thread.
    pub(crate) fn on_view_published(&self) {
        self.counters.views.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a combination of parts of prompts that this node has found to crash engines.
    pub(crate) fn on_quarantine(&self) {
        self.counters.quarantines.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a start of the control after a panic.
    pub(crate) fn on_control_restart(&self) {
        self.counters.restarts.fetch_add(1, Ordering::Relaxed);
    }

    /// Registers the counters with `metrics`.
    pub(crate) fn register(&self, metrics: &Metrics) {
        self.register_kinds(
            metrics,
            "peer_messages_sent",
            "Messages to other nodes.",
            |counters| counters.sent.0.each_ref().map(|counter| &counter.messages),
        );
        self.register_kinds(metrics, "peer_bytes_sent", "Bytes of these.", |counters| {
            counters.sent.0.each_ref().map(|counter| &counter.bytes)
        });
        self.register_kinds(metrics, "peer_messages_received", "Messages of others.", |counters| {
            counters.received.0.each_ref().map(|counter| &counter.messages)
        });
        self.register_kinds(metrics, "peer_bytes_received", "Bytes of these.", |counters| {
            counters.received.0.each_ref().map(|counter| &counter.bytes)
        });
        let totals: [(&'static str, &'static str, CounterSelector); 7] = [
            ("peer_parcels_sent", "Parcels of messages to other nodes.", |counters| {
                &counters.batches_sent.messages
            }),
            ("peer_parcel_bytes_sent", "Bytes of these.", |counters| &counters.batches_sent.bytes),
            ("peer_parcels_received", "Parcels of messages of others.", |counters| {
                &counters.batches_received.messages
            }),
            ("peer_parcel_bytes_received", "Bytes of these.", |counters| {
                &counters.batches_received.bytes
            }),
            ("views_published", "Views handed to traffic.", |counters| &counters.views),
            (
                "quarantines",
                "Combinations of parts of prompts that this node found to crash engines.",
                |counters| &counters.quarantines,
            ),
            ("control_restarts", "Starts of the control after a panic.", |counters| {
                &counters.restarts
            }),
        ];
        for (name, description, select) in totals {
            let counters = Arc::clone(&self.counters);
            metrics.counter(name, description, move || select(&counters).load(Ordering::Relaxed));
        }
    }

    fn register_kinds(
        &self,
        metrics: &Metrics,
        name: &'static str,
        description: &'static str,
        select: fn(&Counters) -> [&AtomicU64; MESSAGE_KINDS.len()],
    ) {
        let counters = Arc::clone(&self.counters);
        metrics.counter_by(name, description, "kind", move || {
            let values = select(&counters).map(|count| count.load(Ordering::Relaxed));
            MESSAGE_KINDS.into_iter().zip(values).collect()
        });
    }
}
