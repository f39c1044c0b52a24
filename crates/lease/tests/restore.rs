//! Restores of the store from a copy that is some seconds old, at any point of a lease's life.

use {
    glade_lease::{LeaseAction, LeaseCandidate, LeaseConfig, LeaseRow},
    glade_platform::{Era, Key, MemoryTable, Revision, StoreError, StoredRow, Txn, TxnAnswer},
    glade_types::{Incarnation, VmId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const LEASE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);

/// A store whose revision numbers continue from those of the copy after a restore.
struct Store {
    table: MemoryTable,
    snapshots: Vec<MemoryTable>,
    era: Era,
}

impl Store {
    fn new() -> Self {
        Self { table: MemoryTable::default(), snapshots: Vec::new(), era: Era(1) }
    }

    /// Restores the store from the copy that is `steps` steps old.
    fn restore(&mut self, steps: usize) {
        self.table = self.snapshots[self.snapshots.len().saturating_sub(steps + 1)].clone();
        self.era.0 += 1;
    }

    fn in_current_era(&self, row: StoredRow) -> StoredRow {
        StoredRow { revision: Revision::in_era(self.era, row.revision.number), ..row }
    }

    fn perform(&mut self, candidate: &mut LeaseCandidate, now: Instant, action: LeaseAction) {
        let key = Key::new("lease/orders");
        match action {
            LeaseAction::Read => {
                let row = self.table.read(&key).map(|row| self.in_current_era(row));
                candidate.on_era(now, self.era);
                candidate.on_read(now, Ok(row.as_ref()));
            }
            LeaseAction::Write { expected, row } => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let expected = Revision::new(expected.number);
                let answer = self.table.transact(&Txn::compare_and_set(key, expected, value));
                let answer = match answer {
                    TxnAnswer::Committed(at) => {
                        TxnAnswer::Committed(Revision::in_era(self.era, at.number))
                    }
                    TxnAnswer::Conflict(rows) => TxnAnswer::Conflict(
                        rows.into_iter().map(|row| self.in_current_era(row)).collect(),
                    ),
                };
                candidate.on_write(now, Ok(&answer));
            }
        }
    }
}

fn candidate(name: &str, takeover_delay: Duration, now: Instant) -> LeaseCandidate {
    let config = LeaseConfig {
        holder: VmId::new(name),
        incarnation: Incarnation(1),
        duration: LEASE,
        renew_every: LEASE / 5,
        watch_every: LEASE / 5,
        takeover_delay,
        alternation_limit: LEASE,
    };
    LeaseCandidate::new(config, now)
}

/// The steps during which the first holder is cut off from the store, and the restores of the
/// store: their step, and the age of the copy in steps.
struct Scenario {
    cut_off: std::ops::Range<usize>,
    restores: [(usize, usize); 2],
}

/// Runs three candidates. Checks that at most one acts at a time, that no epoch is used by two
/// candidates and that epochs never go back.
fn run(scenario: &Scenario) -> Result<(), String> {
    let start = Instant::now();
    let mut store = Store::new();
    let mut candidates: Vec<LeaseCandidate> = ["a", "b", "c"]
        .into_iter()
        .zip(0..)
        .map(|(name, rank)| candidate(name, Duration::from_millis(200) * rank, start))
        .collect();
    let mut holder_by_epoch: HashMap<u64, usize> = HashMap::new();
    let mut highest = 0;
    let lost = StoreError::Unknown { reason: "no answer".to_owned() };
    for step in 0..1500 {
        let now = start + STEP * step as u32;
        store.snapshots.push(store.table.clone());
        for (at, age) in scenario.restores {
            if step == at {
                store.restore(age);
            }
        }
        for (position, candidate) in candidates.iter_mut().enumerate() {
            let Some(action) = candidate.tick(now, (step * 3 + position) as u64) else { continue };
            let is_cut_off = position == 0 && scenario.cut_off.contains(&step);
            match action {
                LeaseAction::Read if is_cut_off => candidate.on_read(now, Err(&lost)),
                LeaseAction::Write { .. } if is_cut_off => candidate.on_write(now, Err(&lost)),
                action => store.perform(candidate, now, action),
            }
        }
        let acting: Vec<(usize, u64)> = candidates
            .iter()
            .enumerate()
            .filter_map(|(position, candidate)| Some((position, candidate.epoch(now)?)))
            .collect();
        if acting.len() > 1 {
            return Err(format!("two holders at step {step}: {acting:?}"));
        }
        for (position, epoch) in acting {
            if *holder_by_epoch.entry(epoch).or_insert(position) != position {
                return Err(format!("epoch {epoch} is used twice, at step {step}"));
            }
            if epoch < highest {
                return Err(format!("epoch {epoch} after {highest}, at step {step}"));
            }
            highest = epoch;
        }
    }
    let has_holder =
        candidates.iter().any(|candidate| candidate.epoch(start + STEP * 1499).is_some());
    if has_holder { Ok(()) } else { Err("there is no holder at the end".to_owned()) }
}

