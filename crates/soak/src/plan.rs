//! Which faults come when, by a seed.

use {
    crate::{
        oddities::{OddKey, OddValue},
        proxy::Link,
    },
    glade_standins::site::{EngineFault, RowFault, StoreFault},
    std::time::Duration,
};

/// Longest time that a fault lasts.
const LASTS_MS_MAX: u64 = 3000;
/// Shortest time that a fault lasts.
const LASTS_MS_MIN: u64 = 200;

/// Longest time for which a server keeps a request, or one who asks for a place, before it answers.
const LATE_MS_MAX: u64 = 1500;
/// Events of a stream before one of which a server pauses.
const PAUSE_EVENTS: u64 = 12;

/// Mean time from one restore of the store to the copy for the next.
const RESTORE_GAP: Duration = Duration::from_secs(3);

/// Something that is done to the system from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and started again afterwards.
    Kill {
        /// The node.
        node: usize,
    },
    /// A node is told to end and is started again once it has.
    Terminate {
        /// The node.
        node: usize,
    },
    /// A node stands still.
    Pause {
        /// The node.
        node: usize,
    },
    /// A node is told to read its settings again.
    Reload {
        /// The node.
        node: usize,
    },
    /// A node's way to the store is spoilt.
    StoreLink {
        /// The node.
        node: usize,
        /// How.
        link: Link,
    },
    /// All nodes' way to an engine is spoilt.
    EngineLink {
        /// The engine.
        engine: usize,
        /// How.
        link: Link,
    },
    /// The store misbehaves.
    Store(StoreFault),
    /// An engine misbehaves.
    Engine {
        /// The engine.
        engine: usize,
        /// How.
        fault: EngineFault,
    },
    /// A plain server misbehaves.
    Plain {
        /// The server.
        server: usize,
        /// How.
        fault: EngineFault,
    },
    /// An engine stalls: it finishes what it runs, but pauses, or doesn't take what it seemed to take.
    EngineStall {
        /// The engine.
        engine: usize,
        /// How.
        fault: EngineFault,
    },
    /// A plain server stalls.
    PlainStall {
        /// The server.
        server: usize,
        /// How.
        fault: EngineFault,
    },
    /// The operator writes the configuration anew.
    Configuration,
    /// A node is told to end, and is started again as soon as it has ended.
    Restart {
        /// The node.
        node: usize,
    },
    /// A node's settings file is changed, and the node is told to read it.
    ReloadChanged {
        /// The node.
        node: usize,
    },
    /// Another writer leaves an odd entry in the registry.
    OddEntry {
        /// Its key.
        key: OddKey,
        /// Its value.
        value: OddValue,
    },
    /// The store garbles the row of an engine in its answers.
    Row {
        /// The engine.
        engine: usize,
        /// How.
        fault: RowFault,
    },
    /// The store garbles the row of the configuration in its answers.
    ConfigurationRow(RowFault),
    /// An engine with another version of its software takes the place of one, which leaves.
    Replace {
        /// The engine.
        engine: usize,
        /// Number of the version.
        version: u32,
    },
    /// An engine starts again under its name with another version of its software.
    Upgrade {
        /// The engine.
        engine: usize,
        /// Number of the version.
        version: u32,
    },
    /// The entry of a plain server is removed, and the server serves on.
    Removal {
        /// The server.
        server: usize,
    },
    /// A node's open connections to the store go silent for good; new ones work.
    SeverStoreLink {
        /// The node.
        node: usize,
    },
    /// All nodes' open connections to an engine go silent for good; new ones work.
    SeverEngineLink {
        /// The engine.
        engine: usize,
    },
    /// A copy of the store is made, and the store goes back to it at the end.
    Restore,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Time from the start to its beginning.
    pub at: Duration,
    /// Time from its beginning to its end.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Sizes of what faults may hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Targets {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Plain servers.
    pub plain: usize,
}

/// Draws faults for `time`, about one in `gap` at a time; they overlap.
pub fn plan(
    rng: &mut fastrand::Rng,
    targets: Targets,
    time: Duration,
    gap: Duration,
) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        at += gap.mul_f64(rng.f64() * 2.0);
        if at >= time {
            return planned;
        }
        let lasts = Duration::from_millis(rng.u64(LASTS_MS_MIN..LASTS_MS_MAX));
        planned.push(Planned { at, lasts, fault: draw(rng, targets) });
    }
}

