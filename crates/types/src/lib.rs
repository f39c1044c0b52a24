//! Identifiers and small value types shared by every crate of persimmonglade.
//!
//! This crate contains only plain data: no I/O, no clock and no policy. Identifiers are separate types
//! so that a model's name can't be passed where a backend server's name is expected.

mod call_outcome;
mod ids;
mod limits;
mod priority;
mod rendezvous;

pub use crate::{
    call_outcome::CallOutcome,
    ids::{
        BackendId, DataCentre, GroupId, IdempotencyKey, Incarnation, ModelName, RequestId,
        RouteName, ServiceName, SoftwareVersion, TeamName, VmId, is_valid_name,
    },
    limits::{Bytes, MAX_NAME_LEN},
    priority::Priority,
    rendezvous::{rendezvous_order, rendezvous_score, stable_hash},
};
