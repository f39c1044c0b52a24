//! Releases of the engines' software, and ends of all nodes at once.

use {
    crate::plan::{Fault, Planned, Targets},
    std::{ops::Range, time::Duration},
};

/// Time from the restart of one engine of a release to that of the next, in milliseconds.
const ENGINE_SPACING_MS: Range<u64> = 50..900;
/// Time for which all nodes are down, in milliseconds.
const DOWN_MS: Range<u64> = 200..1500;
/// Time for which an engine that leaves goes on serving, in milliseconds.
const DRAIN_MS: Range<u64> = 0..2500;
/// One in so many of these faults ends all nodes.
const ALL_NODES_ONE_IN: u8 = 4;
/// One in so many releases upgrades engines in their places.
const UPGRADE_ONE_IN: u8 = 3;

/// Releases, and callers that take their streams up again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Releases {
    /// Mean time between the beginnings of two.
    pub gap: Duration,
    /// Callers.
    pub callers: usize,
}

/// Draws the releases that begin within `time`, each of a version of its own for a part of the engines, and
/// ends of all nodes.
pub fn plan_releases(
    rng: &mut fastrand::Rng,
    targets: Targets,
    time: Duration,
    releases: Releases,
) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut version = 1;
    let mut planned = Vec::new();
    loop {
        at += releases.gap.mul_f64(rng.f64() * 2.0);
        if at >= time {
            return planned;
        }
        if rng.u8(0..ALL_NODES_ONE_IN) == 0 {
            let lasts = Duration::from_millis(rng.u64(DOWN_MS));
            let kill = |node| Planned { at, lasts, fault: Fault::Kill { node } };
            planned.extend((0..targets.nodes).map(kill));
            continue;
        }
        version += 1;
        let first = rng.usize(0..targets.engines);
        let spacing = Duration::from_millis(rng.u64(ENGINE_SPACING_MS));
        let is_upgrade = rng.u8(0..UPGRADE_ONE_IN) == 0;
        for number in 0..rng.u32(1..=targets.engines as u32) {
            let engine = (first + number as usize) % targets.engines;
            let (fault, lasts) = if is_upgrade {
                (Fault::Upgrade { engine, version }, Duration::ZERO)
            } else {
                (Fault::Replace { engine, version }, Duration::from_millis(rng.u64(DRAIN_MS)))
            };
            planned.push(Planned { at: at + spacing * number, lasts, fault });
        }
    }
}
