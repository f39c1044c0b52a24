//! The head of a request: finds its route, authenticates its caller and reads the caller's terms.

use {
    crate::{
        authentication::{KeyFault, authenticate},
        dialect::Dialect,
        own_answer::OwnAnswer,
    },
    glade_catalog::{Catalog, ModelSpec, RequestMetadata, Route, Team, base_model_of},
    glade_dispatch::{ClusterView, RequestSpec},
    glade_types::{RequestId, stable_hash},
    hyper::{StatusCode, header::HOST, http::request::Parts},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Shortest time after which the caller of a stream is assumed to stop waiting for its next event.
const STREAM_WAIT_MIN: Duration = Duration::from_secs(2);
/// The caller of a stream is assumed to wait this many times the route's latency objective, if that
/// is longer.
const STREAM_WAIT_OBJECTIVES: u32 = 4;
/// The caller of a stream is assumed to wait this many times the longest allowed pause, if that is
/// longer.
const STREAM_WAIT_PAUSES: u32 = 8;
/// `Retry-After` while this VM doesn't have the configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Deadline of a request whose caller sets none. The route's time limit still applies.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request whose head has been read, with its route and the caller's terms.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) id: RequestId,
    pub(crate) route: Arc<Route>,
    pub(crate) terms: RequestMetadata,
    /// The team whose key the caller sent; `None` on public routes and if the configuration has no
    /// teams.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) arrived_at: Instant,
}

impl RoutedRequest {
    /// Finds the route of a request, authenticates its caller and reads its terms.
    ///
    /// # Errors
    ///
    /// The answer that rejects a request which can't be routed or isn't authenticated.
    pub(crate) fn new<D: Dialect>(
        dialect: &D,
        view: &ClusterView,
        head: &Parts,
        arrived_at: Instant,
    ) -> Result<Self, OwnAnswer> {
        let Some(catalog) = &view.catalog else {
            return Err(OwnAnswer::not_run("unconfigured", UNCONFIGURED_RETRY_AFTER));
        };
        let bad_request = |cause| OwnAnswer::rejected(StatusCode::BAD_REQUEST, cause);
        let host = match head.headers.get(HOST) {
            Some(host) => host.to_str().map_err(|_| bad_request("malformed_host"))?,
            None => head.uri.host().ok_or_else(|| bad_request("no_host"))?,
        };
        let Some(route) = catalog.route(host, head.uri.path()) else {
            // A newer configuration that hasn't arrived yet may have the route.
            return Err(if view.catalog_is_outdated {
                OwnAnswer::not_run("configuration_pending", UNCONFIGURED_RETRY_AFTER)
            } else {
                OwnAnswer::rejected(StatusCode::NOT_FOUND, "no_route")
            });
        };
        let team = authenticate(catalog, route, &head.headers).map_err(|fault| {
            // A newer configuration that hasn't arrived yet may have the key.
            if fault == KeyFault::Unknown && view.catalog_is_outdated {
                OwnAnswer::not_run("configuration_pending", UNCONFIGURED_RETRY_AFTER)
            } else {
                OwnAnswer::rejected(StatusCode::UNAUTHORIZED, fault.name())
            }
        })?;
        let route = Arc::clone(route);
        let terms = dialect
            .read_caller_terms(&head.headers)
            .map_err(|_| bad_request("malformed_header"))?;
        let Some(id) = terms.request_id.clone() else {
            return Err(bad_request("no_request_id"));
        };
        Ok(Self { id, route, terms, team, catalog: Arc::clone(catalog), arrived_at })
    }

    /// Hashes of the parts of the prompt that other requests may share: all but the last, which is
    /// unique to the request or its session.
    pub(crate) fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let parts = &self.terms.prompt_parts;
        parts[..parts.len().saturating_sub(1)].iter().map(|part| part.hash)
    }

    /// When the final answer is due.
    pub(crate) fn answer_by(&self) -> Instant {
        let deadline = self.terms.deadline.unwrap_or(DEFAULT_DEADLINE);
        self.arrived_at + deadline.min(self.route.time_limit)
    }

    /// When the caller is assumed to stop waiting for the next byte, if the last one was sent at
    /// `since`.
    pub(crate) fn give_up_at(&self, since: Instant) -> Instant {
        if !self.route.streams {
            return self.answer_by();
        }
        let pause = self.route.pause_limit.unwrap_or_default();
        let wait = STREAM_WAIT_MIN
            .max(self.route.objective * STREAM_WAIT_OBJECTIVES)
            .max(pause * STREAM_WAIT_PAUSES);
        self.answer_by().min(since + wait)
    }

    /// What the dispatcher needs to choose a server; `seed` picks among the services of the route.
    pub(crate) fn request_spec(&self, seed: u32) -> Option<RequestSpec> {
        let service = self.route.pick_service(seed)?.clone();
        let class = self
            .catalog
            .service(service.as_str())
            .and_then(|service| service.engine_class.as_ref());
        let model_spec = class
            .zip(self.terms.model.as_ref())
            .and_then(|(class, model)| class.model(base_model_of(model)));
        let prompt_prefix_id = self.shared_parts().last();
        Some(RequestSpec {
            service,
            model: self.terms.model.clone(),
            prompt_tokens: self.terms.prompt_tokens,
            output_tokens: self.terms.expected_output_tokens(),
            output_tokens_max: self.terms.output_tokens_max,
            tokens_per_event: class.map_or(1, |class| class.tokens_per_event),
            prompt_prefix_id,
            team: self.team.as_ref().map(|team| stable_hash(team.name.as_str().as_bytes()) as u32),
            rank: self.team.as_ref().and_then(|team| team.rank).unwrap_or(self.route.rank),
            objective: self.route.objective,
            pause_limit: self.route.pause_limit,
            arrived_at: self.arrived_at,
            model_load: model_spec.map_or(Duration::ZERO, |model| model.load_from_store),
            model_load_min: model_spec.map_or(Duration::ZERO, ModelSpec::min_load_time),
            first_byte_deadline: self.give_up_at(self.arrived_at),
            seed,
            is_continuation: self.route.streams && self.terms.last_event_id.is_some(),
            software_version: None,
        })
    }
}

#[cfg(test)]
mod tests;
