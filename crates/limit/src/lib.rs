//! Limits on the rate of requests that servers name in their answers.
//!
//! This crate does no I/O and reads no clock: the time is passed in.

mod known_limit;
mod stated_limit;

pub use crate::{
    known_limit::{KnownLimit, LimitChange},
    stated_limit::StatedLimit,
};
