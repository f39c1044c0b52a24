//! A randomized soak: real nodes as separate processes against stand-ins on one machine, with faults
//! from outside them.
//!
//! A seed draws which faults come when: proxies that delay, reset, cut one way or silence
//! connections; signals that kill, end, pause and reload nodes; a store and servers that misbehave;
//! engines that pause, and that don't take what they seemed to take; a part of prompts that crashes engines;
//! releases of the engines' software; nodes that lose touch.
//! They come in series and overlap, while callers go on. What must hold is checked from what callers
//! got and servers ran. Ends only processes that it started itself.

mod checks;
mod crashing_part;
mod harm;
mod hostile_clients;
mod kept_callers;
mod named_limits;
mod odd_store;
mod oddities;
mod out_of_touch;
mod plan;
mod proxy;
mod releases;
mod removals;
mod restarts;
mod resuming_callers;
mod sent_request;
mod series;
mod server_faults;
mod soak;
mod teams;

pub use crate::{
    checks::{Seen, Violation, check, check_overlap, check_unanswered},
    oddities::{OddKey, OddValue, plan_oddities, plan_spoiled_streams},
    out_of_touch::plan_out_of_touch,
    plan::{Fault, Planned, Stalls, Targets, plan, plan_stalls},
    proxy::{Link, Proxy},
    releases::{Releases, plan_releases},
    series::{Series, plan_series},
    soak::{Report, Size, Soak},
};
