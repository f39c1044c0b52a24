//! The policies that are compared.

use std::fmt;

/// How requests are routed and models are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The system's present policy.
    Glade,
    /// Engines in turn, static placement.
    RoundRobin,
    /// The engine with the fewest requests of the same entry under way, static placement.
    LeastOutstanding,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Glade, Self::RoundRobin, Self::LeastOutstanding];
    /// What the system's policy is compared with.
    pub const BASELINES: [Self; 2] = [Self::RoundRobin, Self::LeastOutstanding];

    /// True if the planner moves models.
    pub(crate) fn plans(self) -> bool {
        self == Self::Glade
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Glade => "glade",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
        })
    }
}
