//! Handling of broken attempts, and of the parts of prompts that are quarantined because of them.

use {
    super::Control,
    crate::{
        quarantine_exchange::part_list,
        quarantine_store::{TrialClaim, entry_key},
    },
    glade_catalog::ServerKey,
    glade_platform::{Change, Snapshot, StoreError, TxnAnswer},
    glade_quarantine::Entry,
    std::time::Instant,
};

impl Control {
    /// Does the periodic work of the quarantine.
    pub(super) fn tick_quarantine(&mut self, now: Instant) {
        self.quarantine.on_registry(now, self.registry.keys().map(ServerKey::short_hash));
        let (found, view_changed) = self.quarantine.tick(now, &mut self.network);
        for attribution in &found {
            self.control_metrics.on_quarantine();
            let parts = part_list(&attribution.parts);
            log::warn!(
                parts = parts.as_str(),
                crashes = attribution.crashes;
                "parts_quarantined"
            );
        }
        self.view_is_outdated |= view_changed;
        let role = *self.read_role.borrow();
        self.quarantine_store.save_changes(
            now,
            role,
            self.quarantine.quarantine(),
            &self.store,
            &self.events,
        );
    }

    /// Records that the process of a server has ended.
    pub(super) fn on_server_ended(&mut self, now: Instant, key: &ServerKey) {
        self.quarantine.on_server_ended(now, key.short_hash());
    }

    /// Handles the complete table of quarantined parts.
    pub(super) fn on_quarantine_snapshot(&mut self, now: Instant, snapshot: &Snapshot) {
        self.quarantine_position.advance_to(snapshot.revision);
        self.quarantine_store.clear();
        for row in &snapshot.rows {
            if let Some(entry) = self.quarantine_store.on_row(row) {
                self.quarantine.on_stored_entry(now, &entry);
            }
        }
    }

    /// Handles changes of the table of quarantined parts.
    pub(super) fn on_quarantine_changes(&mut self, now: Instant, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Written(row) => {
                    if let Some(entry) = self.quarantine_store.on_row(row) {
                        self.quarantine.on_stored_entry(now, &entry);
                    }
                }
                Change::Removed(key) => {
                    if let Some(key) = entry_key(key) {
                        self.quarantine_store.on_removed(key);
                        self.quarantine.on_entry_removed(now, key);
                    }
                }
            }
        }
    }

    /// Handles the end of a write to the table of quarantined parts.
    pub(super) fn on_quarantine_written(
        &mut self,
        now: Instant,
        entry: &Entry,
        answer: Result<TxnAnswer, StoreError>,
    ) {
        if let Some(stored) = self.quarantine_store.on_written(now, entry, answer) {
            self.quarantine.on_stored_entry(now, &stored);
        }
    }

    /// Claims the trial of the combination `key`, if it is due.
    pub(super) fn on_trial_wanted(&mut self, now: Instant, key: u64) {
        if let Some(entry) = self.quarantine.quarantine().due_trial(now, key).cloned() {
            self.quarantine_store.claim_trial(now, &entry, &self.store, &self.events);
        }
    }

    /// Handles the end of a claim: has the request path start the trial if it was granted.
    pub(super) fn on_trial_claimed(&mut self, now: Instant, entry: &Entry, claim: TrialClaim) {
        self.quarantine_store.on_claimed(now, entry, &claim);
        let Some(key) = entry.key() else { return };
        match claim {
            TrialClaim::Granted if self.quarantine.begin_trial(now, key, entry.trials) => {
                if self.published.trials.try_send(key).is_err() {
                    log::debug!("traffic_behind");
                }
            }
            TrialClaim::Denied(Some(stored)) => self.quarantine.on_stored_entry(now, &stored),
            TrialClaim::Granted | TrialClaim::Denied(None) | TrialClaim::Failed(_) => {}
        }
    }
}
