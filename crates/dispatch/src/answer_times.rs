//! Recent times to the first byte of one kind of answer: their high quantile, and whether servers are
//! slower than usual.

use {
    hdrhistogram::Histogram,
    std::time::{Duration, Instant},
};

/// Time that one of the two histograms covers. The quantile is that of the last 5 to 10 seconds.
const ROTATION_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a computed quantile is used, because computing one costs more than a decision.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Times that are needed for a quantile; with fewer the 95th percentile rests on one or two of them.
const SAMPLES_MIN: u64 = 60;
/// Quantile after which an answer counts as late. A higher one leaves most of the tail of a server
/// that is slow for a few percent of the requests.
const LATE_QUANTILE: f64 = 0.95;
/// Factor by which the median of recent times exceeds the calm one when all servers are slow. A
/// single slow server among several moves the quantile, but hardly the median.
const SLOW_RATIO: f64 = 2.0;
/// Medians below this don't count as slow, because the scheduling of threads can double them.
const SLOW_MEDIAN_MIN: Duration = Duration::from_millis(10);
/// Fraction of the way to a higher median by which the calm one rises in each rotation, so that
/// servers that stay ten times slower are hedged again after half a minute.
const CALM_RISE: f64 = 0.1;
/// Longest time told apart.
const MAX_TIME_US: u64 = 60_000_000;
/// Significant digits of the histograms: an error of 1% is less than the noise of the times.
const DIGITS: u8 = 2;

/// What recent times say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RecentTimes {
    /// The high quantile.
    pub(crate) late_after: Duration,
    /// Most answers take much longer than usual.
    pub(crate) are_all_slow: bool,
}

/// Times to the first byte of one kind of answer of a service.
#[derive(Debug)]
pub(crate) struct AnswerTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Instant,
    /// Median in calm times, in microseconds.
    calm_us: Option<f64>,
    /// The latest result, and when it was computed.
    computed: Option<(Instant, Option<RecentTimes>)>,
}

impl AnswerTimes {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            current: new_histogram(),
            previous: new_histogram(),
            rotated_at: now,
            calm_us: None,
            computed: None,
        }
    }

    /// Counts an answer that took `time`, or that took longer and was cancelled.
    pub(crate) fn record(&mut self, now: Instant, time: Duration) {
        self.rotate(now);
        let time_us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        self.current.saturating_record(time_us.clamp(1, MAX_TIME_US));
    }

    /// What recent times say; `None` if there are too few.
    pub(crate) fn recent(&mut self, now: Instant) -> Option<RecentTimes> {
        if let Some((at, recent)) = self.computed
            && now.saturating_duration_since(at) < REFRESH_INTERVAL
        {
            return recent;
        }
        self.rotate(now);
        let recent = self.compute();
        self.computed = Some((now, recent));
        recent
    }

    fn compute(&self) -> Option<RecentTimes> {
        if self.current.len() + self.previous.len() < SAMPLES_MIN {
            return None;
        }
        let mut both = self.previous.clone();
        both += &self.current;
        // A slow spell shows first in the current histogram.
        let latest = if self.current.len() < SAMPLES_MIN { &both } else { &self.current };
        let median_us = latest.value_at_quantile(0.5) as f64;
        let calm_us = self.calm_us.unwrap_or(median_us);
        let slow_from_us = (calm_us * SLOW_RATIO).max(SLOW_MEDIAN_MIN.as_micros() as f64);
        Some(RecentTimes {
            late_after: Duration::from_micros(both.value_at_quantile(LATE_QUANTILE)),
            are_all_slow: median_us >= slow_from_us,
        })
    }

    /// Starts another histogram when the current one covers its time.
    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated_at);
        if age < ROTATION_INTERVAL {
            return;
        }
        if self.current.len() >= SAMPLES_MIN {
            let median_us = self.current.value_at_quantile(0.5) as f64;
            let calm_us = self.calm_us.unwrap_or(median_us);
            let risen_us = calm_us + (median_us - calm_us) * CALM_RISE;
            self.calm_us = Some(median_us.min(risen_us));
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= 2 * ROTATION_INTERVAL {
            self.previous.reset();
        }
        self.rotated_at = now;
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_TIME_US, DIGITS).expect("valid bounds")
}
