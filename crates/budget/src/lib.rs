//! The memory budget of a process: what its peers can make it hold, in bytes and connections.
//!
//! A process has one [`Budget`], derived from its VM's memory and descriptors by [`BudgetLimits`]. Each
//! connection has an [`Account`], which reserves bytes before the process holds them and gives them back as the
//! [`Reservation`] is dropped. Bodies and answers have a pool each, since a body is held until its answer has
//! room. Small reservations may also use a reserve, so that they find room beside large ones.
//!
//! When there is no room, whoever wants more waits, first come first served, and reads nothing meanwhile. While
//! somebody waits, [`Budget::run`] has other connections give way: first those that make no progress, then,
//! at a standstill, the largest; those of the source with the most unfinished requests before others.

mod account;
mod account_state;
mod budget;
mod caller_stream;
mod kind;
mod limits;
mod port;
mod reservation;

pub use crate::{
    account::Account,
    budget::{Budget, SMALL_BYTES},
    caller_stream::CallerStream,
    kind::Kind,
    limits::BudgetLimits,
    port::Port,
    reservation::Reservation,
};
