//! Rendezvous (highest random weight) hashing over names.
//!
//! Used wherever several processes must agree on a choice without talking: which VMs watch an
//! engine, which VMs stand for a lease, which data centre is the home of a model. The hash is fixed
//! by this module, so that two versions of the program agree as well.

use std::cmp::Reverse;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a of `bytes` with a final avalanche; the same on every machine and version.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    avalanche(hash)
}

/// Weight of `node` for `key`; the node with the highest weight is chosen.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    let mixed = stable_hash(key.as_bytes()) ^ stable_hash(node.as_bytes()).rotate_left(32);
    avalanche(mixed)
}

/// Orders `nodes` from the most to the least preferred for `key`; ties fall to the smaller name.
pub fn rendezvous_order<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<&str> = nodes.collect();
    order.sort_by_key(|node| (Reverse(rendezvous_score(key, node)), *node));
    order
}

/// Spreads every input bit over the whole word (the finaliser of SplitMix64).
fn avalanche(mut word: u64) -> u64 {
    word ^= word >> 30;
    word = word.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word ^= word >> 27;
    word = word.wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn losing_a_node_moves_only_its_own_keys() {
        let nodes = ["vm-1", "vm-2", "vm-3", "vm-4"];
        for idx in 0..200 {
            let key = format!("engine-{idx}");
            let all = rendezvous_order(&key, nodes.into_iter());
            let fewer = rendezvous_order(&key, nodes.into_iter().filter(|n| *n != "vm-4"));
            let expected: Vec<&str> = all.into_iter().filter(|n| *n != "vm-4").collect();
            assert_eq!(fewer, expected);
        }
    }

    #[test]
    fn keys_spread_evenly() {
        let nodes = ["a", "b", "c"];
        let first_choices = (0..3000)
            .filter(|idx| rendezvous_order(&format!("k{idx}"), nodes.into_iter())[0] == "a")
            .count();
        assert!(
            (850..1150).contains(&first_choices),
            "{first_choices} of 3000 keys chose one node"
        );
    }
}
