//! A stand-in of the users' platform: its store, model engines and plain servers.
//!
//! Everything runs in the process of a test, on loopback, and speaks the platform's wire through the
//! adapter's own encodings. What the servers run is recorded in a [`RunLog`], so that tests check what
//! callers and servers see rather than what the system says of itself.

mod caller;
mod cut_head;
mod earlier_answer;
mod endless;
mod engine;
mod engine_fault;
mod http;
mod kept_connection;
mod odd_rows;
mod raw;
mod run_log;
mod store;
mod unframed;
mod work;

pub use self::{
    caller::{Caller, Reply, stream_versions, terms_lines},
    cut_head::{CutHead, CutHeadServer},
    earlier_answer::{EarlierAnswer, RepeatedAt},
    endless::{EndlessPart, EndlessServer, Pace, marks},
    engine::{FIRST_VERSION, ServerSpec, SiteServer, event_text},
    engine_fault::EngineFault,
    kept_connection::{KeptConnection, KeptOutcome},
    odd_rows::{ODD_KEYS, leaving_entry, odd_entries, sound_entry},
    raw::{RawAnswer, RawServer},
    run_log::{Run, RunLog, SeenTeam},
    store::{SiteStore, StoreFault},
    unframed::{UnframedEnd, UnframedServer},
};
pub use glade_adapter::row_fault::RowFault;
