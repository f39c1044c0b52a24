//! Retry budget that keeps retries from multiplying load.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that each first attempt adds to the budget.
const EARNED_MILLI: i64 = 100;
/// Thousandths of a retry that one retry takes from the budget.
const COST_MILLI: i64 = 1000;
/// Upper bound on the budget, in thousandths of a retry.
const MAX_MILLI: i64 = 20_000;

/// A token bucket of retries: each ten first attempts pay for one retry, with a small reserve.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance_milli: AtomicI64::new(MAX_MILLI) }
    }
}

impl RetryBudget {
    /// Adds a first attempt to the budget.
    pub fn earn(&self) {
        let before = self.balance_milli.fetch_add(EARNED_MILLI, Ordering::Relaxed);
        if before + EARNED_MILLI > MAX_MILLI {
            self.balance_milli.store(MAX_MILLI, Ordering::Relaxed);
        }
    }

    /// Takes a retry from the budget; false if the budget is exhausted.
    pub fn spend(&self) -> bool {
        let before = self.balance_milli.fetch_sub(COST_MILLI, Ordering::Relaxed);
        if before < COST_MILLI {
            self.balance_milli.fetch_add(COST_MILLI, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Number of whole retries left in the budget.
    pub fn balance(&self) -> i64 {
        self.balance_milli.load(Ordering::Relaxed) / COST_MILLI
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_within_a_tenth_of_first_attempts() {
        let budget = RetryBudget::default();
        let reserve = (0..).take_while(|_| budget.spend()).count();
        assert_eq!(reserve, 20);
        (0..1000).for_each(|_| budget.earn());
        let saved_retries = (0..).take_while(|_| budget.spend()).count();
        assert!(saved_retries <= 20, "the saved budget is capped, got {saved_retries} retries");
        let mut retries = 0;
        for _ in 0..1000 {
            budget.earn();
            retries += u32::from(budget.spend());
        }
        assert!((95..=100).contains(&retries), "{retries} retries for 1000 attempts");
    }
}
