//! Rendezvous (highest random weight) hashing over names.
//!
//! Used wherever several processes must make the same choice without communicating: which VMs monitor
//! an engine, which VMs are candidates for a lease, which data centre is the home of a model. This
//! module defines the hash itself, so that different versions of the program make the same choice as
//! well.

use std::cmp::Reverse;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of `bytes` with a final avalanche step. The result is the same on
/// every machine and in every version of the program.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    avalanche(hash)
}

/// Returns the weight of `node` for `key`. The node with the highest weight is the most preferred one.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    let mixed = stable_hash(key.as_bytes()) ^ stable_hash(node.as_bytes()).rotate_left(32);
    avalanche(mixed)
}

/// Sorts `nodes` from the most to the least preferred for `key`. Of two nodes with equal weights, the
/// one with the smaller name comes first.
pub fn rendezvous_order<'a>(key: &str, nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<&str> = nodes.collect();
    order.sort_by_key(|node| (Reverse(rendezvous_score(key, node)), *node));
    order
}

/// Mixes every input bit into the whole word (the finaliser of SplitMix64).
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
    fn removing_a_node_moves_only_its_own_keys() {
        let nodes = ["vm-1", "vm-2", "vm-3", "vm-4"];
        for idx in 0..200 {
            let key = format!("engine-{idx}");
            let all = rendezvous_order(&key, nodes.into_iter());
            let without_vm_4 = rendezvous_order(&key, nodes.into_iter().filter(|n| *n != "vm-4"));
            let expected: Vec<&str> = all.into_iter().filter(|n| *n != "vm-4").collect();
            assert_eq!(without_vm_4, expected);
        }
    }

    #[test]
    fn keys_are_distributed_evenly() {
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
