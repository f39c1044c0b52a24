//! Makes sequences, runs them, and shrinks one that fails.

use {
    crate::counts::FaultCounts,
    quickcheck::{Arbitrary, Gen},
    std::fmt::Debug,
};

/// Longest sequence of operations.
const SEQUENCE_LEN: usize = 120;
/// Most runs spent on shrinking one failure.
const MAX_SHRINK_RUNS: u32 = 400;

/// Something to run operations against.
pub trait World: Sized {
    /// One operation.
    type Op: Arbitrary + Debug;

    /// Returns a world whose random choices follow from `seed`.
    fn new(seed: u64) -> Self;

    /// Carries out one operation and checks all properties.
    fn apply(&mut self, op: &Self::Op);

    /// Checks the properties that hold once faults have ended.
    fn finish(&mut self);

    /// The first violation seen.
    fn violation(&self) -> Option<&str>;

    /// Faults injected so far.
    fn counts(&self) -> &FaultCounts;
}

/// A failing sequence after shrinking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What was violated.
    pub message: String,
    /// Seed of the world.
    pub world_seed: u64,
    /// The operations, one a line.
    pub ops: Vec<String>,
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FuzzReport {
    /// Operations carried out.
    pub steps: u64,
    /// Sequences run.
    pub sequences: u64,
    /// Faults injected.
    pub counts: FaultCounts,
    /// The first violation; the run ends with it.
    pub violation: Option<Violation>,
}

/// Runs sequences until `steps` operations are done or a property is violated, and shrinks a
/// sequence that violates one.
pub fn fuzz<W: World>(seed: u64, steps: u64) -> FuzzReport {
    fuzz_shrinking::<W>(seed, steps, MAX_SHRINK_RUNS)
}

/// The same with another bound on the runs spent on shrinking.
pub fn fuzz_shrinking<W: World>(seed: u64, steps: u64, shrink_runs: u32) -> FuzzReport {
    let mut report = FuzzReport::default();
    while report.steps < steps {
        let world_seed = seed.wrapping_mul(1_000_003).wrapping_add(report.sequences);
        let mut generator = Gen::from_size_and_seed(SEQUENCE_LEN, world_seed);
        let ops = Vec::<W::Op>::arbitrary(&mut generator);
        let (message, counts) = run::<W>(world_seed, &ops);
        report.steps += ops.len() as u64 + 1;
        report.sequences += 1;
        report.counts.merge(&counts);
        if let Some(message) = message {
            report.violation = Some(shrink::<W>(world_seed, ops, message, shrink_runs));
            return report;
        }
    }
    report
}

fn run<W: World>(seed: u64, ops: &[W::Op]) -> (Option<String>, FaultCounts) {
    let mut world = W::new(seed);
    for op in ops {
        world.apply(op);
        if world.violation().is_some() {
            break;
        }
    }
    if world.violation().is_none() {
        world.finish();
    }
    (world.violation().map(str::to_owned), world.counts().clone())
}

/// Looks for a shorter sequence that fails as well.
fn shrink<W: World>(
    world_seed: u64,
    mut ops: Vec<W::Op>,
    mut message: String,
    most_runs: u32,
) -> Violation {
    let mut runs = 0;
    'shorter: loop {
        for candidate in ops.shrink() {
            runs += 1;
            if runs > most_runs {
                break 'shorter;
            }
            if let (Some(shorter), _) = run::<W>(world_seed, &candidate) {
                (ops, message) = (candidate, shorter);
                continue 'shorter;
            }
        }
        break;
    }
    let ops = ops.iter().map(|op| format!("{op:?}")).collect();
    Violation { message, world_seed, ops }
}
