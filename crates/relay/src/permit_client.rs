//! Wants permits for servers that name a limit, for requests that wait for one and for probes.

use {
    crate::{
        admitted_request::AdmittedRequest, dialect::Dialect, relay::Relay, wait_queue::Refused,
    },
    glade_dispatch::Refusal,
    glade_limit::PermitWish,
    std::{
        cell::RefCell,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
};

/// Longest time for which wishes hold without another look: those for probes lapse.
const WISHES_HOLD_FOR: Duration = Duration::from_millis(500);

/// What the request path has told the control thread about the permits that it wants.
#[derive(Debug, Default)]
pub(crate) struct PermitClient {
    told: RefCell<Vec<PermitWish>>,
    changed: Notify,
}

impl PermitClient {
    /// Handles a change of the waiting requests.
    pub(crate) fn on_change(&self) {
        self.changed.notify_one();
    }
}

impl<D: Dialect> Relay<D> {
    /// Waits until other permits are wanted than before, and returns all that are.
    pub(crate) async fn next_permit_wishes(&self) -> Vec<PermitWish> {
        loop {
            let wishes = self.dispatcher.borrow_mut().permit_wishes(self.clock.now());
            if *self.permit_client.told.borrow() != wishes {
                self.permit_client.told.borrow_mut().clone_from(&wishes);
                return wishes;
            }
            if wishes.is_empty() {
                self.permit_client.changed.notified().await;
            } else {
                // The wishes are looked at after a time-out as well as after a change.
                let _ = timeout(WISHES_HOLD_FOR, self.permit_client.changed.notified()).await;
            }
        }
    }

    /// True if this VM decides by itself where to send `admitted`, since only servers that name a
    /// limit could take it, or a probe of one is due.
    pub(crate) fn needs_permit(&self, admitted: &AdmittedRequest) -> bool {
        let (now, tried) = (self.clock.now(), &admitted.failed_attempts().tried);
        self.dispatcher.borrow().needs_permit(now, &admitted.open_request.spec, tried)
    }

    /// True if a server that names a limit could take `admitted`.
    pub(crate) fn has_limited_server(&self, admitted: &AdmittedRequest) -> bool {
        let (now, tried) = (self.clock.now(), &admitted.failed_attempts().tried);
        self.dispatcher.borrow().has_limited_server(now, &admitted.open_request.spec, tried)
    }

    /// Wants a probe of the limited servers that could have taken `admitted`, where one is due.
    pub(crate) fn want_probes(&self, now: Instant, admitted: &AdmittedRequest) {
        if self.dispatcher.borrow_mut().want_probes(now, &admitted.open_request.spec) {
            self.permit_client.on_change();
        }
    }

    /// Counts a request that begins to wait, if it may wait for a permit.
    pub(crate) fn note_limit_wait(&self, admitted: &AdmittedRequest) {
        if self.has_limited_server(admitted) {
            self.metrics.on_limit_held();
            self.permit_client.on_change();
        }
    }

    /// When the caller of the `refused` request `admitted` is to return.
    pub(crate) fn return_after(&self, admitted: &AdmittedRequest, refused: Refused) -> Duration {
        if refused.reason != Refusal::Limited {
            return refused.retry_after;
        }
        self.metrics.on_limit_refused();
        let (now, spec) = (self.clock.now(), &admitted.open_request.spec);
        self.dispatcher.borrow_mut().next_return(now, spec, refused.retry_after)
    }
}
