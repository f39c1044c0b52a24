//! Applies what the headers of a server's answer state about the server itself.
//!
//! A server that is leaving says so in its answers, whichever request they answer, and one that is
//! overloaded says so in its refusals, whether they are passed on or not. This VM acts on such a header
//! as soon as the head has been read.

use {
    crate::{
        dialect::{AnswerMetadata, Dialect},
        relay::Relay,
        traffic_update::TrafficUpdate,
    },
    glade_dispatch::ServerIdx,
    glade_limit::{LimitChange, StatedLimit},
    hyper::StatusCode,
    std::time::{Duration, Instant},
};

impl<D: Dialect> Relay<D> {
    /// Applies the `metadata` of an answer with `status` that came from the address of `server`.
    /// Unless it `is_own`, it may be an earlier answer, and a time that it states may be over.
    pub(crate) fn apply_answer_metadata(
        &self,
        server: ServerIdx,
        status: StatusCode,
        metadata: &AnswerMetadata,
        is_own: bool,
    ) {
        let expected = self.dispatcher.borrow().record(server).key.id.clone();
        // The address may belong to another server by now.
        if metadata.server.as_ref().is_some_and(|id| *id != expected) {
            return;
        }
        if metadata.leaving {
            self.on_server_leaving(server);
        }
        let wants_none = is_own && status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(time) = metadata.backoff.filter(|_| wants_none) {
            self.on_server_backoff(server, time);
        }
    }

    fn on_server_leaving(&self, server: ServerIdx) {
        let Some(key) = self.dispatcher.borrow_mut().mark_leaving(server) else { return };
        log::info!(server = key.id.as_str(), told_by = "answer"; "server_leaving");
        self.idle_connections.borrow_mut().close_all(server);
        (self.on_update)(TrafficUpdate::ServerLeaving(key));
    }

    fn on_server_backoff(&self, server: ServerIdx, time: Duration) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let time = dispatcher.back_off(self.clock.now(), server, time);
        let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let id = dispatcher.record(server).key.id.as_str();
        log::info!(server = id, time_ms = time_ms; "server_closed");
        (self.on_update)(TrafficUpdate::ServerBackoff(dispatcher.record(server).key.clone(), time));
    }

    /// Applies the limit that an answer to a request which was sent to `server` at `sent_at` has
    /// stated.
    pub(crate) fn apply_stated_limit(
        &self,
        server: ServerIdx,
        sent_at: Instant,
        stated: StatedLimit,
    ) {
        let now = self.clock.now();
        let (change, report) =
            self.dispatcher.borrow_mut().record_stated_limit(now, server, sent_at, stated);
        if let Some(change) = change {
            self.log_limit_change(server, stated, change);
        }
        if let Some(report) = report {
            let key = self.dispatcher.borrow().record(server).key.clone();
            (self.on_update)(TrafficUpdate::LimitStated(key, report));
        }
    }

    fn log_limit_change(&self, server: ServerIdx, stated: StatedLimit, change: LimitChange) {
        let dispatcher = self.dispatcher.borrow();
        let id = dispatcher.record(server).key.id.as_str();
        let per_s = match stated {
            StatedLimit::PerSecond(rate) => Some(rate),
            StatedLimit::None | StatedLimit::Unreadable => None,
        };
        match change {
            LimitChange::Named => {
                log::warn!(server = id, per_s = per_s, told_by = "answer"; "server_limit_named");
            }
            LimitChange::Changed { before } => {
                log::warn!(
                    server = id, per_s = per_s, before = before, told_by = "answer";
                    "server_limit_changed"
                );
            }
            LimitChange::Ended { before } => {
                log::info!(server = id, before = before, told_by = "answer"; "server_limit_ended");
            }
            LimitChange::Unreadable => log::warn!(server = id; "server_limit_unreadable"),
        }
    }
}
