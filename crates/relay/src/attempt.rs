//! An attempt at a request, which counts as in flight at its server.

use {
    crate::{
        dialect::Dialect,
        relay::Relay,
        start_client::{GrantedStart, ended_event},
    },
    glade_dispatch::{InFlightId, ServerIdx, StartEvent},
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// State of the reports to the coordinator that granted a start.
#[derive(Debug)]
struct StartReport {
    grant: GrantedStart,
    sent_at: Instant,
    is_success: Cell<bool>,
    decode_step: Cell<Option<Duration>>,
}

/// Counts a request as in flight at a server until it is dropped.
#[derive(Debug)]
pub(crate) struct Attempt<D: Dialect> {
    relay: Rc<Relay<D>>,
    id: InFlightId,
    pub(crate) server: ServerIdx,
    start_report: Option<StartReport>,
}

impl<D: Dialect> Attempt<D> {
    /// Takes ownership of the in-flight request `id`, which the dispatcher has registered.
    pub(crate) fn new(relay: &Rc<Relay<D>>, id: InFlightId, server: ServerIdx) -> Self {
        relay.prompt_sent.notify_one();
        Self { relay: Rc::clone(relay), id, server, start_report: None }
    }

    /// Like [`new`](Self::new), for a start at `sent_at` that a coordinator has granted.
    pub(crate) fn granted(
        relay: &Rc<Relay<D>>,
        id: InFlightId,
        server: ServerIdx,
        sent_at: Instant,
        grant: GrantedStart,
    ) -> Self {
        let start_report = StartReport {
            grant,
            sent_at,
            is_success: Cell::new(false),
            decode_step: Cell::new(None),
        };
        let mut attempt = Self::new(relay, id, server);
        attempt.start_report = Some(start_report);
        attempt
    }

    /// Records that the first byte of the answer's body has arrived.
    pub(crate) fn record_first_byte(&self) {
        let now = self.relay.clock.now();
        self.relay.dispatcher.borrow_mut().record_first_byte(now, self.id);
        if let Some(start_report) = &self.start_report {
            let after = now.saturating_duration_since(start_report.sent_at);
            let after_us = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
            let ticket = start_report.grant.ticket;
            let event = StartEvent::Answered { ticket, after_us };
            self.relay.start_client.report(Some(start_report.grant.coordinator), event);
        }
    }

    /// Records that the server has answered successfully, to the last byte.
    pub(crate) fn record_success(&self) {
        self.relay.dispatcher.borrow_mut().record_success(self.id);
        self.start_report.iter().for_each(|start_report| start_report.is_success.set(true));
    }

    /// Records that `tokens` were generated in `time` since the first byte.
    pub(crate) fn record_generation(
        &self,
        tokens: u32,
        time: Duration,
        decode_step: Option<Duration>,
    ) {
        self.relay.dispatcher.borrow_mut().record_generation(self.id, tokens, time, decode_step);
        self.start_report.iter().for_each(|start_report| start_report.decode_step.set(decode_step));
    }

    pub(crate) fn relay(&self) -> &Rc<Relay<D>> {
        &self.relay
    }
}

impl<D: Dialect> Drop for Attempt<D> {
    fn drop(&mut self) {
        self.relay.dispatcher.borrow_mut().end_request(self.id);
        self.relay.wait_queue.wake();
        if let Some(StartReport { grant, is_success, decode_step, .. }) = &self.start_report {
            let event = ended_event(grant.ticket, is_success.get(), decode_step.get());
            self.relay.start_client.report(Some(grant.coordinator), event);
        }
    }
}
