//! Calls that may run at most once.
//!
//! Two ways, which a caller chooses by the key it presents:
//!
//! * **Its own idempotency key** ([`KeyedCall`]): a row is inserted in the table service before the
//!   request leaves, and the answer is recorded in it. Any VM can answer a repetition, also after
//!   the first VM is gone. It costs two writes a call and needs the table service.
//! * **An issued token** ([`TokenBook`]): it names one VM incarnation, whose memory alone decides.
//!   It costs no write and works through an outage of the table service, but a repetition must
//!   reach the same VM, and after that VM's death the outcome can't be learnt any more.
//!
//! Both decide before dispatch and never dispatch a call again once its first byte may have left.

mod keyed;
mod record;
#[cfg(feature = "sabotage")]
pub mod sabotage;
mod token;

pub use crate::{
    keyed::{CallReply, CallStep, KeyedCall, Owner},
    record::{CallRecord, CallState, StoredAnswer, call_key},
    token::{Token, TokenBook, TokenVerdict},
};
