//! What reaches the planner's control thread.

use {
    glade_control::Event as ControlEvent, glade_engine::EngineReport, glade_membership::Event,
    glade_types::BackendId,
};

/// An event of the control thread.
#[derive(Debug)]
pub(crate) enum PlannerEvent {
    /// For the membership core, and for the planner's core where it concerns both.
    Peer(Event),
    /// For the planner's core.
    Control(ControlEvent),
    /// An engine's report was read here.
    Reported { engine: BackendId, report: EngineReport },
    /// The process is to end.
    Stop,
}

impl From<Event> for PlannerEvent {
    fn from(event: Event) -> Self {
        Self::Peer(event)
    }
}
