//! The accounts of a port's open connections by their peer's address, as the HTTP server passes on only that.

use {
    glade_budget::Account,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

type ByAddr = HashMap<SocketAddr, (u64, Account)>;

/// The accounts of a port's open connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Accounts {
    by_addr: Arc<Mutex<ByAddr>>,
}

/// An open connection's entry, removed as this is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    accounts: Accounts,
    addr: SocketAddr,
    number: u64,
}

impl Accounts {
    /// Adds the account of the connection of `addr`. `number` tells it from a later one of the same address.
    pub(crate) fn register(&self, addr: SocketAddr, number: u64, account: Account) -> Registration {
        self.lock().insert(addr, (number, account));
        Registration { accounts: self.clone(), addr, number }
    }

    /// The account of the connection of `addr`.
    pub(crate) fn get(&self, addr: SocketAddr) -> Option<Account> {
        self.lock().get(&addr).map(|(_, account)| account.clone())
    }

    fn lock(&self) -> MutexGuard<'_, ByAddr> {
        self.by_addr.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut by_addr = self.accounts.lock();
        if by_addr.get(&self.addr).is_some_and(|(number, _)| *number == self.number) {
            by_addr.remove(&self.addr);
        }
    }
}