/// Draws restores of the store for `time`, each of which goes back to a copy of its own.
pub fn plan_restores(rng: &mut fastrand::Rng, time: Duration) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        at += RESTORE_GAP.mul_f64(0.2 + rng.f64());
        let lasts = Duration::from_millis(rng.u64(LASTS_MS_MIN..LASTS_MS_MAX));
        if at + lasts >= time {
            return planned;
        }
        planned.push(Planned { at, lasts, fault: Fault::Restore });
        at += lasts;
    }
}

/// Stalls of servers that are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stalls {
    /// Mean time between the beginnings of two.
    pub gap: Duration,
    /// Whether engines reject requests for which they keep a place.
    pub reject_reserved: bool,
}

/// Draws stalls of servers for `time`; they overlap.
pub fn plan_stalls(
    rng: &mut fastrand::Rng,
    targets: Targets,
    time: Duration,
    stalls: Stalls,
) -> Vec<Planned> {
    let mut at = Duration::ZERO;
    let mut planned = Vec::new();
    loop {
        at += stalls.gap.mul_f64(rng.f64() * 2.0);
        if at >= time {
            return planned;
        }
        let lasts = Duration::from_millis(rng.u64(LASTS_MS_MIN..LASTS_MS_MAX));
        planned.push(Planned { at, lasts, fault: draw_stall(rng, targets, stalls) });
    }
}

fn draw(rng: &mut fastrand::Rng, targets: Targets) -> Fault {
    let node = rng.usize(0..targets.nodes);
    let engine = rng.usize(0..targets.engines);
    let server = rng.usize(0..targets.plain);
    match rng.u8(0..10) {
        0 => Fault::Kill { node },
        1 => Fault::Terminate { node },
        2 => Fault::Pause { node },
        3 => Fault::Reload { node },
        4 => Fault::StoreLink { node, link: link(rng) },
        5 => Fault::EngineLink { engine, link: link(rng) },
        6 => Fault::Store(*pick(
            rng,
            &[StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::AnswersLost],
        )),
        7 => Fault::Engine { engine, fault: engine_fault(rng) },
        8 => Fault::Plain { server, fault: engine_fault(rng) },
        _ => Fault::Configuration,
    }
}

fn link(rng: &mut fastrand::Rng) -> Link {
    let delay = Duration::from_millis(rng.u64(5..400));
    *pick(
        rng,
        &[Link::Delayed(delay), Link::Reset, Link::DeafCallers, Link::DeafServer, Link::Silent],
    )
}

fn engine_fault(rng: &mut fastrand::Rng) -> EngineFault {
    let breaks = EngineFault::BreaksAfter(rng.u64(0..8));
    *pick(
        rng,
        &[
            breaks,
            EngineFault::Hangs,
            EngineFault::Rejects,
            EngineFault::Fails,
            EngineFault::Crosses,
        ],
    )
}

fn draw_stall(rng: &mut fastrand::Rng, targets: Targets, stalls: Stalls) -> Fault {
    let engine = rng.usize(0..targets.engines);
    let server = rng.usize(0..targets.plain);
    let pauses = EngineFault::PausesAfter(rng.u64(0..PAUSE_EVENTS));
    let late = Duration::from_millis(rng.u64(0..LATE_MS_MAX));
    let rejects_late = EngineFault::RejectsAfter(late);
    let rejects_reserved =
        if stalls.reject_reserved { EngineFault::RejectsReservedAfter(late) } else { rejects_late };
    let fault = *pick(
        rng,
        &[
            pauses,
            EngineFault::PausesAfter(0),
            rejects_late,
            rejects_reserved,
            EngineFault::ReservesAfter(late),
            EngineFault::ReservesAfter(Duration::MAX),
        ],
    );
    match rng.u8(0..5) {
        0 => Fault::PlainStall { server, fault },
        _ => Fault::EngineStall { engine, fault },
    }
}

fn pick<'a, T>(rng: &mut fastrand::Rng, from: &'a [T]) -> &'a T {
    &from[rng.usize(0..from.len())]
}
