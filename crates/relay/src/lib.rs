//! The request path of a VM: accepts callers' requests, sends them to backend servers and passes
//! the answers back.
//!
//! A request passes through these steps, each of which has a type of its own:
//!
//! 1. [`Relay::bind`] opens the callers' port. Each connection carries one request after another.
//! 2. `RoutedRequest`: the head has been read, and the route and the caller's terms are known. A
//!    request without a valid route, key of a team (where needed) or terms is rejected here, see `authentication`.
//! 3. `AdmittedRequest`: the body has been read too. From here on, all attempts at the request
//!    share one deadline and one limit on attempts.
//! 4. `Attempt`, `ConnectedAttempt`, `AnsweringAttempt`: one attempt at one server, which has been
//!    chosen, then connected to, then has begun to answer. `FailedAttempts` counts failed attempts.
//!    What a failure proves, above all whether the request may have run, decides whether another
//!    attempt may follow. An attempt at a server that is only silent is kept until another server
//!    has taken over the request, see `hedge` and `resume`.
//! 5. The answer: either the server's own, sent in full or as a stream that later attempts may
//!    continue, or an `OwnAnswer` of this VM, which states truthfully whether the request may have
//!    run.
//!
//! The dispatcher (`glade_dispatch`) chooses servers. A [`Dialect`] defines how requests and
//! answers are written into HTTP headers.

mod admitted_request;
mod answer_body;
mod answer_metadata;
mod answering_attempt;
mod attempt;
mod attempt_failure;
mod authentication;
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
mod origin_client;
mod own_answer;
mod permit_client;
mod quarantine;
mod quota_client;
mod relay;
mod request_body;
mod request_log;
mod reservation;
mod resume;
mod routed_request;
mod server_answer;
mod start_client;
mod traffic_update;
mod view_check;
mod wait_queue;

pub use crate::{
    dialect::{AnswerMetadata, AttemptMetadata, Dialect, MalformedHeader, TeamMetadata},
    relay::{Relay, RelayDependencies, RelayHandle},
    reservation::{Reservation, ReservationParams},
    traffic_update::{OnTrafficUpdate, TrafficUpdate},
    view_check::ViewCheck,
};
