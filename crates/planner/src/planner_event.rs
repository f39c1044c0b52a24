//! Events that other threads and tasks send to the planner's control thread.

use {
    glade_control::Event as CoreEvent, glade_engine::EngineReport, glade_membership::Event,
    glade_types::BackendId,
};

/// An event of the control thread.
#[derive(Debug)]
pub(crate) enum PlannerEvent {
    /// Event for the membership state, and for the planner core if it concerns both.
    Membership(Event),
    /// Event for the planner core.
    Core(CoreEvent),
    /// This planner read an engine's report.
    EngineReported { engine: BackendId, report: EngineReport },
    /// The process is shutting down.
    Shutdown,
}

impl From<Event> for PlannerEvent {
    fn from(event: Event) -> Self {
        Self::Membership(event)
    }
}
