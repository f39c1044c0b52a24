//! How a lease passes on when its holder says so, or is known to be gone.

use {
    glade_lease::{LeaseAction, LeaseCandidate, LeaseConfig},
    glade_platform::{Key, MemoryTable, StoreError, Txn},
    glade_types::{Incarnation, VmId},
    std::time::{Duration, Instant},
};

const LEASE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(50);

fn keeper(name: &str, incarnation: u64, now: Instant) -> LeaseCandidate {
    let config = LeaseConfig {
        holder: VmId::new(name),
        incarnation: Incarnation(incarnation),
        duration: LEASE,
        renew_every: LEASE / 5,
        watch_every: LEASE / 5,
        takeover_delay: Duration::ZERO,
    };
    LeaseCandidate::new(config, now)
}

fn perform(
    keeper: &mut LeaseCandidate,
    now: Instant,
    store: &mut MemoryTable,
    action: LeaseAction,
) {
    let key = Key::new("lease/orders");
    match action {
        LeaseAction::Read => keeper.on_read(now, Ok(store.read(&key).as_ref())),
        LeaseAction::Write { expected, row } => {
            let value = serde_json::to_vec(&row).expect("plain structure");
            let answer = store.transact(&Txn::compare_and_set(key, expected, value));
            keeper.on_write(now, Ok(&answer));
        }
    }
}

fn step(keeper: &mut LeaseCandidate, now: Instant, id: u64, store: &mut MemoryTable) {
    if let Some(action) = keeper.tick(now, id) {
        perform(keeper, now, store, action);
    }
}

/// Lets `keeper` act until it holds the lease, and returns how long that took.
fn time_to_hold(
    keeper: &mut LeaseCandidate,
    from: Instant,
    ids: &mut u64,
    store: &mut MemoryTable,
) -> Duration {
    for steps in 0..400 {
        let now = from + STEP * steps;
        *ids += 1;
        step(keeper, now, *ids, store);
        if keeper.epoch(now).is_some() {
            return now - from;
        }
    }
    panic!("it never holds the lease");
}

#[test]
fn a_released_lease_is_taken_at_once_and_with_a_later_epoch() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let action = a.release(later, 900).expect("it holds the lease");
    perform(&mut a, later, &mut store, action);
    assert_eq!(a.epoch(later), None);
    let mut b = keeper("b", 1, later);
    assert!(time_to_hold(&mut b, later, &mut ids, &mut store) <= STEP * 2);
    assert_eq!(b.epoch(later + STEP), Some(2));
}

#[test]
fn a_restarted_holder_takes_its_lease_back_at_once() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_millis(500);
    let mut again = keeper("a", 2, later);
    assert!(time_to_hold(&mut again, later, &mut ids, &mut store) <= STEP * 2);
    assert_eq!(again.epoch(later + STEP), Some(2), "with a later epoch");
}

#[test]
fn a_holder_that_stepped_back_needn_t_be_waited_out() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_millis(500);
    let mut b = keeper("b", 1, later);
    step(&mut b, later, 700, &mut store);
    let epoch = a.resign(later).expect("it holds the lease");
    assert_eq!(a.epoch(later), None);
    b.on_resigned(later, epoch);
    assert!(time_to_hold(&mut b, later, &mut ids, &mut store) <= STEP * 3);
}

/// trouble-1 at Kalahari: the holder was cut off, and the next one began its wait only when it read the
/// row, seconds after it had last heard of a renewal.
#[test]
fn the_wait_counts_from_the_last_renewal_that_was_heard_of() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let mut b = keeper("b", 1, start);
    b.on_renewal_reported(start, a.revision().expect("it holds the lease"));
    let looks_at = start + Duration::from_millis(1900);
    let waited = time_to_hold(&mut b, looks_at, &mut ids, &mut store);
    assert!(waited <= Duration::from_millis(400), "{waited:?}");
    let held_at = looks_at + waited;
    assert!(a.epoch(held_at).is_none(), "never two holders");
}

#[test]
fn a_silent_holder_is_waited_out() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let mut b = keeper("b", 1, start);
    let waited = time_to_hold(&mut b, start, &mut ids, &mut store);
    assert!(waited > LEASE, "{waited:?}");
}

#[test]
fn an_extended_lease_lasts_and_ends() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let until = start + LEASE * 3;
    a.extend(until);
    assert_eq!(a.epoch(until - STEP), Some(1));
    assert_eq!(a.epoch(until + STEP), None);
}

fn write(action: LeaseAction) -> Txn {
    let LeaseAction::Write { expected, row } = action else { panic!("{action:?}") };
    let value = serde_json::to_vec(&row).expect("plain structure");
    Txn::compare_and_set(Key::new("lease/orders"), expected, value)
}

/// The answer to `a`'s renewal is lost, and `a` is told to end. Another takes over and is alone.
fn assert_released_after_a_lost_renewal(has_landed: bool) {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let renewal = write(a.tick(later, 900).expect("a renewal is due"));
    if has_landed {
        store.transact(&renewal);
    }
    let lost = StoreError::Unknown { reason: "no answer".to_owned() };
    a.on_write(later, Err(&lost));
    if let Some(action) = a.release(later, 901) {
        perform(&mut a, later, &mut store, action);
    }
    assert_eq!(a.epoch(later), None, "it acts no more");
    let mut b = keeper("b", 1, later);
    let mut taken_over_after = None;
    for steps in 1..20 {
        let now = later + STEP * steps;
        ids += 2;
        step(&mut a, now, 1000 + ids, &mut store);
        step(&mut b, now, 1001 + ids, &mut store);
        assert_eq!(a.epoch(now), None, "it acts no more");
        if b.epoch(now).is_some() {
            taken_over_after.get_or_insert(STEP * steps);
        }
    }
    assert!(taken_over_after.is_some_and(|time| time < LEASE / 2), "{taken_over_after:?}");
}

#[test]
fn a_holder_whose_renewal_was_lost_acts_no_more_once_it_has_released_its_lease() {
    assert_released_after_a_lost_renewal(false);
}

#[test]
fn a_renewal_that_landed_unseen_doesn_t_undo_a_release() {
    assert_released_after_a_lost_renewal(true);
}

#[test]
fn a_lease_is_released_although_a_renewal_is_under_way() {
    let (start, mut store, mut ids) = (Instant::now(), MemoryTable::default(), 0);
    let mut a = keeper("a", 1, start);
    time_to_hold(&mut a, start, &mut ids, &mut store);
    let later = start + Duration::from_secs(1);
    let renewal = write(a.tick(later, 900).expect("a renewal is due"));
    assert_eq!(a.release(later, 901), None, "one operation at a time");
    assert_eq!(a.epoch(later), None, "it acts no more");
    a.on_write(later, Ok(&store.transact(&renewal)));
    step(&mut a, later + STEP, 902, &mut store);
    let mut b = keeper("b", 1, later + STEP);
    let waited = time_to_hold(&mut b, later + STEP, &mut ids, &mut store);
    assert!(waited <= STEP * 2, "{waited:?}");
}
