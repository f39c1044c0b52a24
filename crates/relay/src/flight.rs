//! A request that counts as under way at a server.

use {
    crate::{
        dialect::Dialect,
        relay::Relay,
        starts::{Granted, ended},
    },
    glade_dispatch::{InFlightId, ServerIdx, StartEvent},
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// What the coordinator that decided on a start is told in the end.
#[derive(Debug)]
struct Account {
    granted: Granted,
    sent_at: Instant,
    is_good: Cell<bool>,
    step: Cell<Option<Duration>>,
}

/// Counts a request as under way for as long as it lives.
#[derive(Debug)]
pub(crate) struct Flight<D: Dialect> {
    relay: Rc<Relay<D>>,
    id: InFlightId,
    pub(crate) server: ServerIdx,
    account: Option<Account>,
}

impl<D: Dialect> Flight<D> {
    /// Takes over the flight `id`, which the dispatcher has begun.
    pub(crate) fn new(relay: &Rc<Relay<D>>, id: InFlightId, server: ServerIdx) -> Self {
        relay.sent.notify_one();
        Self { relay: Rc::clone(relay), id, server, account: None }
    }

    /// The same for a start that a coordinator decided on, at `sent_at`.
    pub(crate) fn granted(
        relay: &Rc<Relay<D>>,
        id: InFlightId,
        server: ServerIdx,
        sent_at: Instant,
        granted: Granted,
    ) -> Self {
        let account =
            Account { granted, sent_at, is_good: Cell::new(false), step: Cell::new(None) };
        let mut flight = Self::new(relay, id, server);
        flight.account = Some(account);
        flight
    }

    /// The first byte of the answer's body is there.
    pub(crate) fn answered(&self) {
        let now = self.relay.clock.now();
        self.relay.dispatcher.borrow_mut().record_first_byte(now, self.id);
        if let Some(account) = &self.account {
            let after = now.saturating_duration_since(account.sent_at);
            let after_us = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
            let ticket = account.granted.ticket;
            let event = StartEvent::Answered { ticket, after_us };
            self.relay.starts.tell(Some(account.granted.by), event);
        }
    }

    /// The server has answered well, to the last byte.
    pub(crate) fn succeeded(&self) {
        self.relay.dispatcher.borrow_mut().record_success(self.id);
        self.account.iter().for_each(|account| account.is_good.set(true));
    }

    /// `tokens` were generated since the first byte, in `time`.
    pub(crate) fn generated(&self, tokens: u32, time: Duration, step: Option<Duration>) {
        self.relay.dispatcher.borrow_mut().record_generation(self.id, tokens, time, step);
        self.account.iter().for_each(|account| account.step.set(step));
    }

    pub(crate) fn relay(&self) -> &Rc<Relay<D>> {
        &self.relay
    }
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        self.relay.dispatcher.borrow_mut().end_request(self.id);
        self.relay.waiting.changed();
        if let Some(Account { granted, is_good, step, .. }) = &self.account {
            let event = ended(granted.ticket, is_good.get(), step.get());
            self.relay.starts.tell(Some(granted.by), event);
        }
    }
}
