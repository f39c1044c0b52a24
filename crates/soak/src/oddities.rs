//! Odd rows that other writers leave in the store, and engines that repeat earlier answers.

use {
    crate::plan::{Fault, Planned, Targets},
    glade_standins::site::{EarlierAnswer, EngineFault, ODD_KEYS, RepeatedAt, RowFault},
    std::{ops::Range, time::Duration},
};

/// How long one lasts, in milliseconds.
const LASTS_MS: Range<u64> = 500..4000;
/// Engines that spoil resumed streams at a time.
const SPOILING_ENGINES: Range<usize> = 2..4;
/// Events after which they break streams off.
const EVENTS_BEFORE_BREAK: Range<u64> = 1..11;
/// What they send in place of the rest of a stream.
const SPOILED_TEXTS: [&str; 4] = [
    "",
    "\n\n",
    "data: {\"error\":\"no such stream\"}\n\n",
    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror",
];
/// Statuses of refusals.
const REFUSALS: [u16; 3] = [503, 429, 421];

/// Key in the registry of an odd entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddKey {
    /// One of its own.
    Own,
    /// One that names no server, by its position among [`ODD_KEYS`].
    Nameless(usize),
    /// That of a sound engine, whose entry is gone meanwhile.
    Engine(usize),
}

/// Value of an odd entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddValue {
    /// By its position among all, counted round.
    Odd(usize),
    /// The entry of a sound engine.
    Engine(usize),
}

/// Draws oddities for `time`, about one in `gap` at a time; they overlap.
pub fn plan_oddities(
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
        let lasts = Duration::from_millis(rng.u64(LASTS_MS));
        planned.push(Planned { at, lasts, fault: draw(rng, targets) });
    }
}

/// Draws engines that break streams off and spoil those that they are to resume, several at a time, for
/// `time`.
pub fn plan_spoiled_streams(
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
        let lasts = Duration::from_millis(rng.u64(LASTS_MS));
        let text = SPOILED_TEXTS[rng.usize(0..SPOILED_TEXTS.len())];
        let (first, engines) = (rng.usize(0..targets.engines), rng.usize(SPOILING_ENGINES));
        let events = rng.u64(EVENTS_BEFORE_BREAK);
        planned.extend((0..engines).map(|number| Planned {
            at,
            lasts,
            fault: Fault::Engine {
                engine: (first + number) % targets.engines,
                fault: EngineFault::SpoilsResumed { events, text },
            },
        }));
    }
}

fn draw(rng: &mut fastrand::Rng, targets: Targets) -> Fault {
    let engine = rng.usize(0..targets.engines);
    let server = rng.usize(0..targets.plain);
    match rng.u8(0..8) {
        0..3 => Fault::OddEntry { key: key(rng, engine), value: value(rng, targets) },
        3 => Fault::Row { engine, fault: row_fault(rng) },
        4 => Fault::ConfigurationRow(row_fault(rng)),
        5 => Fault::Plain { server, fault: repeats(rng) },
        _ => Fault::Engine { engine, fault: repeats(rng) },
    }
}

fn key(rng: &mut fastrand::Rng, engine: usize) -> OddKey {
    match rng.u8(0..4) {
        0 => OddKey::Engine(engine),
        1 => OddKey::Nameless(rng.usize(0..ODD_KEYS.len())),
        _ => OddKey::Own,
    }
}

fn value(rng: &mut fastrand::Rng, targets: Targets) -> OddValue {
    match rng.u8(0..5) {
        0 => OddValue::Engine(rng.usize(0..targets.engines)),
        _ => OddValue::Odd(usize::from(rng.u8(..))),
    }
}

fn row_fault(rng: &mut fastrand::Rng) -> RowFault {
    RowFault::ALL[rng.usize(0..RowFault::ALL.len())]
}

fn repeats(rng: &mut fastrand::Rng) -> EngineFault {
    EngineFault::RepeatsAnswer(EarlierAnswer {
        status: REFUSALS[rng.usize(0..REFUSALS.len())],
        not_run: rng.bool(),
        names_request: rng.bool(),
        at: if rng.bool() { RepeatedAt::NextRequest } else { RepeatedAt::Idle },
    })
}
