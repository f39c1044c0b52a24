//! A request that was read and has no complete answer yet.

use {
    glade_dispatch::{Dispatcher, RequestSpec},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Counts a request as in flight, and as demand for its model, until it is dropped after its last
/// byte.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    dispatcher: Rc<RefCell<Dispatcher>>,
    in_flight: Rc<Cell<usize>>,
    pub(crate) spec: RequestSpec,
}

impl OpenRequest {
    pub(crate) fn begin(
        dispatcher: &Rc<RefCell<Dispatcher>>,
        in_flight: &Rc<Cell<usize>>,
        spec: RequestSpec,
    ) -> Self {
        dispatcher.borrow_mut().record_arrival(&spec);
        in_flight.set(in_flight.get() + 1);
        Self { dispatcher: Rc::clone(dispatcher), in_flight: Rc::clone(in_flight), spec }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.dispatcher.borrow_mut().record_departure(&self.spec);
        self.in_flight.set(self.in_flight.get() - 1);
    }
}
