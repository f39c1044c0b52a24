//! What both daemons share: clients of the platform, the shell around membership, and the loop of
//! the control thread.

mod control_thread;
mod membership_driver;
mod platform;

pub use crate::{
    control_thread::{ControlThreadHandle, channel, spawn_control_thread},
    membership_driver::MembershipDriver,
    platform::{Platform, new_incarnation, spawn_vm_list_poll},
};
