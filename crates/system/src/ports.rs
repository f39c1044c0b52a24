//! Ports that programs of tests listen on.
//!
//! Tests run beside each other, in one process and in several. Each takes a block of ports that is its own for as long
//! as it runs. The blocks lie below the ports that the system gives to outgoing connections: one of those may take a
//! port between the moment it was found free and the moment a program listens on it.

use std::{
    net::{SocketAddr, TcpListener},
    ops::Range,
    process::{Child, Command},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Ports of a block, with the mark.
const BLOCK_PORTS: u16 = 400;

/// A block of ports. Dropping it lets others take it.
#[derive(Debug)]
pub struct PortBlock {
    first: u16,
    /// Listens on the last port of the block, which shows other tests that it is taken.
    _mark: TcpListener,
}

impl PortBlock {
    /// Ports of a block that programs may listen on.
    pub const PORTS: u16 = BLOCK_PORTS - 1;

    /// Takes a block of `range` that nobody else has, the first one from a random block on.
    ///
    /// # Panics
    ///
    /// All blocks are taken.
    pub fn claim(range: &Range<u16>) -> Self {
        let blocks = (range.end - range.start) / BLOCK_PORTS;
        let start = fastrand::u16(0..blocks);
        (0..blocks)
            .map(|block| range.start + (start + block) % blocks * BLOCK_PORTS)
            .find_map(|first| {
                let mark = TcpListener::bind(loopback(first + Self::PORTS)).ok()?;
                Some(Self { first, _mark: mark })
            })
            .expect("fewer tests than blocks of ports")
    }

    /// The first port.
    pub fn first(&self) -> u16 {
        self.first
    }
}

/// Address of `port` on this machine.
pub(crate) fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// True if nobody listens on any of `ports`.
pub(crate) fn are_free(ports: impl Iterator<Item = u16>) -> bool {
    let _lock = lock();
    let bound: Vec<_> = ports.map(|port| TcpListener::bind(loopback(port))).collect();
    bound.iter().all(Result::is_ok)
}

/// Starts a process while no ports are checked.
pub(crate) fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _lock = lock();
    command.spawn()
}

/// Keeps checks of ports and starts of processes apart: a process that is being started holds the
/// sockets of this one until it runs its program, and with them a port that is being checked.
fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
