//! What reserved bytes hold.

/// What reserved bytes hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of callers' requests.
    Bodies,
    /// Answers that callers have yet to read.
    Answers,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Bodies, Self::Answers];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Answers => "answers",
        }
    }

    pub(crate) fn idx(self) -> usize {
        self as usize
    }
}
