//! Prompts on their way through both sizes of mesh.

use {
    super::*,
    crate::fixtures::{deployment, network_of, vm},
};

fn prompts(node: u8, server: u32, tokens: u32) -> PeerPrompt {
    PeerPrompt {
        sender_hash: node_hash(&vm(1, node)),
        prompt: PromptSent { server, prefill_us: tokens },
    }
}

#[test]
fn a_leaf_takes_what_it_is_told_but_for_its_own() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 4);
    let mut exchange = PromptExchange::new(&nodes[4]);
    let news =
        exchange.on_remote(now, &nodes[0], &[prompts(5, 1, 900), prompts(6, 2, 800)], &network);
    assert_eq!(news, [PromptSent { server: 2, prefill_us: 800 }], "its own came back");
    assert_eq!(exchange.due(), None, "a leaf passes nothing on");
}

#[test]
fn the_first_core_passes_its_nodes_prompts_inwards_and_outwards() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    exchange.on_remote(now, &nodes[4], &[prompts(5, 1, 900)], &network);
    assert_eq!(exchange.due(), Some(now + REMOTE_COLLECT_TIME));
    assert!(exchange.remote.take_due(now + REMOTE_COLLECT_TIME).is_some());
    assert_eq!(exchange.due(), Some(now + network.leaf_batch_delay()));
    assert_eq!(
        exchange.local.take_due(now + network.leaf_batch_delay()),
        Some(vec![prompts(5, 1, 900)])
    );
    assert_eq!(exchange.due(), None);
}

#[test]
fn word_from_elsewhere_isnt_sent_back() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    exchange.on_remote(now, &nodes[10], &[prompts(5, 1, 900)], &network);
    assert_eq!(exchange.remote.due, None);
    assert_eq!(exchange.local.due, Some(now + network.leaf_batch_delay()));
}

#[test]
fn where_all_talk_to_all_nothing_is_passed_on() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let network = network_of(now, &nodes, 0);
    let mut exchange = PromptExchange::new(&nodes[0]);
    let news = exchange.on_remote(now, &nodes[5], &[prompts(2, 1, 900)], &network);
    assert_eq!((news.len(), exchange.due()), (1, None));
}

#[test]
fn of_too_many_prompts_the_longest_are_told() {
    let now = Instant::now();
    let mut pending = PendingPrompts::default();
    let prompts: Vec<PeerPrompt> = (0..250).map(|n| prompts(1, n, n)).collect();
    pending.add(now, &prompts);
    assert_eq!(pending.take_due(now - REMOTE_COLLECT_TIME), None, "not yet");
    let taken = pending.take_due(now).expect("it is time");
    assert_eq!(taken.len(), PROMPTS_PER_MESSAGE_MAX);
    assert!(taken.iter().all(|prompt| prompt.prompt.prefill_us >= 150));
}
