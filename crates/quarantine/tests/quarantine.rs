//! How quarantined combinations of parts are merged, narrowed, tried and lifted.

use {
    glade_quarantine::{Attribution, Entry, EntryUpdate, Quarantine},
    std::time::{Duration, Instant},
};

const KEY: u64 = 3;

fn attribution(parts: &[u64]) -> Attribution {
    Attribution { parts: parts.to_vec(), crashes: 3 }
}

fn with(now: Instant, parts: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.add(now, &attribution(parts));
    quarantine
}

/// Brings `to` up to date with `from`.
fn sync(now: Instant, from: &Quarantine, to: &mut Quarantine) {
    from.updates(now).iter().for_each(|update| {
        to.merge(now, update);
    });
}

#[test]
fn only_requests_with_all_parts_of_a_combination_are_blocked() {
    let quarantine = with(Instant::now(), &[1, KEY]);
    assert!(quarantine.blocks(&[1, 2, KEY]));
    assert!(!quarantine.blocks(&[1, 2]));
    assert!(!quarantine.blocks(&[KEY]));
    assert!(!quarantine.blocks(&[]));
}

#[test]
fn an_answer_to_a_request_with_some_of_the_parts_leaves_the_others_blocked() {
    let now = Instant::now();
    let mut quarantine = with(now, &[1, 2, KEY]);
    assert!(quarantine.on_served(now, &[1, 2]));
    assert!(quarantine.blocks(&[7, KEY]));
    let mut quarantine = with(now, &[1, 2, KEY]);
    assert!(quarantine.on_served(now, &[1, KEY]));
    assert!(quarantine.blocks(&[2]));
    assert!(!quarantine.blocks(&[1, KEY]));
}

#[test]
fn an_answer_lifts_the_quarantine_at_once_and_everywhere() {
    let now = Instant::now();
    let mut one = with(now, &[KEY]);
    let mut other = Quarantine::default();
    sync(now, &one, &mut other);
    assert!(other.blocks(&[KEY]));
    assert!(one.on_served(now, &[KEY]));
    assert!(!one.blocks(&[KEY]));
    sync(now, &other, &mut one);
    sync(now, &one, &mut other);
    assert!(!one.blocks(&[KEY]) && !other.blocks(&[KEY]));
}

#[test]
fn a_part_that_crashes_engines_again_is_blocked_again() {
    let now = Instant::now();
    let mut one = with(now, &[KEY]);
    let mut other = Quarantine::default();
    one.on_served(now, &[KEY]);
    sync(now, &one, &mut other);
    other.add(now, &attribution(&[KEY]));
    sync(now, &one, &mut other);
    sync(now, &other, &mut one);
    assert!(one.blocks(&[KEY]) && other.blocks(&[KEY]));
}

#[test]
fn nodes_agree_whatever_the_order_in_which_they_hear_of_changes() {
    let now = Instant::now();
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut nodes = vec![Quarantine::default(); 4];
        for _ in 0..20 {
            let at = rng.usize(0..nodes.len());
            match rng.u8(0..4) {
                0 => nodes[at].add(now, &attribution(&[1, 2, KEY][rng.usize(0..3)..])),
                1 => drop(nodes[at].on_served(now, &[rng.u64(1..=KEY)])),
                2 => drop(nodes[at].begin_trial(now, KEY, rng.u32(0..3))),
                _ => {
                    let from = nodes[rng.usize(0..nodes.len())].clone();
                    sync(now, &from, &mut nodes[at]);
                }
            }
        }
        for _ in 0..2 {
            for from in 0..nodes.len() {
                let from = nodes[from].clone();
                nodes.iter_mut().for_each(|to| sync(now, &from, to));
            }
        }
        let entries = |node: &Quarantine| node.entries().cloned().collect::<Vec<Entry>>();
        let first = entries(&nodes[0]);
        assert!(nodes.iter().all(|node| entries(node) == first), "seed {seed}: {nodes:?}");
    }
}

