//! A table service with faults.

use {
    crate::counts::FaultCounts,
    fastrand::Rng,
    glade_platform::{MemoryTable, StoreError},
    std::time::Duration,
};

/// Time after which a client gives up on an answer.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time after which a write whose answer was lost still takes effect.
const LATEST_EFFECT_MS: u64 = 30_000;

/// What happens to one operation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreFate {
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

    /// Draws the fate of one operation.
    pub(crate) fn fate(&self, rng: &mut Rng, counts: &mut FaultCounts) -> StoreFate {
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

/// The error of an operation that didn't leave.
pub(crate) fn not_sent() -> StoreError {
    StoreError::NotSent { reason: "down".to_owned() }
}
