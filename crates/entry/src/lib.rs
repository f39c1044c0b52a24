//! The entry daemon: serves callers and operators on one VM.
//!
//! * The **control thread** owns membership and the view of the fleet, and publishes an immutable
//!   route table.
//! * **Traffic** runs on tokio: the callers' port reads the route table, decides, and relays.
//!
//! The two meet in atomics and one bounded channel, so a request never waits for control.

mod accounts;
mod api_error;
mod body;
mod burn;
mod caller;
mod chat;
mod control;
mod daemon;
mod directory;
mod entry_stream;
mod event_limit;
mod events;
mod operator;
mod port;
mod proxy;
mod relay;
mod request;
mod service;
mod shared;
mod state;

pub use crate::daemon::{DrainHandle, Entry, EntryError};
