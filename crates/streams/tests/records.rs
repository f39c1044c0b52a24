//! How long records are kept, and what they say about a service's versions.

use {
    glade_streams::{KnownVersions, StreamRecords, VersionStreams},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);
const SERVICE: u32 = 7;

#[test]
fn a_record_is_kept_for_20_to_40_seconds() {
    let begin = Instant::now();
    for added_s in [0, 5, 19] {
        let mut records = StreamRecords::new(begin);
        records.add(begin + SECOND * added_s, 1, 10);
        for later_s in added_s..=60 {
            records.drop_outdated(begin + SECOND * later_s);
            let (age_s, version) = (later_s - added_s, records.get(1));
            assert!(age_s >= 20 || version == Some(10), "added at {added_s}, {later_s}");
            assert!(age_s < 40 || version.is_none(), "added at {added_s}, {later_s}");
        }
    }
}

#[test]
fn a_record_that_is_added_again_is_kept_for_longer() {
    let begin = Instant::now();
    let mut records = StreamRecords::new(begin);
    for step in 0..10 {
        records.add(begin + SECOND * 15 * step, 1, 10);
        assert_eq!(records.get(1), Some(10));
    }
}

#[test]
fn records_of_long_ago_go_at_once() {
    let begin = Instant::now();
    let mut records = StreamRecords::new(begin);
    records.add(begin, 1, 10);
    records.add(begin + SECOND * 100, 2, 20);
    assert_eq!(records.iter().collect::<Vec<_>>(), [(2, 20)]);
    assert_eq!(records.versions().collect::<Vec<_>>(), [20]);
}

#[test]
fn a_service_is_single_while_one_version_was_seen_and_began_streams() {
    let begin = Instant::now();
    let mut versions = KnownVersions::default();
    let none = || std::iter::empty();
    assert!(versions.single(SERVICE, none()).is_none(), "no server is known");
    versions.update(begin, [(SERVICE, 1), (8, 5)].into_iter());
    assert!(versions.single(SERVICE, none()).is_some() && !versions.has_several(none()));
    assert!(versions.single(SERVICE, [1, 5].into_iter()).is_some());
    assert!(
        versions.single(SERVICE, [9].into_iter()).is_none(),
        "a version that has left began a stream"
    );
    assert!(versions.has_several([9].into_iter()));
    versions.update(begin, [(SERVICE, 2)].into_iter());
    assert!(versions.single(SERVICE, none()).is_none() && versions.has_several(none()));
    versions.update(begin + SECOND * 39, [(SERVICE, 2)].into_iter());
    assert!(versions.single(SERVICE, none()).is_none(), "streams of version 1 may go on");
    versions.update(begin + SECOND * 40, [(SERVICE, 2)].into_iter());
    assert!(versions.single(SERVICE, none()).is_some());
}

#[test]
fn groups_hold_all_records() {
    let records = [(1, 10), (2, 20), (3, 10)];
    let groups = VersionStreams::group(records);
    assert_eq!(groups.len(), 2);
    let mut ungrouped: Vec<(u64, u32)> = VersionStreams::records(&groups).collect();
    ungrouped.sort_unstable();
    assert_eq!(ungrouped, records);
}
