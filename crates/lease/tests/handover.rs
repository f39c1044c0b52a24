//! How a lease passes to another candidate when its holder releases it, resigns or fails.

use {
    glade_lease::{EarlierProcess, LeaseAction, LeaseCandidate, LeaseConfig},
    glade_platform::{Key, MemoryTable, StoreError, Txn, Write},
    glade_types::{Incarnation, VmId},
    std::time::{Duration, Instant},
};

const LEASE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);

fn candidate(name: &str, incarnation: u64, now: Instant) -> LeaseCandidate {
    let config = LeaseConfig {
        holder: VmId::new(name),
        incarnation: Incarnation(incarnation),
        duration: LEASE,
        renew_every: LEASE / 5,
        watch_every: LEASE / 5,
        takeover_delay: Duration::ZERO,
        alternation_limit: LEASE,
    };
    LeaseCandidate::new(config, now)
}

fn perform(
    candidate: &mut LeaseCandidate,
    now: Instant,
    store: &mut MemoryTable,
    action: LeaseAction,
) {
    let key = Key::new("lease/orders");
    match action {
        LeaseAction::Read => candidate.on_read(now, Ok(store.read(&key).as_ref())),
        LeaseAction::Write { expected, row } => {
            let value = serde_json::to_vec(&row).expect("plain structure");
            let answer = store.transact(&Txn::compare_and_set(key, expected, value));
            candidate.on_write(now, Ok(&answer));
        }
    }
}

fn step(candidate: &mut LeaseCandidate, now: Instant, id: u64, store: &mut MemoryTable) {
    if let Some(action) = candidate.tick(now, id) {
        perform(candidate, now, store, action);
    }
}

/// Ticks `candidate` until it holds the lease, and returns how long that took.
fn time_until_held(
    candidate: &mut LeaseCandidate,
    from: Instant,
    ids: &mut u64,
    store: &mut MemoryTable,
) -> Duration {
    for steps in 0..400 {
        let now = from + STEP * steps;
        *ids += 1;
        step(candidate, now, *ids, store);
        if candidate.epoch(now).is_some() {
            return now - from;
        }
    }
    panic!("the candidate never holds the lease");
}

#[test]
fn a_released_lease_is_taken_over_at_once_and_with_a_later_epoch() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let action = a.release(later, 900).expect("the candidate holds the lease");
    perform(&mut a, later, &mut store, action);
    assert_eq!(a.epoch(later), None);
    let mut b = candidate("b", 1, later);
    assert!(time_until_held(&mut b, later, &mut ids, &mut store) <= STEP * 2);
    assert_eq!(b.epoch(later + STEP), Some(2));
}

#[test]
fn a_restarted_holder_reacquires_its_lease_at_once() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_millis(500);
    let mut restarted = candidate("a", 2, later);
    assert!(time_until_held(&mut restarted, later, &mut ids, &mut store) <= STEP * 2);
    assert_eq!(restarted.epoch(later + STEP), Some(2), "with a later epoch");
}

#[test]
fn the_lease_of_a_holder_that_resigned_is_taken_over_before_it_expires() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_millis(500);
    let mut b = candidate("b", 1, later);
    step(&mut b, later, 700, &mut store);
    let epoch = a.resign(later).expect("the candidate holds the lease");
    assert_eq!(a.epoch(later), None);
    b.on_resigned(later, epoch);
    assert!(time_until_held(&mut b, later, &mut ids, &mut store) <= STEP * 3);
}

/// A holder was cut off from the store, and the next candidate began its wait only when it read the
/// row, seconds after it had last received a report of a renewal.
#[test]
fn the_takeover_wait_counts_from_the_last_reported_renewal() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let mut b = candidate("b", 1, start);
    b.on_renewal_reported(start, a.revision().expect("the candidate holds the lease"));
    let first_read_at = start + Duration::from_millis(1900);
    let waited = time_until_held(&mut b, first_read_at, &mut ids, &mut store);
    assert!(waited <= Duration::from_millis(400), "{waited:?}");
    let held_at = first_read_at + waited;
    assert!(a.epoch(held_at).is_none(), "there are never two holders");
}

#[test]
fn the_lease_of_a_silent_holder_is_taken_over_only_after_it_expires() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let mut b = candidate("b", 1, start);
    let waited = time_until_held(&mut b, start, &mut ids, &mut store);
    assert!(waited > LEASE, "{waited:?}");
}

#[test]
fn an_extended_lease_lasts_until_its_new_end() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let until = start + LEASE * 3;
    a.extend(until);
    assert_eq!(a.epoch(until - STEP), Some(1));
    assert_eq!(a.epoch(until + STEP), None);
}

fn transaction(action: LeaseAction) -> Txn {
    let LeaseAction::Write { expected, row } = action else { panic!("{action:?}") };
    let value = serde_json::to_vec(&row).expect("plain structure");
    Txn::compare_and_set(Key::new("lease/orders"), expected, value)
}

