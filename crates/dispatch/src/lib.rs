//! Decides where each request goes, whether it waits, or that it is refused.
//!
//! One [`Dispatcher`] serves all requests of a VM. It knows the backend servers from the latest
//! [`View`], what this VM has under way at each of them, and what the other VMs last said they
//! have. It does no I/O and reads no clock: time is passed in, so that whole days can be played in
//! virtual time.

mod choice;
mod coordinator;
mod cost;
mod crowd;
mod demand_log;
mod dispatcher;
mod health;
mod load;
mod need;
mod outcomes;
mod prompt_log;
mod prompt_sent;
mod reading_fit;
mod repeat_budget;
mod reserved;
mod sent_elsewhere;
mod server;
mod speed;
mod start;
mod verdict;
mod view;

pub use crate::{
    coordinator::{Coordinator, Notice},
    dispatcher::{Basis, Dispatcher, FlightId, WaitId},
    load::{Load, ServerLoad},
    need::Need,
    prompt_sent::PromptSent,
    repeat_budget::RepeatLimit,
    server::ServerIdx,
    start::{StartAnswer, StartAsk, StartEvent, StartVerdict},
    verdict::{Refusal, Verdict},
    view::{ServerView, View},
};
