//! Dispatches requests to backend servers: decides for each request whether to send it and where,
//! to queue it, or to refuse it.
//!
//! One [`Dispatcher`] serves all requests of a VM. It combines the latest [`ClusterView`], the
//! requests that this VM has in flight at each server, and the load that the other VMs have
//! reported. It does no I/O and reads no clock: the time is passed in, so that simulations can run
//! whole days in virtual time.
//!
//! A [`Coordinator`] uses a dispatcher to decide for all nodes of a data centre.

mod answer_times;
mod choice;
mod cluster_view;
mod connections;
mod coordinator;
mod cost;
mod demand_log;
mod dispatcher;
mod fair_queue;
mod health;
mod hedging;
mod limits;
mod load;
mod many_vms;
mod outcomes;
mod permit_queues;
mod prefill_fit;
mod prompt_log;
mod prompt_sent;
mod remote_prompts;
mod request_spec;
mod retry_budget;
mod return_turns;
mod server;
mod server_queues;
mod slot_wait;
mod speed;
mod start;
mod team_shares;
mod urgent_reserve;
mod verdict;

pub use crate::{
    cluster_view::{ClusterView, ServerView},
    coordinator::{Coordinator, CoordinatorAction},
    dispatcher::{DecisionInputs, Dispatcher, InFlightId, WaitId},
    fair_queue::FairQueue,
    hedging::HedgeRefusal,
    load::{Load, ServerLoad},
    prompt_sent::PromptSent,
    request_spec::RequestSpec,
    retry_budget::RetryLimit,
    server::ServerIdx,
    start::{
        ContinuationRequest, StartEvent, StartReply, StartRequest, StartVerdict, TeamStartRequest,
    },
    verdict::{Refusal, Verdict},
};
