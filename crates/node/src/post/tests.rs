//! Parcels, and what a leaf of a large mesh hears in virtual time.

use {
    super::*,
    crate::{
        entrance_exchange::EntranceExchange,
        fixtures::{Carried, beat, carried_post_of, deployment, wide_deployment},
        load_exchange::LoadExchange,
        peer_message::{LoadScope, PeerParcel},
        prompt_exchange::PromptExchange,
        told_prompt::{ToldPrompt, mark},
    },
    glade_dispatch::{Load, PromptSent, ServerLoad},
};

/// What a node's control may send and receive.
const CONTROL_BYTES_PER_S: usize = 23_000;
/// Engines of the users' largest deployment.
const SERVERS: u32 = 160;
/// Prompts that each node sends in a second there.
const PROMPTS_PER_NODE_S: u64 = 3;
const STEP: Duration = Duration::from_millis(10);
const PLAYED_S: u64 = 10;

/// What one leaf was sent in a second.
#[derive(Debug)]
struct Heard {
    parcels_per_s: f64,
    bytes_per_s: usize,
}

fn loads(in_flight: u32) -> Vec<ServerLoad> {
    let load = Load { in_flight, unread_us: 900, held_tokens: 20_000, waiting_hundredths: 0 };
    (1..=SERVERS).map(|server| ServerLoad { server: server << 24, load }).collect()
}

/// Plays the first core of a mesh of five data centres under load.
fn play(each: u8) -> Heard {
    let (start, nodes) = (Instant::now(), wide_deployment(5, each));
    let (mut post, carried) = carried_post_of(start, &nodes, 0);
    assert!(post.mesh.is_primary_core);
    let leaf = nodes.iter().find(|info| post.mesh.leaves.contains(&info.vm)).expect("a leaf");
    let (mut exchange, mut prompts) = (LoadExchange::new(start), PromptExchange::new(&nodes[0]));
    let mut entrances = EntranceExchange::new(start);
    let sent_between = |node: usize, now: Duration| {
        let at =
            |now: Duration| (now.as_millis() as u64 * PROMPTS_PER_NODE_S + 31 * node as u64) / 1000;
        at(now) - at(now.saturating_sub(STEP))
    };
    let steps = PLAYED_S * 1000 / STEP.as_millis() as u64;
    for step in 1..=steps {
        let (since, now) = (STEP * step as u32, start + STEP * step as u32);
        for (position, info) in nodes.iter().enumerate().skip(1) {
            if step % 35 == 0 && post.mesh.connects_to(&info.vm) {
                post.peers.on_beat(now, info, beat(step, post.mesh.cores.contains(&info.vm)));
            }
            let prompt = PromptSent { server: (step as u32) << 20, reading_us: 900 };
            let told = vec![ToldPrompt { by: mark(&info.vm), prompt }];
            for _ in 0..sent_between(position, since) {
                prompts.on_told(now, info, &told, &post);
            }
        }
        for far in nodes.iter().filter(|info| post.mesh.remote_primaries.contains(&info.vm)) {
            let sum = loads(1 + step as u32 % 9);
            post.peers.on_loads(now, far, LoadScope::DataCentre, sum);
        }
        if step % 35 == 0 {
            post.beat(now, &beat(step, true), Revision::ABSENT);
            entrances.exchange(now, Some(nodes[0].callers), &mut post);
        }
        if step % 5 == 0 {
            exchange.exchange(now, &mut post);
        }
        prompts.pass_on(now, &mut post);
        post.flush(now);
    }
    let parcels = carried.parcels.borrow();
    let to_leaf: Vec<usize> =
        parcels.iter().filter(|(to, _)| *to == leaf.peers).map(|(_, bytes)| bytes.len()).collect();
    Heard {
        parcels_per_s: to_leaf.len() as f64 / PLAYED_S as f64,
        bytes_per_s: to_leaf.iter().sum::<usize>() / PLAYED_S as usize,
    }
}

