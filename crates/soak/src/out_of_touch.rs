//! Nodes that lose touch: the store turns a share of them away while servers are removed, they stand still
//! while engines are released, or connections go silent for good.

use {
    crate::{
        plan::{Fault, Planned, Targets},
        proxy::Link,
    },
    std::{ops::Range, time::Duration},
};

/// Time for which the store turns nodes away, in milliseconds.
const TURNED_AWAY_MS: Range<u64> = 800..4000;
/// Time from there to the removal of a server, in milliseconds.
const REMOVED_AFTER_MS: Range<u64> = 100..1500;
/// Time for which a removed server serves on.
const SERVES_ON: Duration = Duration::from_millis(3500);
/// Time for which nodes stand still, in milliseconds.
const STANDS_STILL_MS: Range<u64> = 1200..5000;
/// Time from there to a change of an engine, in milliseconds.
const CHANGED_AFTER_MS: Range<u64> = 50..800;
/// Time for which an engine that leaves goes on serving, in milliseconds.
const DRAIN_MS: Range<u64> = 500..2500;
/// First number of the versions of the engines here; releases of their own have lower ones.
const FIRST_VERSION: u32 = 1000;

/// Draws losses of touch that begin within `time`, about one in `gap` at a time.
pub fn plan_out_of_touch(
    rng: &mut fastrand::Rng,
    targets: Targets,
    time: Duration,
    gap: Duration,
) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut version = FIRST_VERSION;
    let mut planned = Vec::new();
    loop {
        at += gap.mul_f64(rng.f64() * 2.0);
        if at >= time {
            return planned;
        }
        match rng.u8(0..3) {
            0 => planned.extend(turn_away(rng, targets, at)),
            1 => {
                version += 1;
                planned.extend(stand_still(rng, targets, at, version));
            }
            _ => planned.extend(sever(rng, targets, at)),
        }
    }
}

/// The store turns some nodes away, up to all but one, as the configuration changes, which they then ask for, and
/// a plain server's entry is removed.
fn turn_away(rng: &mut fastrand::Rng, targets: Targets, at: Duration) -> Vec<Planned> {
    let link = [Link::Reset, Link::Silent, Link::DeafCallers][rng.usize(0..3)];
    let lasts = ms(rng, TURNED_AWAY_MS);
    let away = some_of(rng, targets.nodes, targets.nodes.saturating_sub(1).max(1));
    let mut planned: Vec<Planned> = away
        .into_iter()
        .map(|node| Planned { at, lasts, fault: Fault::StoreLink { node, link } })
        .collect();
    planned.push(Planned { at, lasts: Duration::ZERO, fault: Fault::Configuration });
    let server = rng.usize(0..targets.plain);
    let at = at + ms(rng, REMOVED_AFTER_MS);
    planned.push(Planned { at, lasts: SERVES_ON, fault: Fault::Removal { server } });
    planned
}

/// A node stands still while an engine is replaced or upgraded.
fn stand_still(
    rng: &mut fastrand::Rng,
    targets: Targets,
    at: Duration,
    version: u32,
) -> Vec<Planned> {
    let node = rng.usize(0..targets.nodes);
    let pause = Planned { at, lasts: ms(rng, STANDS_STILL_MS), fault: Fault::Pause { node } };
    let engine = rng.usize(0..targets.engines);
    let (fault, lasts) = if rng.bool() {
        (Fault::Upgrade { engine, version }, Duration::ZERO)
    } else {
        (Fault::Replace { engine, version }, ms(rng, DRAIN_MS))
    };
    vec![pause, Planned { at: at + ms(rng, CHANGED_AFTER_MS), lasts, fault }]
}

/// The open connections of some nodes to the store, and of all nodes to some engines, go silent for good.
fn sever(rng: &mut fastrand::Rng, targets: Targets, at: Duration) -> Vec<Planned> {
    let nodes = some_of(rng, targets.nodes, targets.nodes);
    let engines = some_of(rng, targets.engines, targets.engines);
    let of_nodes = nodes.into_iter().map(|node| Fault::SeverStoreLink { node });
    let of_engines = engines.into_iter().map(|engine| Fault::SeverEngineLink { engine });
    let planned = |fault| Planned { at, lasts: Duration::ZERO, fault };
    of_nodes.chain(of_engines).map(planned).collect()
}

/// Between one and `most` of `count` things.
fn some_of(rng: &mut fastrand::Rng, count: usize, most: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    rng.shuffle(&mut all);
    all.truncate(rng.usize(1..=most));
    all
}

fn ms(rng: &mut fastrand::Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}
