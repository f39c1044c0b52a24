//! The control thread, and how it goes on after a panic.
//!
//! A panic of the control or of one of its tasks leaves state that may be half changed, and calls whose
//! outcome never arrives. So it ends the control with its runtime, tasks and connections, and the next
//! one begins as that of a new process would: with a new incarnation and without a lease, it rebuilds
//! its state from the store and the other nodes. Traffic goes on by the view that was published last.

use {
    crate::{
        control::{Control, ControlHandle},
        control_metrics::ControlMetrics,
        event::Event,
        peer_message::{PeerBatch, PeerInfo},
        peer_network::PeerNetwork,
        published_state::PublishedState,
    },
    glade_clock::Clock,
    glade_observe::LIFECYCLE,
    glade_process::RestartPause,
    glade_settings::NodeSettings,
    glade_types::Incarnation,
    glade_wire::{Inbox, Outbox},
    std::{
        error::Error,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        sync::mpsc::{Receiver, channel},
        task::LocalSet,
    },
};

/// Capacity of the control thread's event queue.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Period at which events are discarded during the pause before a restart.
const DISCARD_PERIOD: Duration = Duration::from_millis(20);

/// Starts the control thread, which also receives messages from other nodes.
///
/// # Errors
///
/// The address for other nodes can't be bound, or a thread or runtime can't be started.
pub(crate) fn spawn_control(
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    me: PeerInfo,
    published: PublishedState,
    metrics: ControlMetrics,
) -> Result<ControlHandle, Box<dyn Error>> {
    let (events, inbox) = channel(EVENT_QUEUE_CAPACITY);
    let handle = ControlHandle::new(events);
    let mut control = ControlThread {
        settings,
        clock,
        me,
        published,
        metrics,
        handle: handle.clone(),
        is_first: true,
    };
    let mut first = Some(control.open()?);
    let run = move || {
        run_generations(inbox, move |inbox| {
            let generation = first.take().map_or_else(|| control.open_next(), Ok);
            generation.map(|generation| control.run(generation, inbox))
        });
    };
    thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(handle)
}

/// Calls `run` for one generation after another, with pauses, whether it panics, fails or returns.
fn run_generations<E: ToString>(
    mut inbox: Receiver<Event>,
    mut run: impl FnMut(&mut Receiver<Event>) -> Result<(), E>,
) {
    let mut pauses = RestartPause::default();
    loop {
        // A generation that has panicked is dropped as a whole, so that nobody sees its state.
        let ended = catch_unwind(AssertUnwindSafe(|| run(&mut inbox)));
        let reason = match ended {
            Ok(Ok(())) => "a task panicked".to_owned(),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "panicked".to_owned(),
        };
        let pause = pauses.after_panic(Instant::now());
        log::error!( target: LIFECYCLE,
            reason = reason.as_str(),
            restarts = pauses.restarts(),
            pause_ms = pause.as_millis() as u64;
            "control_restarts"
        );
        discard_events(&mut inbox, pause);
    }
}

/// Discards the events that arrive during `pause`: answers to calls of the previous generation, and
/// reports that the next one can do without.
fn discard_events(inbox: &mut Receiver<Event>, pause: Duration) {
    let until = Instant::now() + pause;
    loop {
        while inbox.try_recv().is_ok() {}
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(DISCARD_PERIOD));
    }
}

/// What all generations of the control have in common.
struct ControlThread {
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    me: PeerInfo,
    published: PublishedState,
    metrics: ControlMetrics,
    handle: ControlHandle,
    is_first: bool,
}

/// Runtime and connections of one generation.
struct Generation {
    peer_inbox: Inbox,
    runtime: Runtime,
}

impl ControlThread {
    fn open(&self) -> Result<Generation, Box<dyn Error>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (receiver, metrics) = (self.handle.clone(), self.metrics.clone());
        let addr = self.settings.listen.peers;
        let peer_inbox = Inbox::bind_frames(runtime.handle(), addr, move |bytes| {
            let batch = PeerBatch::decode(bytes, &metrics)?;
            receiver.send(Event::PeerBatch(Box::new(batch)));
            Ok(())
        })?;
        Ok(Generation { peer_inbox, runtime })
    }

    /// Opens a generation that other nodes take for a new process.
    fn open_next(&mut self) -> Result<Generation, Box<dyn Error>> {
        self.metrics.on_control_restart();
        self.is_first = false;
        Arc::make_mut(&mut self.settings).first_start = false;
        self.me.incarnation = Incarnation(self.me.incarnation.0.wrapping_add(1));
        self.open()
    }

    /// Runs a generation until one of its tasks panics.
    fn run(&self, generation: Generation, inbox: &mut Receiver<Event>) {
        let Generation { peer_inbox, runtime } = generation;
        let _peer_inbox = peer_inbox;
        let outbox = Outbox::new(runtime.handle().clone());
        let network = PeerNetwork::new(self.me.clone(), Box::new(outbox), self.metrics.clone());
        let mut control = Control::new(
            Arc::clone(&self.settings),
            Arc::clone(&self.clock),
            network,
            self.published.clone(),
            self.metrics.clone(),
            self.handle.events(),
        );
        if !self.is_first {
            control.continue_from_published(self.clock.now());
        }
        LocalSet::new().block_on(&runtime, control.run(&self.handle, inbox));
    }
}

#[cfg(test)]
mod tests;