#[test]
fn there_is_one_holder_at_a_time_and_epochs_rise_whenever_the_store_is_restored() {
    for restore_at in (5..620).step_by(15) {
        for age in [0, 3, 30, 120, 400] {
            let scenario =
                Scenario { cut_off: 0..0, restores: [(restore_at, age), (usize::MAX, 0)] };
            assert_eq!(run(&scenario), Ok(()), "restored at {restore_at}, copy {age}");
        }
    }
}

#[test]
fn there_is_one_holder_at_a_time_if_the_store_is_restored_around_a_takeover() {
    for restore_at in (205..560).step_by(10) {
        for age in [3, 60, 150, 300] {
            for cut_off_steps in [190, 260] {
                let restores = [(restore_at, age), (restore_at + 130, 80)];
                let scenario = Scenario { cut_off: 200..200 + cut_off_steps, restores };
                let description =
                    format!("restored at {restore_at}, copy {age}, cut off for {cut_off_steps}");
                assert_eq!(run(&scenario), Ok(()), "{description}");
            }
        }
    }
}

/// The holder itself need not wait, because nobody else can have taken over from it.
#[test]
fn the_holder_continues_at_once_with_a_later_epoch_after_a_restore() {
    let start = Instant::now();
    let mut store = Store::new();
    let mut holder = candidate("a", Duration::ZERO, start);
    let mut epochs = Vec::new();
    for step in 0..200_usize {
        let now = start + STEP * step as u32;
        store.snapshots.push(store.table.clone());
        if step == 100 {
            store.restore(30);
        }
        if let Some(action) = holder.tick(now, step as u64) {
            store.perform(&mut holder, now, action);
        }
        epochs.push(holder.epoch(now));
    }
    let (before, after) = (
        epochs[99].expect("the candidate holds the lease"),
        epochs[199].expect("the candidate holds the lease again"),
    );
    assert!(after > before, "{before} and {after}");
    let steps_without_holder = epochs[100..].iter().filter(|epoch| epoch.is_none()).count();
    assert!(steps_without_holder <= 4, "{steps_without_holder} steps without a holder");
}

#[test]
fn a_write_that_is_made_after_a_restore_gives_no_lease_term() {
    let start = Instant::now();
    let mut store = Store::new();
    let mut candidate = candidate("a", Duration::ZERO, start);
    let read = candidate.tick(start, 1).expect("a read");
    store.perform(&mut candidate, start, read);
    let write = candidate.tick(start + STEP, 2).expect("a write");
    store.snapshots.push(store.table.clone());
    store.restore(0);
    store.perform(&mut candidate, start + STEP, write);
    assert_eq!(candidate.epoch(start + STEP), None);
}

#[test]
fn epochs_of_an_era_are_higher_than_those_of_earlier_eras() {
    let row = |epoch| LeaseRow {
        holder: VmId::new("a"),
        incarnation: Incarnation(1),
        epoch,
        write_id: 1,
        released: false,
        era: Era(1),
        predecessors: None,
    };
    let latest = LeaseRow::next_epoch(Some(&row((1 << 32) + 900)), Era(1));
    let restored = LeaseRow::next_epoch(Some(&row((1 << 32) + 3)), Era(2));
    assert!(restored > latest);
    assert_eq!(LeaseRow::next_epoch(None, Era(0)), 1, "without a known era, epochs begin at one");
}
