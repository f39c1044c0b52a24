//! Service-level counts of each row, by minute, for the burn report.

use {
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Length of one bucket.
const BUCKET: Duration = Duration::from_secs(60);
/// Buckets kept: six hours.
const BUCKETS: usize = 360;
/// Share of requests that have to meet their need; the rest is the error budget.
const OBJECTIVE: f64 = 0.95;
/// Windows of the report, in minutes.
const WINDOWS_MIN: [usize; 4] = [5, 30, 60, 360];
/// Parts into which the rows are divided, each with a lock of its own.
const SHARDS: usize = 16;

/// How one request did against its targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sample {
    /// Whether the first token came in time.
    pub(crate) first_token_met: bool,
    /// Whether all gaps between tokens stayed within the target.
    pub(crate) gaps_met: bool,
    /// Whether it was refused.
    pub(crate) refused: bool,
}

/// Counts of one bucket or window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Tally {
    /// All requests, the refused ones included.
    pub(crate) requests: u64,
    /// Served, but the first token was late.
    pub(crate) late_first: u64,
    /// Served, but a gap between tokens was too long.
    pub(crate) late_gap: u64,
    /// Refused.
    pub(crate) refused: u64,
}

impl Tally {
    fn count(&mut self, sample: Sample) {
        self.requests += 1;
        self.refused += u64::from(sample.refused);
        self.late_first += u64::from(!sample.refused && !sample.first_token_met);
        self.late_gap += u64::from(!sample.refused && !sample.gaps_met);
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.late_first += other.late_first;
        self.late_gap += other.late_gap;
        self.refused += other.refused;
    }

    /// Rate at which `bad` of all requests uses up the error budget; 1 uses it up exactly.
    fn burn(&self, bad: u64) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        bad as f64 / self.requests as f64 / (1.0 - OBJECTIVE)
    }
}

/// Counts of one row over one window.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WindowReport {
    /// Length of the window, in minutes.
    pub(crate) window_min: usize,
    /// The counts.
    pub(crate) tally: Tally,
}

/// Windows by row.
pub(crate) type BurnReport = BTreeMap<String, Vec<WindowReport>>;

#[derive(Debug, Default)]
struct Row {
    /// Buckets from the oldest to the newest, each with its number since the process started.
    buckets: VecDeque<(u64, Tally)>,
}

/// Counts of all rows on this VM.
#[derive(Debug)]
pub(crate) struct BurnBook {
    started_at: Instant,
    shards: [Mutex<HashMap<ModelName, Row>>; SHARDS],
}

impl BurnBook {
    /// Returns a book without counts, whose first bucket begins at `started_at`.
    pub(crate) fn new(started_at: Instant) -> Self {
        Self { started_at, shards: Default::default() }
    }

    /// Counts one request.
    pub(crate) fn record(&self, now: Instant, model: &ModelName, sample: Sample) {
        let bucket = self.bucket(now);
        let shard = glade_types::stable_hash(model.as_str().as_bytes()) as usize % SHARDS;
        let mut rows = self.shards[shard].lock().unwrap_or_else(PoisonError::into_inner);
        let row = match rows.get_mut(model) {
            Some(row) => row,
            None => rows.entry(model.clone()).or_default(),
        };
        if row.buckets.back().is_none_or(|(number, _)| *number != bucket) {
            row.buckets.push_back((bucket, Tally::default()));
        }
        if row.buckets.len() > BUCKETS {
            row.buckets.pop_front();
        }
        if let Some((_, tally)) = row.buckets.back_mut() {
            tally.count(sample);
        }
    }

    /// The windows of all rows.
    pub(crate) fn report(&self, now: Instant) -> BurnReport {
        let newest = self.bucket(now);
        let mut report = BurnReport::new();
        for shard in &self.shards {
            let rows = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (model, row) in rows.iter() {
                let windows = WINDOWS_MIN.map(|window_min| row.window(newest, window_min));
                report.insert(model.to_string(), windows.to_vec());
            }
        }
        report
    }

    fn bucket(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_secs() / BUCKET.as_secs()
    }
}

impl Row {
    fn window(&self, newest: u64, window_min: usize) -> WindowReport {
        let oldest = (newest + 1).saturating_sub(window_min as u64);
        let mut tally = Tally::default();
        let in_window = self.buckets.iter().filter(|(number, _)| *number >= oldest);
        in_window.for_each(|(_, bucket)| tally.add(bucket));
        WindowReport { window_min, tally }
    }
}

/// One line of the merged report.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct BurnLine {
    /// The row.
    pub(crate) model: String,
    /// Length of the window, in minutes.
    pub(crate) window_min: usize,
    /// Requests in the window.
    pub(crate) requests: u64,
    /// Share of the window's error budget that is left; negative if overspent.
    pub(crate) budget_left: f64,
    /// Burn rate of late first tokens.
    pub(crate) first_token_burn: f64,
    /// Burn rate of late tokens.
    pub(crate) between_tokens_burn: f64,
    /// Burn rate of refusals.
    pub(crate) refusal_burn: f64,
}

/// Adds `other` into `report`.
pub(crate) fn merge(report: &mut BurnReport, other: BurnReport) {
    for (model, windows) in other {
        let mine = report.entry(model).or_default();
        for window in windows {
            match mine.iter_mut().find(|known| known.window_min == window.window_min) {
                Some(known) => known.tally.add(&window.tally),
                None => mine.push(window),
            }
        }
    }
}

/// The report as lines, rows in order of their names.
pub(crate) fn lines(report: &BurnReport) -> Vec<BurnLine> {
    let line = |(model, window): (&String, &WindowReport)| {
        let tally = &window.tally;
        let bad = tally.late_first + tally.refused;
        BurnLine {
            model: model.clone(),
            window_min: window.window_min,
            requests: tally.requests,
            budget_left: 1.0 - tally.burn(bad),
            first_token_burn: tally.burn(tally.late_first),
            between_tokens_burn: tally.burn(tally.late_gap),
            refusal_burn: tally.burn(tally.refused),
        }
    };
    report
        .iter()
        .flat_map(|(model, windows)| windows.iter().map(move |window| (model, window)))
        .map(line)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const MET: Sample = Sample { first_token_met: true, gaps_met: true, refused: false };
    const LATE: Sample = Sample { first_token_met: false, gaps_met: true, refused: false };

    #[test]
    fn burn_rates_are_shares_of_the_budget_within_the_window() {
        let (book, model) = (BurnBook::new(Instant::now()), ModelName::new("m"));
        let start = book.started_at;
        (0..90).for_each(|_| book.record(start, &model, MET));
        (0..10).for_each(|_| book.record(start, &model, LATE));
        let now_lines = lines(&book.report(start));
        assert_eq!(now_lines[0].requests, 100);
        assert!((now_lines[0].first_token_burn - 2.0).abs() < 1e-9);
        assert!((now_lines[0].budget_left + 1.0).abs() < 1e-9);
        let later = lines(&book.report(start + Duration::from_secs(600)));
        assert_eq!((later[0].requests, later[1].requests), (0, 100));
    }

    #[test]
    fn reports_of_several_vms_add_up() {
        let (now, model) = (Instant::now(), ModelName::new("m"));
        let (a, b) = (BurnBook::new(now), BurnBook::new(now));
        a.record(a.started_at, &model, MET);
        b.record(b.started_at, &model, LATE);
        let mut merged = a.report(a.started_at);
        merge(&mut merged, b.report(b.started_at));
        assert_eq!(lines(&merged)[0].requests, 2);
    }
}
