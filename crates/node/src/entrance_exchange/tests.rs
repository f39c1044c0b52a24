//! Where callers can connect, as nodes of both sizes of mesh see it.

use {
    super::*,
    crate::{
        fixtures::{beat, carried_post_of, deployment, post_of},
        peer_message::PeerParcel,
        work::Work,
    },
};

fn list(near: &[&PeerInfo], far: &[&PeerInfo]) -> Entrances {
    let addrs = |infos: &[&PeerInfo]| infos.iter().map(|info| info.callers).collect();
    Entrances { near: addrs(near), far: addrs(far) }
}

#[test]
fn few_nodes_know_from_signs_of_life() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let post = post_of(now, &nodes, 0);
    let found = EntranceExchange::new(now).current(now, Some(nodes[0].callers), &post);
    assert_eq!((found.near.len(), found.far.len()), (4, 4));
    assert_eq!(found.near[0], nodes[0].callers);
}

#[test]
fn a_node_that_takes_no_callers_leaves_itself_out() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let post = post_of(now, &nodes, 5);
    let mut exchange = EntranceExchange::new(now);
    exchange.on_list(now, &nodes[0], list(&[&nodes[5], &nodes[6]], &[&nodes[12]]));
    let found = exchange.current(now, None, &post);
    assert_eq!(found, list(&[&nodes[6]], &[&nodes[12]]));
}

#[test]
fn a_leaf_adopts_what_its_core_says() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let post = post_of(now, &nodes, 5);
    let mut exchange = EntranceExchange::new(now);
    assert!(exchange.on_list(now, &nodes[0], list(&[&nodes[6]], &[])));
    assert!(!exchange.on_list(now, &nodes[0], list(&[&nodes[6]], &[])), "nothing new");
    let found = exchange.current(now, Some(nodes[5].callers), &post);
    assert_eq!(found.near, [nodes[6].callers, nodes[5].callers]);
}

#[test]
fn a_core_knows_other_data_centres_from_their_first_cores() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let post = post_of(now, &nodes, 0);
    let mut exchange = EntranceExchange::new(now);
    let far: Vec<&PeerInfo> = nodes[10..].iter().collect();
    exchange.on_list(now, &nodes[10], list(&far, &[]));
    let found = exchange.current(now, Some(nodes[0].callers), &post);
    assert_eq!((found.near.len(), found.far.len()), (10, 10));
}

#[test]
fn a_list_that_is_no_longer_repeated_counts_no_longer() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let post = post_of(now, &nodes, 5);
    let mut exchange = EntranceExchange::new(now);
    exchange.on_list(now, &nodes[0], list(&[&nodes[6]], &[]));
    let later = now + LIST_MAX_AGE;
    let found = exchange.current(later, Some(nodes[5].callers), &post);
    assert_eq!(found.near, [nodes[5].callers]);
}

#[test]
fn a_leaf_that_is_not_told_asks_a_core_that_it_hears() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut post, carried) = carried_post_of(now, &nodes, 5);
    let mut exchange = EntranceExchange::new(now);
    let mut asks_after = |time: Duration, list: Option<Entrances>| {
        let now = now + time;
        for core in &nodes[..2] {
            post.peers.on_beat(now, core, beat(time.as_millis() as u64, true));
        }
        if let Some(list) = list {
            exchange.on_list(now, &nodes[0], list);
        }
        exchange.exchange(now, Some(nodes[5].callers), &mut post);
        post.flush(now + Duration::from_secs(1));
        let parcels = std::mem::take(&mut *carried.parcels.borrow_mut());
        let messages = parcels.iter().flat_map(|(_, bytes)| {
            PeerParcel::decode(bytes, &Work::default()).expect("a parcel").messages
        });
        messages.filter(|message| *message == PeerMessage::EntrancesWanted).count()
    };
    assert_eq!(asks_after(Duration::from_millis(100), None), 1);
    assert_eq!(asks_after(Duration::from_millis(400), None), 0, "it has just asked");
    assert_eq!(asks_after(Duration::from_millis(1200), None), 1);
    let told = Some(list(&[&nodes[6]], &[]));
    assert_eq!(asks_after(Duration::from_millis(2400), told), 0);
    assert_eq!(asks_after(Duration::from_millis(4300), None), 0);
    assert_eq!(
        asks_after(Duration::from_millis(4400), None),
        1,
        "before the list no longer counts"
    );
}
