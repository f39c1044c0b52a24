//! A lease whose row another writer overwrites.

use {
    glade_lease::{LeaseAction, LeaseCandidate, LeaseConfig},
    glade_platform::{Key, MemoryTable, Txn, Write},
    glade_types::{Incarnation, VmId},
    std::time::{Duration, Instant},
};

const LEASE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);
/// Values that no candidate has written.
const ODD_VALUES: [&str; 7] = [
    "",
    "null",
    "no lease",
    "{}",
    r#"{"holder":"x","incarnation":1,"epoch":18446744073709551615,"write_id":1}"#,
    r#"{"holder":"x","incarnation":1,"epoch":4294967296,"write_id":1}"#,
    r#"{"holder":"x","incarnation":1,"epoch":18446744073709551616,"write_id":1}"#,
];

fn key() -> Key {
    Key::new("lease/orders")
}

/// A deployment's candidates on one store.
struct Simulation {
    now: Instant,
    store: MemoryTable,
    candidates: Vec<LeaseCandidate>,
    writes: u64,
}

impl Simulation {
    fn new(names: &[&str]) -> Self {
        let now = Instant::now();
        let candidate = |name: &&str| {
            let config = LeaseConfig {
                holder: VmId::new(name),
                incarnation: Incarnation(1),
                duration: LEASE,
                renew_every: LEASE / 5,
                watch_every: LEASE / 8,
                takeover_delay: Duration::ZERO,
                alternation_limit: LEASE,
            };
            LeaseCandidate::new(config, now)
        };
        let candidates = names.iter().map(candidate).collect();
        Self { now, store: MemoryTable::default(), candidates, writes: 0 }
    }

    /// Epochs under which candidates act now.
    fn epochs(&self) -> Vec<u64> {
        self.candidates.iter().filter_map(|candidate| candidate.epoch(self.now)).collect()
    }

    fn overwrite(&mut self, value: &str) {
        let writes = vec![Write::Put { key: key(), value: value.as_bytes().to_vec() }];
        self.store.transact(&Txn { conditions: Vec::new(), writes });
    }

    /// Runs for `time`. At no moment do two candidates hold the lease.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for candidate in &mut self.candidates {
                self.writes += 1;
                match candidate.tick(self.now, self.writes) {
                    Some(LeaseAction::Read) => {
                        candidate.on_read(self.now, Ok(self.store.read(&key()).as_ref()));
                    }
                    Some(LeaseAction::Write { expected, row }) => {
                        let value = serde_json::to_vec(&row).expect("plain structure");
                        let txn = Txn::compare_and_set(key(), expected, value);
                        let answer = self.store.transact(&txn);
                        candidate.on_write(self.now, Ok(&answer));
                    }
                    None => {}
                }
            }
            assert!(self.epochs().len() <= 1, "holders act under {:?}", self.epochs());
        }
    }
}

/// Guards against two holders, and against a holder whose orders engines refuse because its fencing
/// token isn't the highest.
#[test]
fn a_lease_whose_row_is_overwritten_passes_on_with_a_later_epoch() {
    for value in ODD_VALUES {
        let mut simulation = Simulation::new(&["a", "b"]);
        simulation.run(LEASE);
        for round in 0..3 {
            let before = simulation.epochs();
            assert_eq!(before.len(), 1, "{value} {round}");
            simulation.overwrite(value);
            simulation.run(LEASE * 3);
            let after = simulation.epochs();
            assert!(after.len() == 1 && after > before, "{value} {round}: {before:?} {after:?}");
        }
    }
}

/// Guards against a candidate that never acts, because it can't count beyond the row's epoch.
#[test]
fn a_candidate_that_only_knows_an_odd_row_takes_the_lease() {
    for value in ODD_VALUES {
        let mut simulation = Simulation::new(&["a"]);
        simulation.overwrite(value);
        simulation.run(LEASE * 3);
        assert_eq!(simulation.epochs(), [1], "{value}");
    }
}