#[test]
fn a_leaf_hears_no_more_of_three_hundred_nodes_than_of_a_hundred() {
    let (hundred, three_hundred) = (play(20), play(60));
    assert!(three_hundred.parcels_per_s <= hundred.parcels_per_s * 1.1);
    assert!(three_hundred.parcels_per_s <= 20.0, "{three_hundred:?}");
    assert!(three_hundred.bytes_per_s <= CONTROL_BYTES_PER_S, "{three_hundred:?}");
}

fn messages(carried: &Carried, to: &PeerInfo) -> Vec<usize> {
    let parcels = carried.parcels.borrow();
    let decode = |bytes: &[u8]| PeerParcel::decode(bytes, &Work::default()).expect("a parcel");
    let to_it = parcels.iter().filter(|(addr, _)| *addr == to.peers);
    to_it.map(|(_, bytes)| decode(bytes).messages.len()).collect()
}

#[test]
fn messages_of_a_moment_go_to_a_leaf_in_one_parcel() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    post.tell_leaves(now, &PeerMessage::RegistryWanted);
    post.tell_leaves(now + GATHER_MIN / 2, &PeerMessage::CatalogWanted);
    post.flush(now + GATHER_MIN / 2);
    assert_eq!(messages(&carried, &nodes[5]), [0; 0], "not yet");
    assert_eq!(post.due(), Some(now + GATHER_MIN));
    post.flush(now + GATHER_MIN);
    assert_eq!(messages(&carried, &nodes[5]), [2]);
}

#[test]
fn what_is_in_a_hurry_takes_along_what_waits() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    post.tell_leaves(now, &PeerMessage::RegistryWanted);
    post.hurry_leaves(now, &PeerMessage::Prompts(Vec::new()));
    post.flush(now);
    assert_eq!(messages(&carried, &nodes[5]), [2]);
}

#[test]
fn few_nodes_are_told_at_once() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    post.spread(now, &PeerMessage::RegistryWanted);
    post.flush(now);
    assert!(nodes[1..].iter().all(|info| messages(&carried, info) == [1]));
}

#[test]
fn a_parcel_that_is_full_doesnt_wait() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    let message = PeerMessage::Loads { scope: LoadScope::All, loads: loads(1) };
    while messages(&carried, &nodes[5]).is_empty() {
        post.tell_leaves(now, &message);
    }
    let size = carried.parcels.borrow()[0].1.len();
    assert!((PARCEL_FULL_BYTES..2 * PARCEL_FULL_BYTES).contains(&size), "{size}");
}

#[test]
fn bytes_that_are_no_parcel_are_refused() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    post.spread(now, &PeerMessage::Wish(glade_types::ModelName::new("m1")));
    post.flush(now);
    let whole = carried.parcels.borrow()[0].1.clone();
    for length in 0..whole.len() - 1 {
        let cut = PeerParcel::decode(&whole[..length], &Work::default());
        assert!(cut.is_err() || cut.is_ok_and(|parcel| parcel.messages.is_empty()), "{length}");
    }
}

#[test]
fn a_sign_of_life_says_whose_it_is() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut post, carried) = carried_post_of(now, &nodes, 0);
    post.beat(now, &beat(2, true), Revision::ABSENT);
    post.flush(now);
    let parcels = carried.parcels.borrow();
    let parcel = PeerParcel::decode(&parcels[0].1, &Work::default()).expect("a parcel");
    assert_eq!(parcel.introduction(), Some(&nodes[0]));
    let reader = carried_post_of(now, &nodes, 1).0;
    assert_eq!(reader.peers.by_mark(parcel.from), Some(&nodes[0]));
}

#[test]
fn another_process_of_the_same_vm_has_another_mark() {
    let node = &deployment(4)[0];
    let later = PeerInfo { incarnation: glade_types::Incarnation(2), ..node.clone() };
    assert_ne!(node.mark(), later.mark());
}