#[test]
fn trials_become_rare_while_the_parts_crash_engines() {
    let began = Instant::now();
    let mut quarantine = with(began, &[KEY]);
    let mut started = Vec::new();
    for second in 0..400 {
        let now = began + Duration::from_secs(second);
        let trials = quarantine.due_trial(now, KEY).map(|entry| entry.trials);
        if let Some(trials) = trials {
            assert!(quarantine.begin_trial(now, KEY, trials));
            started.push(second);
        }
    }
    assert_eq!(started, [15, 75, 315]);
}

#[test]
fn a_request_that_crashes_servers_is_no_trial_of_a_sound_part_that_it_has_too() {
    let began = Instant::now();
    let mut quarantine = with(began, &[1]);
    quarantine.add(began + Duration::from_secs(3), &attribution(&[KEY]));
    let view = quarantine.view(std::iter::empty());
    let key = |parts: &[u64]| view.find(|| parts).map(|blocked| blocked.key);
    assert_eq!(key(&[1, KEY]), Some(KEY));
    assert_eq!(key(&[KEY, 1]), Some(KEY));
    assert_eq!(key(&[1]), Some(1));
}

#[test]
fn a_trial_that_another_node_has_started_isnt_started_again() {
    let began = Instant::now();
    let mut one = with(began, &[KEY]);
    let mut other = Quarantine::default();
    sync(began, &one, &mut other);
    let now = began + Duration::from_secs(16);
    assert!(other.due_trial(now, KEY).is_some());
    assert!(one.begin_trial(now, KEY, 0));
    sync(now, &one, &mut other);
    assert!(other.due_trial(now, KEY).is_none());
}

#[test]
fn a_claimed_trial_is_started_though_the_claim_was_heard_of_before() {
    let began = Instant::now();
    let mut quarantine = with(began, &[KEY]);
    let now = began + Duration::from_secs(16);
    let claimed = Entry { trials: 1, ..quarantine.entries().next().expect("an entry").clone() };
    assert!(quarantine.restore(now, claimed));
    assert!(quarantine.begin_trial(now, KEY, 0));
}

#[test]
fn a_restored_entry_is_blocked_and_waits_for_its_trial() {
    let now = Instant::now();
    let entry = Entry { parts: vec![KEY], generation: 1, is_lifted: false, crashes: 5, trials: 1 };
    let mut quarantine = Quarantine::default();
    assert!(quarantine.restore(now, entry));
    assert!(quarantine.blocks(&[KEY]));
    assert!(quarantine.due_trial(now + Duration::from_secs(59), KEY).is_none());
    assert!(quarantine.due_trial(now + Duration::from_secs(61), KEY).is_some());
}

#[test]
fn the_number_of_entries_is_bounded() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for key in 0..10_000 {
        let at = now + Duration::from_millis(key);
        quarantine.add(at, &attribution(&[key]));
        quarantine.on_served(at, &[key / 2]);
    }
    assert!(quarantine.entries().count() <= 64);
    assert!(quarantine.blocks(&[9_999]));
}

#[test]
fn an_entry_without_parts_blocks_nothing() {
    let now = Instant::now();
    let entry = Entry { parts: Vec::new(), generation: 1, is_lifted: false, crashes: 0, trials: 0 };
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.merge(now, &EntryUpdate { entry, trial_in: Duration::ZERO }));
    assert!(!quarantine.blocks(&[1]));
}

/// Guards against counts that overflow when the parts are quarantined again.
#[test]
fn an_entry_with_counts_out_of_range_changes_nothing() {
    let now = Instant::now();
    let sound = Entry { parts: vec![1], generation: 1, is_lifted: false, crashes: 5, trials: 0 };
    let odd = [
        Entry { generation: u32::MAX, ..sound.clone() },
        Entry { trials: u32::MAX, ..sound.clone() },
        Entry { crashes: u32::MAX, ..sound.clone() },
        Entry { parts: Vec::new(), ..sound.clone() },
    ];
    for entry in odd {
        let mut quarantine = Quarantine::default();
        assert!(!quarantine.restore(now, entry.clone()), "{entry:?}");
        quarantine.add(now, &Attribution { parts: vec![1], crashes: 5 });
        assert!(quarantine.blocks(&[1]), "{entry:?}");
    }
}
