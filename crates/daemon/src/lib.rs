//! Parts shared by the entry and planner daemons: clients of the platform's services, the I/O of
//! cluster membership, and the control thread with its event loop.

mod control_thread;
mod membership_driver;
mod platform;

pub use crate::{
    control_thread::{ControlThreadHandle, channel, spawn_control_thread},
    membership_driver::MembershipDriver,
    platform::{Platform, new_incarnation, spawn_vm_list_poll},
};
