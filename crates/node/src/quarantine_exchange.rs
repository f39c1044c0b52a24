//! Exchanges between nodes which attempts broke and which parts of prompts are quarantined.
//!
//! Every core receives all evidence and finds the parts at fault by itself, so that no single node has to be alive for
//! that. Leaves send their evidence to their core, and receive the quarantined parts and the suspected ones, about which
//! they report whether requests with them are answered. Cores send each other and their leaves all entries whenever one
//! changes, and once in a while in case a message was lost.

use {
    crate::{
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
    },
    glade_quarantine::{
        Attribution, CrashLog, Entry, EntryUpdate, LostAttempt, Quarantine, QuarantineView,
    },
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period at which cores repeat the entries while there are any.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Time for an answer to a request with a suspected part to become known to a core: an attempt at another engine, and
/// the message about it.
const ANSWER_KNOWN_WITHIN: Duration = Duration::from_millis(300);
/// The same in a mesh with leaves, over which messages take longer.
const LARGE_MESH_ANSWER_KNOWN_WITHIN: Duration = Duration::from_millis(600);
/// Shortest time between two messages about changed suspects.
const SUSPECTS_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of attempts that wait to be sent to other nodes. A crash breaks at most some hundred.
const PENDING_ATTEMPTS_MAX: usize = 512;

/// Evidence and entries of this node, and what of them is to be sent.
#[derive(Debug)]
pub(crate) struct QuarantineExchange {
    crash_log: CrashLog,
    quarantine: Quarantine,
    /// Suspected parts: by this node's crash log if it is a core, else as its core has sent them.
    suspects: BTreeSet<u64>,
    /// Servers at which attempts broke, and which the registry lists.
    listed: BTreeSet<u32>,
    /// Evidence to be sent to other nodes.
    pending_attempts: Vec<LostAttempt>,
    pending_served: BTreeSet<u64>,
    /// Entries have changed since they were last sent.
    entries_changed: bool,
    /// Suspects have changed since they were last sent.
    suspects_changed: bool,
    sent_at: Option<Instant>,
    view: Arc<QuarantineView>,
}

impl QuarantineExchange {
    pub(crate) fn new() -> Self {
        Self {
            crash_log: CrashLog::default(),
            quarantine: Quarantine::default(),
            suspects: BTreeSet::new(),
            listed: BTreeSet::new(),
            pending_attempts: Vec::new(),
            pending_served: BTreeSet::new(),
            entries_changed: false,
            suspects_changed: false,
            sent_at: None,
            view: Arc::default(),
        }
    }

    /// What the request path needs to know.
    pub(crate) fn view(&self) -> &Arc<QuarantineView> {
        &self.view
    }

    /// The quarantined combinations of parts.
    pub(crate) fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Handles an attempt of this node that broke.
    pub(crate) fn on_local_attempt(&mut self, now: Instant, attempt: LostAttempt, is_core: bool) {
        if is_core {
            self.crash_log.on_lost(now, attempt.clone());
        }
        self.queue(attempt);
    }

    /// Handles attempts of other nodes that broke, which `from` has sent.
    pub(crate) fn on_peer_attempts(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        attempts: Vec<LostAttempt>,
        network: &PeerNetwork,
    ) {
        if !network.mesh.is_core {
            return;
        }
        let is_forwarded = !network.mesh.cores.contains(&from.vm);
        for attempt in attempts {
            self.crash_log.on_lost(now, attempt.clone());
            if is_forwarded {
                self.queue(attempt);
            }
        }
    }

    fn queue(&mut self, attempt: LostAttempt) {
        if self.pending_attempts.len() < PENDING_ATTEMPTS_MAX {
            self.pending_attempts.push(attempt);
        } else {
            log::debug!("attempt_report_dropped");
        }
    }

    /// Records that a server has ended.
    pub(crate) fn on_server_ended(&mut self, now: Instant, server: u32) {
        self.crash_log.on_ended(now, server);
    }

    /// Records that servers have ended at which attempts broke: those that the registry listed since then, and that
    /// aren't among the `listed` ones any more. A server that starts again is listed as another one.
    pub(crate) fn on_registry(&mut self, now: Instant, listed: impl Iterator<Item = u32>) {
        let unconfirmed: BTreeSet<u32> = self.crash_log.unconfirmed().collect();
        if unconfirmed.is_empty() {
            self.listed.clear();
            return;
        }
        let listed: BTreeSet<u32> = listed.filter(|server| unconfirmed.contains(server)).collect();
        for server in self.listed.difference(&listed).filter(|server| unconfirmed.contains(server))
        {
            self.crash_log.on_ended(now, *server);
        }
        self.listed = listed;
    }

    /// Handles that requests with `parts` were answered on this node.
    pub(crate) fn on_local_served(&mut self, now: Instant, parts: &[u64]) {
        self.apply_served(now, parts);
        self.pending_served.extend(parts);
    }

    /// Handles that requests with `parts` were answered on other nodes, which `from` has reported.
    pub(crate) fn on_peer_served(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        parts: &[u64],
        network: &PeerNetwork,
    ) {
        self.apply_served(now, parts);
        if network.mesh.is_core && !network.mesh.cores.contains(&from.vm) {
            self.pending_served.extend(parts);
        }
    }

    fn apply_served(&mut self, now: Instant, parts: &[u64]) {
        self.crash_log.on_served(parts);
        if self.quarantine.on_served(now, parts) {
            let parts = part_list(parts);
            log::warn!(parts = parts.as_str(); "quarantined_parts_served");
            self.entries_changed = true;
        }
    }

    /// Merges entries of another node, and takes its `suspects` if this node is a leaf.
    pub(crate) fn on_entries(
        &mut self,
        now: Instant,
        entries: &[EntryUpdate],
        suspects: Vec<u64>,
        is_core: bool,
    ) {
        for update in entries {
            if self.quarantine.merge(now, update) {
                log_entry(&update.entry, "peer");
                self.entries_changed = true;
            }
        }
        if !is_core {
            self.suspects = suspects.into_iter().collect();
        }
    }

    /// Merges an entry that the store has kept.
    pub(crate) fn on_stored_entry(&mut self, now: Instant, entry: &Entry) {
        if self.quarantine.restore(now, entry.clone()) {
            log_entry(entry, "store");
            self.entries_changed = true;
        }
    }

    /// Handles that the entry `key` was removed from the store, because it was lifted.
    pub(crate) fn on_entry_removed(&mut self, now: Instant, key: u64) {
        self.entries_changed |= self.quarantine.drop_lifted(now, key);
    }

    /// Records that this node may start the trial of the combination `key` that follows `trials` earlier ones. Returns
    /// false if the combination isn't quarantined any more.
    pub(crate) fn begin_trial(&mut self, now: Instant, key: u64, trials: u32) -> bool {
        let may_begin = self.quarantine.begin_trial(now, key, trials);
        self.entries_changed |= may_begin;
        may_begin
    }

    /// Finds parts at fault, sends what is due, and brings the view up to date. Returns the combinations that this node
    /// has found, and whether the view has changed.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        network: &mut PeerNetwork,
    ) -> (Vec<Attribution>, bool) {
        self.send_evidence(now, network);
        let found = self.find_parts_at_fault(now, network);
        self.quarantine.sweep(now);
        if network.mesh.is_core {
            self.send_entries(now, network);
        }
        let view = self.quarantine.view(self.suspects.iter().copied());
        let has_changed = view != *self.view;
        if has_changed {
            self.view = Arc::new(view);
        }
        (found, has_changed)
    }

    /// Message with all entries; `None` if there are none.
    pub(crate) fn entries_message(&self, now: Instant) -> Option<PeerMessage> {
        let entries = self.quarantine.updates(now);
        let suspects: Vec<u64> = self.suspects.iter().copied().collect();
        let is_needed = !entries.is_empty() || !suspects.is_empty();
        is_needed.then_some(PeerMessage::Quarantine { entries, suspects })
    }

    fn find_parts_at_fault(&mut self, now: Instant, network: &PeerNetwork) -> Vec<Attribution> {
        let answer_known_within = if network.mesh.is_full_mesh {
            ANSWER_KNOWN_WITHIN
        } else {
            LARGE_MESH_ANSWER_KNOWN_WITHIN
        };
        if !network.mesh.is_core || self.crash_log.is_empty() && self.suspects.is_empty() {
            return Vec::new();
        }
        let found = self.crash_log.attribute(now, &self.quarantine, answer_known_within);
        for attribution in &found {
            self.quarantine.add(now, attribution);
            self.entries_changed = true;
        }
        let suspects: BTreeSet<u64> = self.crash_log.suspects().collect();
        self.suspects_changed |= suspects != self.suspects;
        self.suspects = suspects;
        found
    }

    fn send_evidence(&mut self, now: Instant, network: &mut PeerNetwork) {
        let attempts = std::mem::take(&mut self.pending_attempts);
        let served: Vec<u64> = std::mem::take(&mut self.pending_served).into_iter().collect();
        let messages = [
            (!attempts.is_empty()).then_some(PeerMessage::AttemptsLost(attempts)),
            (!served.is_empty()).then_some(PeerMessage::PartsServed(served)),
        ];
        for message in messages.iter().flatten() {
            if network.mesh.is_core {
                network.send_to_cores(now, message);
            } else {
                network.send_upstream(now, message);
            }
        }
    }

    fn send_entries(&mut self, now: Instant, network: &mut PeerNetwork) {
        let since_sent = self.sent_at.map(|at| now.saturating_duration_since(at));
        let is_after = |period: Duration| since_sent.is_none_or(|time| time >= period);
        let is_due = self.entries_changed
            || self.suspects_changed && is_after(SUSPECTS_INTERVAL)
            || is_after(REPEAT_PERIOD);
        // An empty list of suspects is sent too, so that leaves cease to report on them.
        let message = self.entries_message(now).or_else(|| {
            let (entries, suspects) = (Vec::new(), Vec::new());
            self.suspects_changed.then_some(PeerMessage::Quarantine { entries, suspects })
        });
        let Some(message) = message.filter(|_| is_due) else { return };
        network.send_to_cores(now, &message);
        if network.mesh.is_primary_core && !network.mesh.is_full_mesh {
            network.send_to_leaves(now, &message);
        }
        self.sent_at = Some(now);
        (self.entries_changed, self.suspects_changed) = (false, false);
    }
}

fn log_entry(entry: &Entry, source: &'static str) {
    let parts = part_list(&entry.parts);
    log::info!(
        parts = parts.as_str(),
        lifted = entry.is_lifted,
        crashes = entry.crashes,
        trials = entry.trials,
        source = source;
        "quarantine_entry"
    );
}

/// The hashes of parts as in callers' headers, for logs.
pub(crate) fn part_list(parts: &[u64]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    names.join(",")
}
