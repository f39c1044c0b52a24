//! Ports of tests that run beside each other.

use {
    glade_system::PortBlock,
    std::{collections::BTreeSet, thread},
};

#[test]
fn tests_beside_each_other_take_no_port_of_each_other() {
    let range = 1_200..10_000;
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let range = range.clone();
            thread::spawn(move || (0..4).map(|_| PortBlock::claim(&range)).collect::<Vec<_>>())
        })
        .collect();
    let claimed = threads.into_iter().flat_map(|thread| thread.join().expect("a thread that ends"));
    let blocks: Vec<PortBlock> = claimed.collect();
    let ports: BTreeSet<u16> =
        blocks.iter().flat_map(|block| block.first()..block.first() + PortBlock::PORTS).collect();
    assert_eq!(ports.len(), blocks.len() * usize::from(PortBlock::PORTS));
}
