//! Signals that end a process unless it handles or ignores them.

use {
    rustix::process::Signal,
    std::{io, task::Poll},
    tokio::signal::unix::{self, SignalKind, signal},
};

/// Signals that end a process by default and that tell ours nothing. SIGXFSZ and SIGXCPU tell of soft
/// limits: without them, a write of the log beyond its limit fails, and the log loses a line.
const STRAY: [Signal; 11] = [
    Signal::HUP,
    Signal::PIPE,
    Signal::USR1,
    Signal::USR2,
    Signal::ALARM,
    Signal::VTALARM,
    Signal::PROF,
    Signal::IO,
    Signal::POWER,
    Signal::XCPU,
    Signal::XFSZ,
];

/// Ignores signals that tell our processes nothing, except where the process handles them. Has to run in
/// the context of a runtime.
///
/// Signals of faults (SIGSEGV, SIGABRT and the like) and of job control keep their effects.
///
/// # Errors
///
/// A handler can't be installed.
pub fn ignore_stray_signals() -> io::Result<()> {
    for stray in STRAY {
        // The handler outlives the stream.
        drop(signal(SignalKind::from_raw(stray.as_raw()))?);
    }
    Ok(())
}

/// The signals that tell a process to end in order: SIGTERM, SIGINT and SIGQUIT.
#[derive(Debug)]
pub struct EndSignals([unix::Signal; 3]);

impl EndSignals {
    /// Handles the signals from now on. Has to run in the context of a runtime.
    ///
    /// # Errors
    ///
    /// A handler can't be installed.
    pub fn open() -> io::Result<Self> {
        let kinds = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::quit()];
        let [terminate, interrupt, quit] = kinds.map(signal);
        Ok(Self([terminate?, interrupt?, quit?]))
    }

    /// Waits until one of the signals has come since the call of [`EndSignals::open`].
    pub async fn recv(&mut self) {
        std::future::poll_fn(|context| {
            let mut polls = self.0.iter_mut().map(|signal| signal.poll_recv(context));
            if polls.any(|poll| poll.is_ready()) { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
}
