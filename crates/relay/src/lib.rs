//! The way of a request from its caller to a backend server, and of the answer back.
//!
//! A request passes through these steps, each a type of its own:
//!
//! 1. [`accept`](Relay::accept): a caller's connection carries one request after the other.
//! 2. `Received`: the head was read; route and caller's terms are known, or the request is rejected.
//! 3. `Admitted`: the body was read too; from here on the request has one budget of time and
//!    attempts, whoever spends it.
//! 4. `Flight`, `Reached`, `Leg`: one attempt at one server, which has been chosen, is connected, has
//!    begun to answer. What a failed attempt proves decides what may follow, and `Spent` counts it.
//!    A server that is only silent is kept until another has taken the request, see `pursuit` and
//!    `resume`.
//! 5. an answer: the server's own, whole or as a stream that later legs may continue, or a refusal
//!    that says truthfully whether the request has run.
//!
//! Decisions are the dispatcher's; formats are the [`Dialect`]'s.

mod admitted;
mod answer_body;
mod attempt;
mod caller_connections;
mod dialect;
mod drain;
mod end_line;
mod event_splitter;
mod flight;
mod hop;
mod idle;
mod leg;
mod leg_failure;
mod meters;
mod own_answer;
mod pursuit;
mod reached;
mod received;
mod relay;
mod request_log;
mod reservation;
mod resume;
mod server_signs;
mod spent;
mod starts;
mod stream;
mod traffic_update;
mod visit;
mod waiting;

pub use crate::{
    dialect::{AnswerMetadata, AttemptMetadata, Dialect, MalformedHeader},
    relay::{Relay, RelayDependencies, RelayHandle},
    reservation::{Reservation, ReservationParams},
    traffic_update::{OnTrafficUpdate, TrafficUpdate},
};
