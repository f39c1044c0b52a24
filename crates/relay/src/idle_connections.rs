//! Pool of idle connections to backend servers.

use {
    crate::{dialect::Dialect, relay::Relay},
    glade_dispatch::ServerIdx,
    glade_http::Connection,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Most idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 32;
/// Idle time after which a server is assumed to close a connection, unless it announced another
/// time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the announced idle time during which a connection is reused. A request that is sent
/// late in that time may cross with the server's close.
const REUSE_SHARE: f64 = 0.6;
/// Longest idle time of a connection that is reused for a request that may run only once. A
/// connection that was used this recently is rarely dead.
const AT_MOST_ONCE_IDLE_MAX: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    reuse_until: Instant,
}

/// Idle connections by server. A restarted server has another index, so it is never sent a request
/// on a connection to its previous process.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    by_server: HashMap<ServerIdx, Vec<IdleConnection>>,
}

impl<D: Dialect> Relay<D> {
    /// Keeps an idle connection to `server`, up to this VM's share of them. The server closes it
    /// after `announced_timeout` of idle time, if it announced one.
    pub(crate) fn keep_connection(
        &self,
        server: ServerIdx,
        connection: Connection,
        announced_timeout: Option<Duration>,
    ) {
        let idle_max = self.dispatcher.borrow().idle_connections_max(server);
        let now = self.clock.now();
        let mut idle = self.idle_connections.borrow_mut();
        idle.give_back(now, server, connection, announced_timeout, idle_max);
    }
}

impl IdleConnections {
    /// Takes the connection that was used last. `at_most_once` is set for requests that may run
    /// only once.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        server: ServerIdx,
        at_most_once: bool,
    ) -> Option<Connection> {
        let connections = self.by_server.get_mut(&server)?;
        while let Some(idle) = connections.pop() {
            let is_expired = now >= idle.reuse_until || !idle.connection.is_ready();
            if is_expired {
                continue;
            }
            if at_most_once
                && now.saturating_duration_since(idle.idle_since) > AT_MOST_ONCE_IDLE_MAX
            {
                // The connection may still serve requests that may be retried.
                connections.push(idle);
                return None;
            }
            return Some(idle.connection);
        }
        None
    }

    /// Keeps `connection` unless there are `idle_max` already. The server closes it after
    /// `announced_timeout` of idle time, if it announced one.
    fn give_back(
        &mut self,
        now: Instant,
        server: ServerIdx,
        connection: Connection,
        announced_timeout: Option<Duration>,
        idle_max: usize,
    ) {
        let reuse_time = announced_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(REUSE_SHARE);
        if reuse_time.is_zero() {
            return;
        }
        let connections = self.by_server.entry(server).or_default();
        if connections.len() < idle_max.min(MAX_IDLE_PER_SERVER) {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                reuse_until: now + reuse_time,
            });
        }
    }

    /// Closes the connections to `server`, after one of them turned out to be dead.
    pub(crate) fn close_all(&mut self, server: ServerIdx) {
        self.by_server.remove(&server);
    }

    /// Closes connections that may no longer be reused.
    pub(crate) fn close_expired(&mut self, now: Instant) {
        for connections in self.by_server.values_mut() {
            connections.retain(|idle| now < idle.reuse_until && idle.connection.is_ready());
        }
        self.by_server.retain(|_, connections| !connections.is_empty());
    }
}
