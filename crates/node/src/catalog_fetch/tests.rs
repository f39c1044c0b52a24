//! Whom a node asks for a later configuration, and when.

use {
    super::*,
    glade_clock::{Clock, ManualClock},
};

const LEAF: StoreUse = StoreUse { may_ask: false, reads_table: false };
const CORE: StoreUse = StoreUse { may_ask: true, reads_table: false };
const READER: StoreUse = StoreUse { may_ask: true, reads_table: true };
const TICK: Duration = Duration::from_millis(50);

fn informer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

/// What a node asks within `time`, in whose course no further heartbeat arrives.
fn asked_within(
    clock: &ManualClock,
    fetch: &mut CatalogFetch,
    store: StoreUse,
    silence: Option<Duration>,
    time: Duration,
) -> Vec<CatalogSource> {
    let until = clock.now() + time;
    let mut asked = Vec::new();
    while clock.now() < until {
        asked.extend(fetch.next_source(clock.now(), store, silence));
        clock.advance(TICK);
    }
    asked
}

#[test]
fn a_leaf_asks_one_node_after_the_other_without_another_heartbeat() {
    let (clock, mut fetch) = (ManualClock::new(), CatalogFetch::default());
    assert!(fetch.on_report(clock.now(), 3, informer(1)));
    let silence = Some(Duration::ZERO);
    let asked = asked_within(&clock, &mut fetch, LEAF, silence, Duration::from_millis(600));
    assert_eq!(
        asked,
        [
            CatalogSource::Informer(informer(1)),
            CatalogSource::Any(NodeKind::Core),
            CatalogSource::Any(NodeKind::Local),
            CatalogSource::Informer(informer(1)),
        ]
    );
    assert!(fetch.on_in_force(clock.now(), 3).is_some());
    let asked = asked_within(&clock, &mut fetch, LEAF, silence, Duration::from_secs(1));
    assert_eq!(asked, []);
}

#[test]
fn reports_of_two_cores_at_once_cause_one_request() {
    let (clock, mut fetch) = (ManualClock::new(), CatalogFetch::default());
    fetch.on_report(clock.now(), 3, informer(1));
    let first = fetch.next_source(clock.now(), LEAF, None);
    assert_eq!(first, Some(CatalogSource::Informer(informer(1))));
    fetch.on_report(clock.now(), 3, informer(2));
    assert_eq!(fetch.next_source(clock.now(), LEAF, None), None);
}

#[test]
fn a_core_asks_the_store_once_and_then_the_informer() {
    for (store, first) in [(CORE, Some(CatalogSource::Store)), (READER, None)] {
        let (clock, mut fetch) = (ManualClock::new(), CatalogFetch::default());
        fetch.on_report(clock.now(), 3, informer(1));
        let asked = asked_within(&clock, &mut fetch, store, None, Duration::from_millis(300));
        let expected = first.into_iter().chain([CatalogSource::Informer(informer(1))]);
        assert_eq!(asked, expected.collect::<Vec<_>>());
    }
}

/// A store that was restored from a copy has lost the version, and so may all nodes.
#[test]
fn a_version_that_nobody_reports_any_more_isnt_asked_for() {
    let (clock, mut fetch) = (ManualClock::new(), CatalogFetch::default());
    fetch.on_report(clock.now(), 3, informer(1));
    clock.advance(REPORT_AGE_MAX);
    assert_eq!(fetch.next_source(clock.now(), LEAF, None), None);
    assert!(!fetch.is_behind());
    assert_eq!(fetch.latest(), 3);
}

#[test]
fn a_leaf_whose_cores_are_silent_asks_other_nodes() {
    let (clock, mut fetch) = (ManualClock::new(), CatalogFetch::default());
    let second = Duration::from_secs(1);
    let quiet = asked_within(&clock, &mut fetch, LEAF, Some(second / 2), second);
    assert_eq!(quiet, []);
    let asked = asked_within(&clock, &mut fetch, LEAF, Some(second), second);
    assert_eq!(
        asked,
        [
            CatalogSource::Any(NodeKind::Core),
            CatalogSource::Any(NodeKind::Local),
            CatalogSource::Any(NodeKind::Core)
        ]
    );
}
