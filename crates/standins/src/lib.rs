//! Small stand-ins for everything outside the system: the platform's services, model engines and
//! plain services. For demonstrations, tests and measurements only.
//!
//! All run in one process on loopback and speak the protocols that the system's clients speak.
//! Faults are switched on by a request to the control port; see [`Faults`].

mod control;
mod endless_body;
mod engine;
mod faults;
mod layout;
mod platform;
mod reply;
mod service;
pub mod site;
mod weights;

pub use crate::{
    control::Standins,
    faults::Faults,
    layout::{Deployment, Layout},
};
