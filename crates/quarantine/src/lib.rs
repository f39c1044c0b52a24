//! Attributes crashes of engines to parts of prompts, and keeps requests with parts that crash engines away from
//! them.
//!
//! A part of a prompt may crash every engine that begins to answer a request which holds it. Nothing in an answer says
//! so: all requests that the engine ran or had queued break at once. What tells them apart is seen over several
//! crashes: the part at fault is in a request that had no answer yet at each of them, and no request with it is ever
//! answered.
//!
//! * [`CrashLog`] collects the attempts that broke before their answers had begun, by the engine that ended, and names
//!   the parts that explain the crashes.
//! * [`Quarantine`] is the set of combinations of parts that aren't sent to engines. Sets of several nodes are merged;
//!   the result doesn't depend on the order in which updates arrive.
//! * [`QuarantineView`] is the snapshot of it that the request path reads.
//!
//! The crate does no I/O and reads no clock. docs/design/quarantine.md weighs the alternatives.

mod crash_log;
mod entry;
mod fingerprint;
mod quarantine;
mod quarantine_view;

pub use crate::{
    crash_log::{Attribution, CrashLog, LostAttempt},
    entry::{Entry, EntryUpdate},
    fingerprint::Fingerprint,
    quarantine::Quarantine,
    quarantine_view::{BlockedParts, QuarantineView},
};

/// True if `parts` contains all of `wanted`.
fn contains_all(parts: &[u64], wanted: &[u64]) -> bool {
    wanted.iter().all(|part| parts.contains(part))
}
