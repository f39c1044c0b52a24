//! Decides where each request goes, whether it waits, or that it is refused.
//!
//! One [`Dispatcher`] serves all requests of a VM. It knows the backend servers from the latest
//! [`ClusterView`], what this VM has under way at each of them, and what the other VMs last said they
//! have. It does no I/O and reads no clock: time is passed in, so that whole days can be played in
//! virtual time.

mod choice;
mod cluster_view;
mod coordinator;
mod cost;
mod demand_log;
mod dispatcher;
mod health;
mod load;
mod many_vms;
mod outcomes;
mod prefill_fit;
mod prompt_log;
mod prompt_sent;
mod remote_prompts;
mod request_spec;
mod retry_budget;
mod server;
mod server_queues;
mod speed;
mod start;
mod verdict;

pub use crate::{
    cluster_view::{ClusterView, ServerView},
    coordinator::{Coordinator, CoordinatorAction},
    dispatcher::{DecisionInputs, Dispatcher, InFlightId, WaitId},
    load::{Load, ServerLoad},
    prompt_sent::PromptSent,
    request_spec::RequestSpec,
    retry_budget::RetryLimit,
    server::ServerIdx,
    start::{StartEvent, StartReply, StartRequest, StartVerdict},
    verdict::{Refusal, Verdict},
};
