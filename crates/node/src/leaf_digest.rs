//! The models and adapters that engines hold, in the compact form that cores send to leaves.
//!
//! In a large deployment engines load adapters many times a second, and the names of all adapters
//! of an engine take a few hundred bytes. Therefore leaves receive hashes of names, which they
//! resolve by the configuration, and only the latest state of each engine in a batching period.

use {
    glade_catalog::{Catalog, ServerKey},
    glade_residency::{EngineDigest, PendingLoad},
    glade_types::{ModelName, stable_hash},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Hash of a model's or an adapter's name. Among a thousand names, two have the same hash with a
/// probability of 1 in 8,000; an engine refuses a request for a model or adapter that it doesn't
/// hold.
type NameHash = u32;

/// The state of one engine as the holder of the lease reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LeafDigest {
    /// The engine, by the hash of its key.
    server: u32,
    adapters: Vec<NameHash>,
    /// Base models that are about to be unloaded and accept no new requests.
    #[serde(rename = "outgoing")]
    unloading: Vec<NameHash>,
    /// Adapters and models that are being loaded, with the expected time until each is ready, in
    /// milliseconds.
    #[serde(rename = "arriving")]
    pending_loads: Vec<(NameHash, u32)>,
}

fn name_hash(name: &ModelName) -> NameHash {
    stable_hash(name.as_str().as_bytes()) as NameHash
}

impl LeafDigest {
    pub(crate) fn new(digest: &EngineDigest) -> Self {
        let ready_in_ms =
            |load: &PendingLoad| u32::try_from(load.ready_in.as_millis()).unwrap_or(u32::MAX);
        Self {
            server: digest.server.short_hash(),
            adapters: digest.adapters.iter().map(name_hash).collect(),
            unloading: digest.unloading.iter().map(name_hash).collect(),
            pending_loads: digest
                .pending_loads
                .iter()
                .map(|load| (name_hash(&load.model), ready_in_ms(load)))
                .collect(),
        }
    }
}

/// Names of models and adapters by their hashes.
#[derive(Debug, Default)]
pub(crate) struct NameTable {
    names: HashMap<NameHash, ModelName>,
}

impl NameTable {
    /// Returns the names in a configuration.
    pub(crate) fn new(catalog: &Catalog) -> Self {
        let classes = catalog.services().filter_map(|service| service.engine_class.as_ref());
        let models = classes.flat_map(|class| &class.models);
        let names = models
            .flat_map(|model| model.adapter_names().chain(std::iter::once(model.name.clone())));
        Self { names: names.map(|name| (name_hash(&name), name)).collect() }
    }

    /// Decodes the digest of the engine whose key is `server`. Names that the configuration doesn't
    /// have are left out.
    pub(crate) fn decode(&self, server: ServerKey, digest: &LeafDigest) -> EngineDigest {
        let name = |name_hash: &NameHash| self.names.get(name_hash).cloned();
        let pending_load = |(name_hash, ready_in_ms): &(NameHash, u32)| {
            let ready_in = Duration::from_millis(u64::from(*ready_in_ms));
            Some(PendingLoad { model: name(name_hash)?, ready_in })
        };
        EngineDigest {
            server,
            adapters: digest.adapters.iter().filter_map(name).collect(),
            unloading: digest.unloading.iter().filter_map(name).collect(),
            pending_loads: digest.pending_loads.iter().filter_map(pending_load).collect(),
        }
    }

    /// Decodes the digests of the engines whose keys are in `known`; others are left out.
    pub(crate) fn decode_all<'a>(
        &self,
        digests: &[LeafDigest],
        known: impl Iterator<Item = &'a ServerKey>,
    ) -> Vec<EngineDigest> {
        let keys: HashMap<u32, &ServerKey> = known.map(|key| (key.short_hash(), key)).collect();
        let decode =
            |digest: &LeafDigest| Some(self.decode((*keys.get(&digest.server)?).clone(), digest));
        digests.iter().filter_map(decode).collect()
    }
}

/// Digests that have yet to be sent to leaves.
#[derive(Debug, Default)]
pub(crate) struct PendingDigests {
    epoch: u64,
    latest: BTreeMap<ServerKey, EngineDigest>,
    due: Option<Instant>,
}

impl PendingDigests {
    /// Adds digests from the holder of the lease with `epoch`, to be sent by `due`.
    pub(crate) fn add(&mut self, due: Instant, epoch: u64, engines: &[EngineDigest]) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.latest.clear();
        }
        self.latest.extend(engines.iter().map(|digest| (digest.server.clone(), digest.clone())));
        self.due.get_or_insert(due);
    }

    /// Takes the digests that are due, with the epoch of the lease that they come from.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(u64, Vec<LeafDigest>)> {
        self.due.take_if(|due| *due <= now)?;
        let latest = std::mem::take(&mut self.latest);
        Some((self.epoch, latest.values().map(LeafDigest::new).collect()))
    }
}

#[cfg(test)]
mod tests;
