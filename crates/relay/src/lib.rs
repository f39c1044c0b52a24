//! The way of a request from its caller to a backend server, and of the answer back.
//!
//! A request passes through these steps, each a type of its own:
//!
//! 1. [`accept`](Relay::accept): a caller's connection carries one request after the other.
//! 2. `RoutedRequest`: the head was read; route and caller's terms are known, or the request is rejected.
//! 3. `AdmittedRequest`: the body was read too; from here on the request has one budget of time and
//!    attempts, whoever spends it.
//! 4. `Attempt`, `ConnectedAttempt`, `AnsweringAttempt`: one attempt at one server, which has been chosen, is connected, has
//!    begun to answer. What a failed attempt proves decides what may follow, and `FailedAttempts` counts it.
//!    A server that is only silent is kept until another has taken the request, see `pursuit` and
//!    `resume`.
//! 5. an answer: the server's own, whole or as a stream that later legs may continue, or a refusal
//!    that says truthfully whether the request has run.
//!
//! Decisions are the dispatcher's; formats are the [`Dialect`]'s.

mod admitted_request;
mod answer_body;
mod answer_metadata;
mod answering_attempt;
mod attempt;
mod attempt_failure;
mod caller_connections;
mod connected_attempt;
mod dialect;
mod drain;
mod end_line;
mod event_splitter;
mod event_stream;
mod failed_attempts;
mod hedge;
mod hop_by_hop;
mod idle_connections;
mod metrics;
mod open_request;
mod own_answer;
mod relay;
mod request_log;
mod reservation;
mod resume;
mod routed_request;
mod server_answer;
mod start_client;
mod traffic_update;
mod wait_queue;

pub use crate::{
    dialect::{AnswerMetadata, AttemptMetadata, Dialect, MalformedHeader},
    relay::{Relay, RelayDependencies, RelayHandle},
    reservation::{Reservation, ReservationParams},
    traffic_update::{OnTrafficUpdate, TrafficUpdate},
};
