//! A stand-in of the users' platform: its store, model engines and plain servers.
//!
//! Everything runs in the process of a test, on loopback, and speaks the platform's wire through the
//! adapter's own encodings. What the servers run is recorded in a [`RunLog`], so that tests check what
//! callers and servers see rather than what the system says of itself.

mod caller;
mod endless;
mod engine;
mod engine_fault;
mod http;
mod raw;
mod run_log;
mod store;
mod unframed;
mod work;

pub use self::{
    caller::{Caller, Reply},
    endless::{EndlessPart, EndlessServer, Pace},
    engine::{ServerSpec, SiteServer},
    engine_fault::EngineFault,
    raw::{RawAnswer, RawServer},
    run_log::{Run, RunLog},
    store::{SiteStore, StoreFault},
    unframed::{UnframedEnd, UnframedServer},
};
