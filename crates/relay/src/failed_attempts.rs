//! What a request has used up of its attempts.

use {crate::attempt_failure::AttemptFailure, glade_catalog::Route, glade_dispatch::ServerIdx};

/// Sends beyond a route's attempts that may follow answers which prove that nothing ran.
const REFUSED_SENDS_MAX: u32 = 2;
/// Servers that may turn out to be unreachable before a request is given up.
const UNREACHED_MAX: u32 = 4;

/// Attempts of one request that have failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailedAttempts {
    /// Servers that it isn't sent to again.
    pub(crate) tried: Vec<ServerIdx>,
    /// Those of them that reserved no room for it. It was never sent there.
    unreserved: Vec<ServerIdx>,
    /// Those of them that were only silent.
    silent: Vec<ServerIdx>,
    /// Attempts that may have run.
    runs: u32,
    /// Attempts that arrived and are proved not to have run.
    refusals: u32,
    /// Attempts of which nothing arrived.
    unreached: u32,
}

impl FailedAttempts {
    /// Takes note of an attempt that failed at `server`.
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

    /// Lets servers be asked again that reserved no room.
    pub(crate) fn readmit_unreserved(&mut self) {
        let unreserved = std::mem::take(&mut self.unreserved);
        self.tried.retain(|server| !unreserved.contains(server));
    }

    /// Lets servers be asked again that were only silent.
    pub(crate) fn readmit_silent(&mut self) {
        let silent = std::mem::take(&mut self.silent);
        self.tried.retain(|server| !silent.contains(server));
    }

    /// True if an attempt has arrived at a server, so that another one is a repeat.
    pub(crate) fn has_arrived(&self) -> bool {
        self.runs + self.refusals > 0
    }

    /// True if an attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// True if `route` allows another attempt.
    pub(crate) fn allows_another(&self, route: &Route) -> bool {
        let runs_allowed = if route.may_repeat() { route.attempts } else { 1 };
        self.runs < runs_allowed
            && self.runs + self.refusals < route.attempts + REFUSED_SENDS_MAX
            && self.unreached < UNREACHED_MAX
    }
}
