//! What is wrong with one server.

use glade_standins::site::EngineFault;

/// Faults of a server that are on. A stall shows only while no other fault is on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerFaults {
    fault: EngineFault,
    stalls: Vec<EngineFault>,
}

impl ServerFaults {
    /// Switches a fault on, or the one that is on off.
    pub(crate) fn set(&mut self, fault: EngineFault) {
        self.fault = fault;
    }

    pub(crate) fn begin_stall(&mut self, stall: EngineFault) {
        self.stalls.push(stall);
    }

    pub(crate) fn end_stall(&mut self, stall: EngineFault) {
        if let Some(position) = self.stalls.iter().position(|on| *on == stall) {
            self.stalls.remove(position);
        }
    }

    /// What the server does now.
    pub(crate) fn present(&self) -> EngineFault {
        match self.fault {
            EngineFault::None => self.stalls.last().copied().unwrap_or_default(),
            fault => fault,
        }
    }
}

#[cfg(test)]
mod tests;
