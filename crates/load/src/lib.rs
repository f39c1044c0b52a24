//! A bounded load on callers' ports of loopback, which checks every answer.
//!
//! For demonstrations and measurements. Each answer must be whole and the request's own: the
//! stand-in engines answer with text that depends on the model and the position.

mod caller;
mod directory;
mod run;

pub use crate::{
    caller::{Outcome, call_chat, call_service},
    directory::{Directory, DirectoryError},
    run::{LoadConfig, LoadReport, run_load},
};
