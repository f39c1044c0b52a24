//! The named scenarios and when their faults strike.

use std::{fmt, str::FromStr, time::Duration};

/// Time during which requests arrive.
pub(crate) const ARRIVALS: Duration = Duration::from_secs(240);
/// Start of the measured time; before it the system warms up.
pub(crate) const MEASURED_FROM: Duration = Duration::from_secs(30);
/// When faults begin.
pub(crate) const FAULT_START: Duration = Duration::from_secs(80);
/// When faults end.
pub(crate) const FAULT_END: Duration = Duration::from_secs(160);
/// Time after the last arrival for patient work to end.
pub(crate) const DRAIN: Duration = Duration::from_secs(240);

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Bursty demand over all rows, no fault.
    Steady,
    /// The demand for three models rises tenfold for a while.
    TenfoldBurst,
    /// Two engines leave and come back empty.
    EnginesLeaving,
    /// Two engines die and come back empty.
    LostEngines,
    /// The table service is slow.
    SlowStore,
    /// The table service is down, and demand shifts meanwhile.
    StoreOutage,
    /// A third of the paths between entries and engines goes silent.
    SilentConnections,
    /// Everything together.
    Everything,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::TenfoldBurst,
        Self::EnginesLeaving,
        Self::LostEngines,
        Self::SlowStore,
        Self::StoreOutage,
        Self::SilentConnections,
        Self::Everything,
    ];

    pub(crate) fn bursts(self) -> bool {
        matches!(self, Self::TenfoldBurst | Self::StoreOutage | Self::Everything)
    }

    pub(crate) fn leaving(self) -> bool {
        matches!(self, Self::EnginesLeaving | Self::Everything)
    }

    pub(crate) fn loses_engines(self) -> bool {
        matches!(self, Self::LostEngines | Self::Everything)
    }

    pub(crate) fn silent_paths(self) -> bool {
        matches!(self, Self::SilentConnections | Self::Everything)
    }

    /// Latency of the table service during the fault, or `None` if it is down.
    pub(crate) fn store_latency(self) -> Option<Duration> {
        match self {
            Self::SlowStore | Self::Everything => Some(Duration::from_millis(1500)),
            Self::StoreOutage => None,
            _ => Some(Duration::from_millis(3)),
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::TenfoldBurst => "tenfold-burst",
            Self::EnginesLeaving => "engines-leaving",
            Self::LostEngines => "lost-engines",
            Self::SlowStore => "slow-store",
            Self::StoreOutage => "store-outage",
            Self::SilentConnections => "silent-connections",
            Self::Everything => "everything",
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|scenario| scenario.name() == text);
        known.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|scenario| scenario.name()).collect();
            format!("unknown scenario {text:?}; known are {}", names.join(", "))
        })
    }
}
