//! What keeps a process running: signals are handled from the start, and what panics starts again.

mod restart_pause;
mod signals;
mod supervise;

pub use crate::{
    restart_pause::RestartPause,
    signals::{EndSignals, ignore_stray_signals},
    supervise::{Panicked, catch_panic, keep_running},
};
