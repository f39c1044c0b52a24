//! Counts the failed attempts at a request, and decides whether another one is allowed.

use {crate::attempt_failure::AttemptFailure, glade_catalog::Route, glade_dispatch::ServerIdx};

/// Number of attempts allowed beyond the route's limit after refusals which prove that the request
/// didn't run.
const REFUSED_SENDS_MAX: u32 = 2;
/// Number of unreachable servers after which a request is given up.
const UNREACHED_MAX: u32 = 4;

/// The failed attempts at one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailedAttempts {
    /// Servers that the request isn't sent to again.
    pub(crate) tried: Vec<ServerIdx>,
    /// The servers in `tried` that made no reservation for the request, which was never sent to
    /// them.
    unreserved: Vec<ServerIdx>,
    /// The servers in `tried` that were only silent.
    silent: Vec<ServerIdx>,
    /// Number of attempts that may have run.
    runs: u32,
    /// Number of attempts that arrived and are proved not to have run.
    refusals: u32,
    /// Number of attempts of which nothing arrived.
    unreached: u32,
}

impl FailedAttempts {
    /// Records a failed attempt at `server`.
    pub(crate) fn add(&mut self, server: ServerIdx, failure: AttemptFailure) {
        self.tried.push(server);
        if failure == AttemptFailure::NotReserved {
            self.unreserved.push(server);
        } else if failure.is_unsent() {
            self.unreached += 1;
        } else if failure.may_have_run() {
            self.runs += 1;
            self.silent.extend((failure == AttemptFailure::Silent).then_some(server));
        } else {
            self.refusals += 1;
        }
    }

    /// Replaces the failure of an attempt at `server`, which was counted as silent, by `failure`.
    pub(crate) fn replace_silent(&mut self, server: ServerIdx, failure: AttemptFailure) {
        let Some(position) = self.silent.iter().rposition(|silent| *silent == server) else {
            return;
        };
        self.silent.remove(position);
        self.runs -= 1;
        self.add(server, failure);
    }

    /// Takes back an attempt at `server` that was counted as silent and goes on.
    pub(crate) fn remove_silent(&mut self, server: ServerIdx) {
        let position_in = |servers: &[ServerIdx]| servers.iter().rposition(|idx| *idx == server);
        let Some(position) = position_in(&self.silent) else { return };
        self.silent.remove(position);
        self.runs -= 1;
        if let Some(position) = position_in(&self.tried) {
            self.tried.remove(position);
        }
    }

    /// Allows another attempt at the servers that made no reservation.
    pub(crate) fn readmit_unreserved(&mut self) {
        let unreserved = std::mem::take(&mut self.unreserved);
        self.tried.retain(|server| !unreserved.contains(server));
    }

    /// Allows another attempt at the servers that were only silent.
    pub(crate) fn readmit_silent(&mut self) {
        let silent = std::mem::take(&mut self.silent);
        self.tried.retain(|server| !silent.contains(server));
    }

    /// True if an attempt has arrived at a server, which makes the next attempt a retry.
    pub(crate) fn has_arrived(&self) -> bool {
        self.runs + self.refusals > 0
    }

    /// True if an attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// True if `route` allows another attempt.
    pub(crate) fn allows_another(&self, route: &Route) -> bool {
        let runs_allowed = if route.may_retry() { route.attempts } else { 1 };
        self.runs < runs_allowed
            && self.runs + self.refusals < route.attempts + REFUSED_SENDS_MAX
            && self.unreached < UNREACHED_MAX
    }
}
