//! The lease in a deployment with cores and leaves.

use {
    super::{by_rank, deployment::Deployment, equal_nodes},
    crate::event::{Event, WatchedTable},
    glade_platform::{Changes, Era, Revision, TxnAnswer},
    std::time::Duration,
};

const NODES: u8 = 14;

/// The first node to start takes the lease before it knows that there are larger ones, and is a leaf
/// then. The other data centres' requests for models didn't reach it, and were never served.
#[test]
fn a_holder_that_becomes_a_leaf_resigns_in_favour_of_a_core() {
    let leaf = by_rank(NODES)[usize::from(NODES) - 1];
    let mut deployment = Deployment::new(1, equal_nodes(NODES));
    deployment.start(leaf);
    deployment.run_for(Duration::from_millis(600));
    let now = deployment.now();
    deployment.handle(leaf, Event::LeaseRead(now, Ok(None)));
    deployment.run_for(Duration::from_millis(400));
    let revision = Revision { era: Era(0), number: 1 };
    let now = deployment.now();
    deployment.handle(leaf, Event::LeaseWritten(now, Ok(TxnAnswer::Committed(revision))));
    for position in (0..usize::from(NODES)).filter(|position| *position != leaf) {
        deployment.start(position);
    }
    for _ in 0..15 {
        deployment.run_for(Duration::from_millis(100));
        // The store answers the leaf too, so that it isn't cut off.
        let changes = Changes::default();
        let answer = Event::Changes(WatchedTable::Configuration, Revision::ABSENT, changes);
        deployment.handle(leaf, answer);
    }
    assert!(deployment.leaves().contains(&leaf));
    assert_eq!(deployment.resigned_epoch(leaf), 1);
}
