//! A request that was read and has no complete answer yet.

use {
    glade_dispatch::{Dispatcher, RequestSpec},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Counts a request as under way, and as demand for its model, until its last byte.
#[derive(Debug)]
pub(crate) struct Visit {
    dispatcher: Rc<RefCell<Dispatcher>>,
    under_way: Rc<Cell<usize>>,
    pub(crate) need: RequestSpec,
}

impl Visit {
    pub(crate) fn begin(
        dispatcher: &Rc<RefCell<Dispatcher>>,
        under_way: &Rc<Cell<usize>>,
        need: RequestSpec,
    ) -> Self {
        dispatcher.borrow_mut().record_arrival(&need);
        under_way.set(under_way.get() + 1);
        Self { dispatcher: Rc::clone(dispatcher), under_way: Rc::clone(under_way), need }
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.dispatcher.borrow_mut().record_departure(&self.need);
        self.under_way.set(self.under_way.get() - 1);
    }
}