/// The answer to `a`'s renewal is lost, and `a` then releases the lease. Another candidate takes
/// over and is the only holder.
fn assert_released_after_a_lost_renewal(is_written: bool) {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let renewal = transaction(a.tick(later, 900).expect("a renewal is due"));
    if is_written {
        store.transact(&renewal);
    }
    let lost = StoreError::Unknown { reason: "no answer".to_owned() };
    a.on_write(later, Err(&lost));
    if let Some(action) = a.release(later, 901) {
        perform(&mut a, later, &mut store, action);
    }
    assert_eq!(a.epoch(later), None, "the candidate no longer acts");
    let mut b = candidate("b", 1, later);
    let mut taken_over_after = None;
    for steps in 1..20 {
        let now = later + STEP * steps;
        ids += 2;
        step(&mut a, now, 1000 + ids, &mut store);
        step(&mut b, now, 1001 + ids, &mut store);
        assert_eq!(a.epoch(now), None, "the candidate no longer acts");
        if b.epoch(now).is_some() {
            taken_over_after.get_or_insert(STEP * steps);
        }
    }
    assert!(taken_over_after.is_some_and(|time| time < LEASE / 2), "{taken_over_after:?}");
}

#[test]
fn a_holder_whose_renewal_was_lost_does_not_act_after_releasing_its_lease() {
    assert_released_after_a_lost_renewal(false);
}

#[test]
fn a_renewal_written_without_an_answer_does_not_undo_a_release() {
    assert_released_after_a_lost_renewal(true);
}

#[test]
fn a_lease_is_released_while_a_renewal_is_pending() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let renewal = transaction(a.tick(later, 900).expect("a renewal is due"));
    assert_eq!(a.release(later, 901), None, "one operation at a time");
    assert_eq!(a.epoch(later), None, "the candidate no longer acts");
    a.on_write(later, Ok(&store.transact(&renewal)));
    step(&mut a, later + STEP, 902, &mut store);
    let mut b = candidate("b", 1, later + STEP);
    let waited = time_until_held(&mut b, later + STEP, &mut ids, &mut store);
    assert!(waited <= STEP * 2, "{waited:?}");
}

/// A renewal whose answer was lost turns out to be written after its sender has resigned. Another
/// candidate may have taken over since, so the sender doesn't act on that renewal.
#[test]
fn a_holder_that_resigned_does_not_act_on_a_renewal_that_was_written_late() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let renewal = transaction(a.tick(later, 900).expect("a renewal is due"));
    let epoch = a.resign(later).expect("the candidate holds the lease");
    let answer = store.transact(&renewal);
    a.on_write(later + STEP, Ok(&answer));
    assert_eq!(a.epoch(later + STEP), None);
    let mut b = candidate("b", 1, later);
    b.on_resigned(later, epoch);
    time_until_held(&mut b, later + STEP, &mut ids, &mut store);
    let mut a_acts = false;
    for steps in 2..10 {
        let now = later + STEP * steps;
        step(&mut a, now, 1000 + u64::from(steps), &mut store);
        a_acts |= a.epoch(now).is_some();
    }
    assert!(!a_acts, "two candidates act at once");
}

/// A row that another writer has removed says nothing of its holder, who may still act.
#[test]
fn a_lease_whose_row_was_removed_is_taken_over_only_after_it_expires() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let mut b = candidate("b", 1, start);
    step(&mut b, start + STEP, 700, &mut store);
    let key = Key::new("lease/orders");
    store.transact(&Txn { conditions: Vec::new(), writes: vec![Write::Delete { key }] });
    let waited = time_until_held(&mut b, start + STEP * 2, &mut ids, &mut store);
    assert!(waited > LEASE, "{waited:?}");
}

/// A process that started a moment ago learns from the row that its VM had the lease before another
/// one, although its own memory holds nothing of it.
#[test]
fn a_process_that_has_just_started_knows_that_its_vm_had_the_lease_before_another() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut now = start;
    let mut held = |name: &str, incarnation, store: &mut MemoryTable| {
        let mut candidate = candidate(name, incarnation, now);
        now += time_until_held(&mut candidate, now, &mut ids, store);
        if let Some(action) = candidate.release(now, 900 + incarnation) {
            perform(&mut candidate, now, store, action);
        }
        (candidate.takeovers(), candidate.earlier_process())
    };
    assert_eq!(held("a", 1, &mut store), (0, EarlierProcess::NoTerm));
    assert_eq!(held("a", 2, &mut store), (0, EarlierProcess::HeldLast));
    // Started again in the same process.
    assert_eq!(held("a", 2, &mut store), (0, EarlierProcess::HeldLast));
    assert_eq!(held("b", 3, &mut store), (1, EarlierProcess::NoTerm));
    assert_eq!(held("a", 4, &mut store), (1, EarlierProcess::HeldBeforeOther));
    assert_eq!(held("a", 5, &mut store), (0, EarlierProcess::HeldBeforeOther));
    assert_eq!(held("c", 6, &mut store), (1, EarlierProcess::NoTerm));
}

/// Predecessors no longer count once the alternation limit has passed since their terms.
#[test]
fn a_row_forgets_predecessors_after_the_alternation_limit() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = candidate("a", 1, start);
    time_until_held(&mut a, start, &mut ids, &mut store);
    let action = a.release(start, 900).expect("the candidate holds the lease");
    perform(&mut a, start, &mut store, action);
    let mut b = candidate("b", 1, start);
    time_until_held(&mut b, start, &mut ids, &mut store);
    let names = |candidate: &LeaseCandidate| -> Vec<String> {
        candidate.recent_holders().map(|vm| vm.as_str().to_owned()).collect()
    };
    assert_eq!(names(&b), ["a", "b"]);
    for steps in 1..80 {
        ids += 1;
        step(&mut b, start + STEP * steps, 1000 + ids, &mut store);
    }
    assert_eq!(names(&b), ["b"]);
}
