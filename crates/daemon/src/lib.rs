//! What both daemons share: clients of the platform, the shell around membership, and the loop of
//! the control thread.

mod control_loop;
mod peers;
mod platform;

pub use crate::{
    control_loop::{ControlHandle, channel, spawn_control},
    peers::PeerShell,
    platform::{Platform, new_incarnation, spawn_listing_poll},
};
