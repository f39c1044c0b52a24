//! Routes, which map callers' requests to services and set their retry policy and latency objective.

use {
    glade_types::{RouteName, ServiceName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether and how a request may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream that another backend server can resume after the last event received.
    Resumable,
}

/// A service and the share of a route's requests that it receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests it matches, which services they are sent to, and their latency objective,
/// priority and retry policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that a request must name to match, in lower case and without a port.
    pub host: String,
    /// Prefix that a request's path must have to match, with a slash at both ends.
    pub path_prefix: String,
    /// Whether and how requests may be retried after they may have run.
    #[serde(rename = "repeat")]
    pub retry_policy: RetryPolicy,
    /// Whether responses are streams of events.
    pub streams: bool,
    /// Time limit of a request, from the caller's point of view.
    pub time_limit: Duration,
    /// Latency objective: for the complete response, or for the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a stream that still meets the latency objective.
    pub pause_limit: Option<Duration>,
    /// Priority rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Services that requests are distributed over by weight.
    pub services: Vec<WeightedService>,
    /// True if requests need no team's key and belong to no team. Not serialized, because nodes of
    /// earlier versions couldn't decode it; [`crate::TeamCatalog`] carries it.
    #[serde(skip)]
    pub is_public: bool,
}

impl Route {
    /// Returns true if a request that may already have run can be sent again from its start.
    pub fn may_retry(&self) -> bool {
        matches!(self.retry_policy, RetryPolicy::Idempotent | RetryPolicy::Resumable)
    }

    /// Picks a service at random by weight. `seed` must be uniformly distributed over all values.
    pub fn pick_service(&self, seed: u32) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = (u64::from(seed) * total) >> 32;
        for target in &self.services {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}
