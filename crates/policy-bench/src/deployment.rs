//! Sizes of the two users' deployments, and their rows.

use {
    glade_table::{COLUMNS, Table, TableVersion},
    std::{fmt, str::FromStr},
};

const GIB: u64 = 1 << 30;

/// Memory of an engine.
pub(crate) const ENGINE_MEMORY_BYTES: u64 = 80 * GIB;
/// Accelerators of an engine.
pub(crate) const ACCELERATORS_PER_ENGINE: u32 = 4;

/// One of the two users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kalahari Surplus Exchange, Windhoek: weighs attainment.
    Kalahari,
    /// Coopérative Jëf-Jël, Dakar: weighs moves.
    JefJel,
    /// Jëf-Jël's sizes with Kalahari's weights, to compare moves.
    JefJelAtKalahariWeights,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "kalahari" => Ok(Self::Kalahari),
            "jef-jel" => Ok(Self::JefJel),
            "jef-jel-at-kalahari-weights" => Ok(Self::JefJelAtKalahariWeights),
            _ => Err(format!("unknown deployment {text:?}; known are kalahari and jef-jel")),
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kalahari => "kalahari",
            Self::JefJel => "jef-jel",
            Self::JefJelAtKalahariWeights => "jef-jel-at-kalahari-weights",
        })
    }
}

impl Deployment {
    pub(crate) fn engines(self) -> usize {
        if self == Self::Kalahari { 12 } else { 18 }
    }

    pub(crate) fn entries(self) -> usize {
        if self == Self::Kalahari { 7 } else { 8 }
    }

    pub(crate) fn models(self) -> usize {
        if self == Self::Kalahari { 20 } else { 35 }
    }

    pub(crate) fn adapters(self) -> usize {
        if self == Self::Kalahari { 75 } else { 95 }
    }

    /// Loads of base models per second, and at once.
    pub(crate) fn weight_store(self) -> (f64, u32) {
        if self == Self::Kalahari { (2.0, 6) } else { (2.5, 11) }
    }

    /// Worth of attainment and cost of a move.
    pub(crate) fn objective(self) -> (f64, f64) {
        if self == Self::JefJel { (0.5, 1.0) } else { (1.0, 0.1) }
    }

    /// The design load, in requests per second.
    pub fn nominal_rate_per_s(self) -> f64 {
        if self == Self::Kalahari { 60.0 } else { 90.0 }
    }

    /// The operators' table.
    pub(crate) fn table(self) -> Table {
        let mut text = COLUMNS.join(",") + "\n";
        for idx in 0..self.models() {
            let bytes = (10 + (idx as u64 % 4) * 6) * GIB;
            text += &format!("m{idx:02},model,,{bytes},urgent,1,0,0,1600,26,true\n");
        }
        for idx in 0..self.adapters() {
            let (base, bytes) = (idx % self.models(), GIB / 4);
            text += &format!(
                "m{base:02}-a{idx:02},adapter,m{base:02},{bytes},urgent,1,0,0,1600,26,true\n"
            );
        }
        Table::parse_csv(&text, TableVersion(1)).expect("the bench's table is valid")
    }
}
