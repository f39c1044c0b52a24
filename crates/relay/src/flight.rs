//! A request that counts as under way at a server.

use {
    crate::{dialect::Dialect, relay::Relay},
    glade_dispatch::{FlightId, ServerIdx},
    std::{rc::Rc, time::Duration},
};

/// Counts a request as under way for as long as it lives.
#[derive(Debug)]
pub(crate) struct Flight<D: Dialect> {
    relay: Rc<Relay<D>>,
    id: FlightId,
    pub(crate) server: ServerIdx,
}

impl<D: Dialect> Flight<D> {
    /// Takes over the flight `id`, which the dispatcher has begun.
    pub(crate) fn new(relay: &Rc<Relay<D>>, id: FlightId, server: ServerIdx) -> Self {
        relay.sent.notify_one();
        Self { relay: Rc::clone(relay), id, server }
    }

    /// The first byte of the answer's body is there.
    pub(crate) fn answered(&self) {
        self.relay.dispatcher.borrow_mut().answered(self.relay.clock.now(), self.id);
    }

    /// The server has answered well, to the last byte.
    pub(crate) fn succeeded(&self) {
        self.relay.dispatcher.borrow_mut().succeeded(self.id);
    }

    /// `tokens` were generated since the first byte, in `time`.
    pub(crate) fn generated(&self, tokens: u32, time: Duration) {
        self.relay.dispatcher.borrow_mut().generated(self.id, tokens, time);
    }

    pub(crate) fn relay(&self) -> &Rc<Relay<D>> {
        &self.relay
    }
}

impl<D: Dialect> Drop for Flight<D> {
    fn drop(&mut self) {
        self.relay.dispatcher.borrow_mut().end(self.id);
        self.relay.waiting.changed();
    }
}
