//! A table service with faults.

use {
    crate::counts::FaultCounts,
    fastrand::Rng,
    glade_platform::{MemoryTable, StoreError},
    std::time::Duration,
};

/// Time after which a client gives up on an answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time after which a write whose answer was lost still takes effect.
const LATEST_EFFECT_MS: u64 = 30_000;

/// What a world has to schedule for one operation.
#[derive(Clone, Debug)]
pub(crate) enum StoreEvent {
    /// The client gets this error.
    Fails { after: Duration, error: StoreError },
    /// The operation takes effect; its answer comes after a further time, or never.
    TakesEffect { after: Duration, answer_after: Option<Duration> },
}

/// What happens to one operation.
#[derive(Clone, Copy, Debug)]
enum StoreFate {
    /// It is refused before it leaves.
    NotSent,
    /// It takes effect after `effect` and is answered after `answer`.
    Answered { effect: Duration, answer: Duration },
    /// It takes effect after `effect`, and no answer comes.
    AnswerLost { effect: Duration },
    /// It never arrives, and no answer comes.
    RequestLost,
}

/// The store's state with its present faults.
#[derive(Debug, Default)]
pub(crate) struct FaultyStore {
    pub(crate) table: MemoryTable,
    /// Refuses everything.
    pub(crate) down: bool,
    /// Longest time of an operation, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Share of operations that are lost one way or the other, in percent.
    pub(crate) loss_percent: u8,
}

impl FaultyStore {
    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        (self.down, self.slow_ms, self.loss_percent) = (false, 0, 0);
    }

    /// Draws what happens to one operation.
    pub(crate) fn events(&self, rng: &mut Rng, counts: &mut FaultCounts) -> Vec<StoreEvent> {
        let no_answer = StoreEvent::Fails { after: STORE_TIMEOUT, error: no_answer() };
        match self.fate(rng, counts) {
            StoreFate::NotSent => {
                let error = StoreError::NotSent { reason: "down".to_owned() };
                vec![StoreEvent::Fails { after: Duration::from_millis(1), error }]
            }
            StoreFate::RequestLost => vec![no_answer],
            StoreFate::AnswerLost { effect } => {
                vec![no_answer, StoreEvent::TakesEffect { after: effect, answer_after: None }]
            }
            StoreFate::Answered { effect, answer } => {
                let answer_after = Some(answer - effect);
                vec![StoreEvent::TakesEffect { after: effect, answer_after }]
            }
        }
    }

    /// Draws the fate of one operation.
    fn fate(&self, rng: &mut Rng, counts: &mut FaultCounts) -> StoreFate {
        if self.down {
            counts.add("store down");
            return StoreFate::NotSent;
        }
        let effect = Duration::from_millis(1 + rng.u64(0..=self.slow_ms));
        if rng.u8(0..100) >= self.loss_percent {
            if self.slow_ms > 0 {
                counts.add("store slow");
            }
            let answer = effect + Duration::from_millis(1 + rng.u64(0..=self.slow_ms));
            if answer < STORE_TIMEOUT {
                return StoreFate::Answered { effect, answer };
            }
            counts.add("store answer late");
            return StoreFate::AnswerLost { effect };
        }
        match rng.u8(0..4) {
            0 => {
                counts.add("store request lost");
                StoreFate::RequestLost
            }
            1 => {
                counts.add("store write late");
                let late = Duration::from_millis(rng.u64(0..LATEST_EFFECT_MS));
                StoreFate::AnswerLost { effect: STORE_TIMEOUT + late }
            }
            _ => {
                counts.add("store answer lost");
                StoreFate::AnswerLost { effect }
            }
        }
    }
}

/// The error of an operation without an answer.
pub(crate) fn no_answer() -> StoreError {
    StoreError::Unknown { reason: "no answer".to_owned() }
}
