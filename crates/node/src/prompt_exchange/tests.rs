//! Prompts forwarded in a full mesh and in a mesh with leaves.

use {
    super::*,
    crate::fixtures::{deployment, network_of, vm},
};

fn prompt(node: u8, server: u32, prefill_us: u32) -> PeerPrompt {
    PeerPrompt { sender_hash: node_hash(&vm(1, node)), prompt: PromptSent { server, prefill_us } }
}

#[test]
fn a_leaf_accepts_reported_prompts_except_its_own() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 4);
    let mut exchange = PromptExchange::new(&nodes[4]);
    let accepted =
        exchange.on_remote(now, &nodes[0], &[prompt(5, 1, 900), prompt(6, 2, 800)], &network);
    assert_eq!(
        accepted,
        [PromptSent { server: 2, prefill_us: 800 }],
        "the leaf's own prompt is left out"
    );
    assert_eq!(exchange.due(), None, "a leaf forwards nothing");
}

#[test]
fn the_primary_core_forwards_prompts_of_its_leaves_within_and_beyond_the_data_centre() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    exchange.on_remote(now, &nodes[4], &[prompt(5, 1, 900)], &network);
    assert_eq!(exchange.due(), Some(now + REMOTE_COLLECT_TIME));
    assert!(exchange.remote.take_due(now + REMOTE_COLLECT_TIME).is_some());
    assert_eq!(exchange.due(), Some(now + network.leaf_batch_delay()));
    assert_eq!(
        exchange.local.take_due(now + network.leaf_batch_delay()),
        Some(vec![prompt(5, 1, 900)])
    );
    assert_eq!(exchange.due(), None);
}

#[test]
fn prompts_of_other_data_centres_are_not_sent_back() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    exchange.on_remote(now, &nodes[10], &[prompt(5, 1, 900)], &network);
    assert_eq!(exchange.remote.due, None);
    assert_eq!(exchange.local.due, Some(now + network.leaf_batch_delay()));
}

#[test]
fn a_full_mesh_forwards_no_prompts() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    let accepted = exchange.on_remote(now, &nodes[5], &[prompt(2, 1, 900)], &network);
    assert_eq!((accepted.len(), exchange.due()), (1, None));
}

#[test]
fn of_too_many_prompts_the_longest_are_forwarded() {
    let now = Instant::now();
    let mut pending = PendingPrompts::default();
    let prompts: Vec<PeerPrompt> = (0..250).map(|n| prompt(1, n, n)).collect();
    pending.add(now, &prompts);
    assert_eq!(pending.take_due(now - REMOTE_COLLECT_TIME), None, "not due yet");
    let taken = pending.take_due(now).expect("prompts are due");
    assert_eq!(taken.len(), PROMPTS_PER_MESSAGE_MAX);
    assert!(taken.iter().all(|prompt| prompt.prompt.prefill_us >= 150));
}
