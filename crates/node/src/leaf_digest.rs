//! What engines hold, as leaves are told of it.
//!
//! Engines get an adapter many times a second in a large deployment, and the names of all that an engine
//! holds are a few hundred bytes. So leaves are told marks of names, which they know from the
//! configuration, and of each engine only the latest of a moment.

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

/// Mark of a model's or an adapter's name. Among a thousand names, two have the same one with a chance
/// of one in eight thousand; an engine that is asked for the wrong one says so.
type NameHash = u32;

/// What the holder of the lease says of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LeafDigest {
    /// The engine, by the tag of its key.
    server: u32,
    adapters: Vec<NameHash>,
    outgoing: Vec<NameHash>,
    /// What is being loaded, and the time until it is likely to be ready.
    arriving: Vec<(NameHash, u32)>,
}

fn name_hash(name: &ModelName) -> NameHash {
    stable_hash(name.as_str().as_bytes()) as NameHash
}

impl LeafDigest {
    pub(crate) fn new(digest: &EngineDigest) -> Self {
        let ready_in_ms = |arriving: &PendingLoad| {
            u32::try_from(arriving.ready_in.as_millis()).unwrap_or(u32::MAX)
        };
        Self {
            server: digest.server.tag(),
            adapters: digest.adapters.iter().map(name_hash).collect(),
            outgoing: digest.unloading.iter().map(name_hash).collect(),
            arriving: digest
                .pending_loads
                .iter()
                .map(|arriving| (name_hash(&arriving.model), ready_in_ms(arriving)))
                .collect(),
        }
    }
}

/// Names by their marks.
#[derive(Debug, Default)]
pub(crate) struct NameTable {
    names: HashMap<NameHash, ModelName>,
}

impl NameTable {
    /// The names of a configuration.
    pub(crate) fn new(catalog: &Catalog) -> Self {
        let classes = catalog.services().filter_map(|service| service.engine_class.as_ref());
        let models = classes.flat_map(|class| &class.models);
        let names = models
            .flat_map(|model| model.adapter_names().chain(std::iter::once(model.name.clone())));
        Self { names: names.map(|name| (name_hash(&name), name)).collect() }
    }

    /// Reads what a leaf was told of the engine with `server` as its key. Names that the configuration
    /// doesn't have are left out.
    pub(crate) fn read(&self, server: ServerKey, told: &LeafDigest) -> EngineDigest {
        let name = |name_hash: &NameHash| self.names.get(name_hash).cloned();
        let arriving = |(name_hash, ready_in_ms): &(NameHash, u32)| {
            let ready_in = Duration::from_millis(u64::from(*ready_in_ms));
            Some(PendingLoad { model: name(name_hash)?, ready_in })
        };
        EngineDigest {
            server,
            adapters: told.adapters.iter().filter_map(name).collect(),
            unloading: told.outgoing.iter().filter_map(name).collect(),
            pending_loads: told.arriving.iter().filter_map(arriving).collect(),
        }
    }

    /// Reads what a leaf was told of engines whose keys are `known`.
    pub(crate) fn decode_all<'a>(
        &self,
        told: &[LeafDigest],
        known: impl Iterator<Item = &'a ServerKey>,
    ) -> Vec<EngineDigest> {
        let keys: HashMap<u32, &ServerKey> = known.map(|key| (key.tag(), key)).collect();
        let read = |told: &LeafDigest| Some(self.read((*keys.get(&told.server)?).clone(), told));
        told.iter().filter_map(read).collect()
    }
}

/// Digests that leaves have yet to be told.
#[derive(Debug, Default)]
pub(crate) struct PendingDigests {
    epoch: u64,
    latest: BTreeMap<ServerKey, EngineDigest>,
    due: Option<Instant>,
}

impl PendingDigests {
    /// Takes what the holder of tenure `epoch` says, to be told by `due`.
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

    /// What leaves are to be told now, with the tenure that it comes from.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(u64, Vec<LeafDigest>)> {
        self.due.take_if(|due| *due <= now)?;
        let latest = std::mem::take(&mut self.latest);
        Some((self.epoch, latest.values().map(LeafDigest::new).collect()))
    }
}

#[cfg(test)]
mod tests;
