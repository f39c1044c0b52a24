//! When nodes and their connections were harmed last.

use {
    crate::plan::Fault,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after a fault during which connections may still suffer from it; longer than a link's delay.
const AFTERMATH: Duration = Duration::from_millis(500);

/// What a fault harms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Harmed {
    /// A node.
    Node(usize),
    /// All nodes' connections to an engine.
    EngineLink(usize),
    /// A node's connections to the store.
    StoreLink(usize),
    /// The store.
    Store,
}

/// Until when nodes and connections were harmed, as far as they were.
#[derive(Clone, Debug, Default)]
pub(crate) struct Harm(BTreeMap<Harmed, Duration>);

impl Harm {
    /// A fault begins that lasts up to `until`.
    pub(crate) fn begin(&mut self, fault: Fault, until: Duration) {
        match fault {
            Fault::Kill { node } | Fault::Pause { node } => self.note(Harmed::Node(node), until),
            Fault::EngineLink { engine, .. } | Fault::SeverEngineLink { engine } => {
                self.note(Harmed::EngineLink(engine), until);
            }
            Fault::StoreLink { node, .. } | Fault::SeverStoreLink { node } => {
                self.note(Harmed::StoreLink(node), until);
            }
            Fault::Store(_) | Fault::Restore => self.note(Harmed::Store, until),
            // One that is told to end finishes what it has; then it is killed.
            Fault::Terminate { .. }
            | Fault::Reload { .. }
            | Fault::Engine { .. }
            | Fault::Replace { .. }
            | Fault::Upgrade { .. }
            | Fault::Plain { .. }
            | Fault::EngineStall { .. }
            | Fault::PlainStall { .. }
            | Fault::Configuration
            | Fault::Restart { .. }
            | Fault::ReloadChanged { .. }
            | Fault::OddEntry { .. }
            | Fault::Row { .. }
            | Fault::ConfigurationRow(_)
            | Fault::Removal { .. } => {}
        }
    }

    /// Something is harmed up to `until`.
    pub(crate) fn note(&mut self, harmed: Harmed, until: Duration) {
        let known = self.0.entry(harmed).or_default();
        *known = (*known).max(until + AFTERMATH);
    }

    /// True if it was harmed at `at` or later.
    pub(crate) fn is_harmed_since(&self, harmed: Harmed, at: Duration) -> bool {
        self.0.get(&harmed).is_some_and(|until| *until >= at)
    }
}

#[cfg(test)]
mod tests;
