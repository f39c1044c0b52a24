//! Prefix affinity: records which engine last served a prompt prefix, since the engine probably
//! still has it in its KV cache.
//!
//! The records are a fixed array of atomics indexed by the prefix hash; a collision replaces the
//! older entry. The engines' own cache events are late and have gaps, so the sends of this VM are
//! the fresher source.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of entries, a power of two; they take 64 KiB of memory.
const ENTRIES: usize = 8192;
/// Number of low bits of an entry that hold the engine's key; the other bits hold the hash.
const ENGINE_BITS: u32 = 16;
const ENGINE_MASK: u64 = (1 << ENGINE_BITS) - 1;

/// Maps prefix hashes to the engines that last served them.
#[derive(Debug)]
pub struct PrefixAffinity {
    entries: Box<[AtomicU64]>,
}

impl Default for PrefixAffinity {
    fn default() -> Self {
        Self { entries: (0..ENTRIES).map(|_| AtomicU64::new(0)).collect() }
    }
}

impl PrefixAffinity {
    /// Records that the engine with key `engine` served `prefix`.
    pub fn record(&self, prefix: u64, engine: u16) {
        let entry = (prefix & !ENGINE_MASK) | u64::from(engine);
        self.slot(prefix).store(entry, Ordering::Relaxed);
    }

    /// Returns the key of the engine that served `prefix` last, if recorded.
    pub fn engine(&self, prefix: u64) -> Option<u16> {
        let entry = self.slot(prefix).load(Ordering::Relaxed);
        let is_same_prefix = entry != 0 && entry & !ENGINE_MASK == prefix & !ENGINE_MASK;
        is_same_prefix.then_some((entry & ENGINE_MASK) as u16)
    }

    fn slot(&self, prefix: u64) -> &AtomicU64 {
        &self.entries[prefix as usize % ENTRIES]
    }
}
