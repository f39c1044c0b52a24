//! Keeps requests whose prompts hold quarantined parts away from servers, and reports what shows which parts crash
//! engines.
//!
//! Every attempt is checked, also repeats, hedges and resumed streams. As soon as parts are quarantined, requests with
//! them that wait for a server are refused, and attempts whose answers haven't begun are given up. Answers that have
//! begun go on, and lift the quarantine if they show that the parts are sound.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt_failure::AttemptFailure,
        connected_attempt::CONNECT_TIMEOUT, dialect::Dialect, relay::Relay,
        traffic_update::TrafficUpdate, wait_queue::Refused,
    },
    glade_dispatch::{Refusal, ServerIdx},
    glade_http::Connection,
    glade_quarantine::{BlockedParts, LostAttempt},
    glade_types::stable_hash,
    std::{
        cell::RefCell,
        collections::{HashMap, HashSet},
        future::pending,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time from the first event of an answer after which a crash of the engine isn't attributed to the request.
pub(crate) const ANSWER_SURE_AFTER: Duration = Duration::from_millis(200);
/// Longest wait of a request for the permission to be a trial.
const TRIAL_WAIT_MAX: Duration = Duration::from_millis(400);
/// Time for which a permission that no request has used is kept.
const TRIAL_GRANT_TTL: Duration = Duration::from_secs(5);
/// Shortest time between two requests for the permission to try the same combination.
const TRIAL_ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest `Retry-After` of a request with quarantined parts.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Shortest time between two reports that requests with the same part were answered.
const SERVED_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of parts whose last report is remembered.
const SERVED_REPORTS_MAX: usize = 256;

/// State of the request path about the quarantine, besides the published view.
#[derive(Debug, Default)]
pub(crate) struct QuarantineClient {
    /// Permissions for trials by the key of their combination, with the time until which they are kept.
    grants: RefCell<HashMap<u64, Instant>>,
    /// When the permission for a trial was last requested.
    trial_wanted_at: RefCell<HashMap<u64, Instant>>,
    /// When answers to requests with a part were last reported.
    served_at: RefCell<HashMap<u64, Instant>>,
    /// Servers that are being checked for whether they still listen.
    checked_servers: RefCell<HashSet<ServerIdx>>,
    changed: Notify,
}

impl QuarantineClient {
    /// Handles a new view, which may have other quarantined parts.
    pub(crate) fn on_view(&self) {
        self.changed.notify_waiters();
    }

    /// Keeps the permission for a trial of the combination `key`.
    pub(crate) fn grant(&self, now: Instant, key: u64) {
        self.grants.borrow_mut().insert(key, now + TRIAL_GRANT_TTL);
        self.changed.notify_waiters();
    }

    /// Takes the permission for a trial of the combination `key`.
    fn take_grant(&self, now: Instant, key: u64) -> bool {
        let mut grants = self.grants.borrow_mut();
        grants.retain(|_, until| now < *until);
        grants.remove(&key).is_some()
    }

    /// True if the permission for a trial may be requested again.
    fn may_ask(&self, now: Instant, key: u64) -> bool {
        let mut wanted_at = self.trial_wanted_at.borrow_mut();
        wanted_at.retain(|_, at| now.saturating_duration_since(*at) < TRIAL_ASK_INTERVAL);
        wanted_at.insert(key, now).is_none()
    }

    /// Takes those of `parts` whose answers weren't reported just now.
    fn unreported(&self, now: Instant, mut parts: Vec<u64>) -> Vec<u64> {
        let mut served_at = self.served_at.borrow_mut();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SERVED_REPORT_INTERVAL;
        parts.retain(|part| !served_at.get(part).is_some_and(is_recent));
        if served_at.len() + parts.len() > SERVED_REPORTS_MAX {
            served_at.clear();
        }
        served_at.extend(parts.iter().map(|part| (*part, now)));
        parts
    }
}

impl<D: Dialect> Relay<D> {
    /// The quarantined combination that `admitted` holds, unless the request is its trial.
    fn blocked_parts(&self, admitted: &AdmittedRequest) -> Option<BlockedParts> {
        if admitted.is_trial() {
            return None;
        }
        let view = self.view.load();
        view.quarantine.find(|| admitted.quarantine_parts()).cloned()
    }

    /// Makes `admitted` the trial of the quarantined combination that it holds, if a trial is due and this node is
    /// permitted to start it.
    pub(crate) async fn start_trial_if_due(&self, admitted: &AdmittedRequest) {
        let Some(blocked) = self.blocked_parts(admitted) else { return };
        if !admitted.failed_attempts().tried.is_empty() {
            return;
        }
        let now = self.clock.now();
        if !self.quarantine.take_grant(now, blocked.key) {
            if now < blocked.trial_at || !self.quarantine.may_ask(now, blocked.key) {
                return;
            }
            (self.on_update)(TrafficUpdate::TrialWanted(blocked.key));
            let granted = timeout(TRIAL_WAIT_MAX, self.wait_for_grant(blocked.key)).await;
            if granted.is_err() {
                return;
            }
        }
        admitted.begin_trial();
        self.log_trial(admitted, &blocked);
    }

    async fn wait_for_grant(&self, key: u64) {
        loop {
            let changed = self.quarantine.changed.notified();
            if self.quarantine.take_grant(self.clock.now(), key) {
                return;
            }
            changed.await;
        }
    }

    /// Keeps the permission of a trial that was `refused` before it was sent, for another request.
    pub(crate) fn keep_trial(&self, admitted: &AdmittedRequest, refused: Refused) -> Refused {
        if admitted.is_trial() {
            let view = self.view.load();
            let blocked = view.quarantine.find(|| admitted.quarantine_parts());
            blocked
                .into_iter()
                .for_each(|found| self.quarantine.grant(self.clock.now(), found.key));
        }
        refused
    }

    /// Returns the quarantined combination that `admitted` holds, as soon as it holds one.
    pub(crate) async fn until_blocked(&self, admitted: &AdmittedRequest) -> BlockedParts {
        if admitted.is_trial() {
            return pending().await;
        }
        loop {
            let changed = self.quarantine.changed.notified();
            if let Some(blocked) = self.blocked_parts(admitted) {
                return blocked;
            }
            changed.await;
        }
    }

    /// Returns why `admitted` must not be sent, as soon as it holds a quarantined combination.
    pub(crate) async fn until_quarantined(&self, admitted: &AdmittedRequest) -> Refused {
        let blocked = self.until_blocked(admitted).await;
        self.log_quarantined(admitted, &blocked);
        let trial_in = blocked.trial_at.saturating_duration_since(self.clock.now());
        Refused { reason: Refusal::Quarantined, retry_after: trial_in.max(RETRY_AFTER_MIN) }
    }

    /// Reports an attempt that broke, if the request may have ended `server`, and finds out whether it has ended.
    pub(crate) fn report_lost(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
    ) {
        if !matches!(failure, AttemptFailure::Broken | AttemptFailure::Silent) {
            return;
        }
        let answering = admitted.answering_for(self.clock.now(), server);
        if answering.is_some_and(|time| time >= ANSWER_SURE_AFTER) {
            return;
        }
        let parts = admitted.quarantine_parts().to_vec();
        let request = stable_hash(admitted.routed.id.as_str().as_bytes());
        let server_hash = self.dispatcher.borrow().record(server).key.short_hash();
        let lost = LostAttempt { server: server_hash, request, parts };
        (self.on_update)(TrafficUpdate::AttemptLost(lost));
        if failure == AttemptFailure::Broken {
            self.check_listening(server);
        }
    }

    /// Finds out whether `server` still listens, and keeps the connection if it does.
    fn check_listening(self: &Rc<Self>, server: ServerIdx) {
        if !self.quarantine.checked_servers.borrow_mut().insert(server) {
            return;
        }
        let relay = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let addr = relay.dispatcher.borrow().record(server).addr;
            match Connection::open(addr, CONNECT_TIMEOUT).await {
                Ok(connection) => {
                    relay.keep_connection(server, connection, None);
                }
                Err(err) => {
                    let failure = AttemptFailure::from(err);
                    relay.log_checked(server, failure);
                    if failure.proves_gone() {
                        relay.report_gone(server);
                    }
                }
            }
            relay.quarantine.checked_servers.borrow_mut().remove(&server);
        });
    }

    /// True if `admitted` holds a part that is suspected of crashing engines, or a quarantined combination.
    pub(crate) fn has_suspected_part(&self, admitted: &AdmittedRequest) -> bool {
        let is_suspected = |parts: &[u64]| !parts.is_empty();
        let view = self.view.load();
        is_suspected(&view.quarantine.suspected_among(|| admitted.quarantine_parts()))
            || self.blocked_parts(admitted).is_some()
    }

    /// Reports that the answer to `admitted` proves its parts to be sound, if any of them is suspected.
    pub(crate) fn report_served(&self, admitted: &AdmittedRequest) {
        let view = self.view.load();
        let suspected = view.quarantine.suspected_among(|| admitted.quarantine_parts());
        if suspected.is_empty() {
            return;
        }
        let parts = self.quarantine.unreported(self.clock.now(), suspected);
        if !parts.is_empty() {
            (self.on_update)(TrafficUpdate::PartsServed(parts));
        }
    }
}
