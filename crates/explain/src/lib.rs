//! Why a request was refused, cut or late, from the logs of the VMs.
//!
//! Takes the JSON lines that nodes write, in any order and from any number of VMs, finds those of one
//! request and what happened meanwhile to the servers that it was sent to, and names the cause. Reads
//! only what it is given; it knows nothing of files or of running nodes.

mod cause;
mod line;
mod story;

pub use crate::{
    cause::{Cause, QuarantinedParts},
    line::LogLine,
    story::Story,
};
