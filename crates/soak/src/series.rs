//! Planned work of operators, in series that may overlap.

use {
    crate::plan::{Fault, Planned, Targets},
    std::{ops::Range, time::Duration},
};

/// Time from one restart of a series to the next, in milliseconds. A drain takes longer than the
/// shortest.
const RESTART_SPACING_MS: Range<u64> = 100..2500;
/// Time from one reload of a series to the next, in milliseconds.
const RELOAD_SPACING_MS: Range<u64> = 0..400;
/// Time from one configuration of a series to the next, in milliseconds.
const CONFIGURATION_SPACING_MS: Range<u64> = 20..800;
/// Configurations of a series.
const CONFIGURATIONS: Range<usize> = 2..7;

/// Series of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Series {
    /// Mean time between the beginnings of two series.
    pub gap: Duration,
    /// Callers that keep their connections.
    pub callers: usize,
}

/// Draws the planned work that begins within `time`.
pub fn plan_series(
    rng: &mut fastrand::Rng,
    targets: Targets,
    time: Duration,
    series: Series,
) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        at += series.gap.mul_f64(rng.f64() * 2.0);
        if at >= time {
            return planned;
        }
        let one = draw(rng, targets, at);
        planned.extend(one.into_iter().filter(|planned| planned.at < time));
    }
}

fn draw(rng: &mut fastrand::Rng, targets: Targets, at: Duration) -> Vec<Planned> {
    let nodes = targets.nodes;
    let (first, some_nodes) = (rng.usize(0..nodes), rng.usize(1..=nodes));
    let node = |number: usize| (first + number) % nodes;
    match rng.u8(0..4) {
        0 | 1 => repeat(at, some_nodes, spacing(rng, RESTART_SPACING_MS), |number| {
            Fault::Restart { node: node(number) }
        }),
        2 => repeat(at, some_nodes, spacing(rng, RELOAD_SPACING_MS), |number| {
            Fault::ReloadChanged { node: node(number) }
        }),
        _ => {
            let configurations = rng.usize(CONFIGURATIONS);
            repeat(at, configurations, spacing(rng, CONFIGURATION_SPACING_MS), |_number| {
                Fault::Configuration
            })
        }
    }
}

fn spacing(rng: &mut fastrand::Rng, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range_ms))
}

fn repeat(
    from: Duration,
    times: usize,
    spacing: Duration,
    fault: impl Fn(usize) -> Fault,
) -> Vec<Planned> {
    let one = |number: usize| Planned {
        at: from + spacing * u32::try_from(number).unwrap_or(u32::MAX),
        lasts: Duration::ZERO,
        fault: fault(number),
    };
    (0..times).map(one).collect()
}
