//! Which nodes read the store.

use {
    super::*,
    crate::{
        fixtures,
        peer_message::{Heartbeat, HolderClaim, PeerInfo},
        store_health::StoreStatus,
    },
    glade_platform::Revision,
    std::time::Duration,
};

fn node(vm: &str) -> PeerInfo {
    PeerInfo { vm: VmId::new(vm), ..fixtures::node(1, 1, 250) }
}

fn heartbeat(reads: bool, holds: bool, away: bool) -> Heartbeat {
    let failed = away.then_some(Duration::from_millis(10));
    Heartbeat {
        holder: holds.then_some(HolderClaim { epoch: 1, revision: Revision::new(1) }),
        store: StoreStatus { answered: None, failed },
        reads_tables: reads,
        ..fixtures::heartbeat(1, true)
    }
}

/// Readers among ten nodes of which the first holds the lease.
fn readers(away: &[usize]) -> Vec<(usize, ReadRole)> {
    let now = Instant::now();
    (0..10)
        .map(|me| {
            let mut peers = Peers::default();
            for other in (0..10).filter(|other| *other != me) {
                let heartbeat = heartbeat(other == 0, other == 0, away.contains(&other));
                peers.on_heartbeat(now, &node(&format!("vm-{other}")), heartbeat);
            }
            let vm = VmId::new(&format!("vm-{me}"));
            (me, read_role(now, &vm, me == 0, away.contains(&me), &peers))
        })
        .filter(|(_, read_role)| read_role.is_on())
        .collect()
}

#[test]
fn the_holder_and_one_more_node_read() {
    let all = readers(&[]);
    assert_eq!(all.len(), 2, "{all:?}");
    assert_eq!(all[0], (0, ReadRole::Primary));
    assert_eq!(all[1].1, ReadRole::Standby, "its calls may be rarer");
    let without = readers(&[all[1].0]);
    assert_eq!(without.len(), 2, "another takes the place of one that is cut off: {without:?}");
    assert_ne!(without[1].0, all[1].0);
}

#[test]
fn a_node_that_hears_no_reader_reads_itself() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let me = VmId::new("vm-1");
    assert_eq!(read_role(now, &me, false, true, &peers), ReadRole::Primary);
    for other in 2..9 {
        peers.on_heartbeat(now, &node(&format!("vm-{other}")), heartbeat(false, false, false));
    }
    assert_eq!(read_role(now, &me, false, true, &peers), ReadRole::Primary);
}

#[test]
fn the_other_reader_leads_while_the_holder_is_cut_off() {
    let now = Instant::now();
    let me = VmId::new("vm-1");
    let mut peers = Peers::default();
    peers.on_heartbeat(now, &node("vm-0"), heartbeat(false, true, true));
    peers.on_heartbeat(now, &node("vm-2"), heartbeat(true, false, true));
    assert_eq!(read_role(now, &me, false, false, &peers), ReadRole::Primary);
}

#[test]
fn a_leaf_that_has_just_started_waits_to_be_told() {
    let leaf =
        ReadConditions { is_core: false, hears_core: false, is_enrolled: true, is_new: true };
    assert!(leaf.is_told());
    assert!(!ReadConditions { is_new: false, ..leaf }.is_told(), "nobody has told it anything");
    assert!(ReadConditions { is_new: false, hears_core: true, ..leaf }.is_told());
}

#[test]
fn a_core_reads_as_soon_as_it_knows_that_it_is_one() {
    let core = ReadConditions { is_core: true, hears_core: true, is_enrolled: false, is_new: true };
    assert!(core.is_told(), "each node takes itself for a core before it knows the others");
    assert!(!ReadConditions { is_enrolled: true, ..core }.is_told());
    assert!(!ReadConditions { is_new: false, ..core }.is_told(), "the store may be away");
}
