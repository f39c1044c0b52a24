//! At-most-once execution of calls, used by the entry daemon and by the fuzzer.
//!
//! There are two mechanisms. The key that the caller sends selects one of them:
//!
//! * **The caller's own idempotency key** ([`KeyedCall`]): the VM inserts a row in the table
//!   service before it sends the request, and later records the answer in that row. Any VM can
//!   replay the answer to a retry, also after the first VM is gone. This mechanism costs two writes
//!   per call and needs the table service.
//! * **An issued token** ([`TokenRegistry`]): the token names one VM incarnation, and only the
//!   memory of that incarnation decides whether the call may run. This mechanism costs no write and
//!   works during an outage of the table service, but a retry must reach the same VM, and the
//!   outcome is lost when that VM dies.
//!
//! Both mechanisms decide before dispatch, and neither dispatches a call again once the first byte
//! of the request may have been sent.

mod call_record;
mod keyed_call;
#[cfg(feature = "sabotage")]
pub mod sabotage;
mod token_registry;

pub use crate::{
    call_record::{CallRecord, CallState, StoredAnswer, call_row_key},
    keyed_call::{CallReply, CallStep, KeyedCall, Owner},
    token_registry::{Token, TokenDecision, TokenRegistry},
};
