//! The signals that a node handles, and the runtime that receives them.

use {
    glade_process::{EndSignals, ignore_stray_signals},
    std::io,
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// The signals of a node. Those that come before the node runs take effect once it does.
#[derive(Debug)]
pub struct Signals {
    /// Runtime of the traffic thread.
    pub(crate) runtime: Runtime,
    /// Tell the node to end.
    pub(crate) end: EndSignals,
    /// Tells the node to read its settings file again.
    pub(crate) reload: Signal,
}

impl Signals {
    /// Handles or ignores all signals that a node outlives from now on.
    ///
    /// # Errors
    ///
    /// A runtime or signal handler can't be created.
    pub fn open() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let context = runtime.enter();
        let reload = signal(SignalKind::hangup())?;
        let end = EndSignals::open()?;
        ignore_stray_signals()?;
        drop(context);
        Ok(Self { runtime, end, reload })
    }
}
