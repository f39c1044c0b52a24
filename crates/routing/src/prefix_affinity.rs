//! Remembers which engine last served a prompt prefix.
//!
//! A fixed array of atomics, indexed by the prefix hash; a collision replaces the older entry. The
//! engines' own cache events are late and have gaps, so this VM's own sends are the fresher source.

use std::sync::atomic::{AtomicU64, Ordering};

/// Entries; a power of two. 64 KiB of memory.
const ENTRIES: usize = 8192;
/// Low bits of an entry that hold the engine; the others hold the hash.
const ENGINE_BITS: u32 = 16;
const ENGINE_MASK: u64 = (1 << ENGINE_BITS) - 1;

/// See the module.
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
    /// Notes that the engine with key `engine` served `prefix`.
    pub fn record(&self, prefix: u64, engine: u16) {
        let entry = (prefix & !ENGINE_MASK) | u64::from(engine);
        self.slot(prefix).store(entry, Ordering::Relaxed);
    }

    /// Key of the engine that served `prefix` last, if remembered.
    pub fn engine(&self, prefix: u64) -> Option<u16> {
        let entry = self.slot(prefix).load(Ordering::Relaxed);
        let same = entry != 0 && entry & !ENGINE_MASK == prefix & !ENGINE_MASK;
        same.then_some((entry & ENGINE_MASK) as u16)
    }

    fn slot(&self, prefix: u64) -> &AtomicU64 {
        &self.entries[prefix as usize % ENTRIES]
    }
}
