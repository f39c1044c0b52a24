//! The record that a backend server publishes in the platform's registry for service discovery.

use {
    crate::record_error::RecordError,
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion, stable_hash},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Identifies one run of a backend server. A server may restart under the same name, and then has a new
/// start time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerKey {
    /// Name of the server.
    pub id: BackendId,
    /// Start time of this run, in milliseconds of the server's own clock.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
}

impl ServerKey {
    /// Returns a 32-bit hash that identifies this run of the server in messages that refer to many
    /// servers. About one in ten thousand deployments of a thousand servers contains a collision. The
    /// data about the two colliding servers is then mixed up, whose only effect is a poor choice of
    /// server.
    pub fn short_hash(&self) -> u32 {
        let hash = stable_hash(self.id.as_str().as_bytes()) ^ self.start_time_ms.rotate_left(32);
        (hash ^ (hash >> 32)) as u32
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is draining: it accepts no new requests and will stop soon.
    Leaving {
        /// Time until the server stops, if the server announced it.
        remaining: Option<Duration>,
    },
}

/// A base model that is loaded on an engine, with its loaded adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Residence {
    /// Name of the base model.
    pub model: ModelName,
    /// Full names of the loaded adapters, which begin with the model's name.
    pub adapters: Vec<ModelName>,
}

/// A backend server's registry record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServerRecord {
    /// Identifies the server and its current run.
    pub key: ServerKey,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address at which the server listens.
    pub addr: SocketAddr,
    /// Data centre in which the server runs.
    pub data_centre: DataCentre,
    /// Version of the server's software. Nodes of earlier versions don't know the field, so that nodes
    /// exchange it in a message of its own.
    #[serde(skip)]
    pub version: SoftwareVersion,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Remaining time of the warm-up after the server's start, during which the server is slow.
    #[serde(rename = "warming_up")]
    pub warm_up_remaining: Duration,
    /// Loaded base models, each with its loaded adapters.
    pub residents: Vec<Residence>,
    /// Base models with a copy of their weights in the server's main memory.
    pub in_memory: Vec<ModelName>,
    /// Base models with a copy of their weights on the server's disk.
    pub on_disk: Vec<ModelName>,
}

impl ServerRecord {
    /// Most slots of a server; sums of the slots of a few thousand servers fit into 32 bits.
    pub const SLOTS_MAX: u32 = 1 << 16;

    /// Checks what later uses of a record rely on. Records from outside, whether from the registry or
    /// from another node, are checked once, when they arrive.
    ///
    /// # Errors
    ///
    /// Why the record names no usable server.
    pub fn check(&self) -> Result<(), RecordError> {
        let id = self.key.id.as_str();
        if id.is_empty() || id.chars().any(char::is_control) {
            return Err(RecordError::Name);
        }
        if self.addr.port() == 0 {
            return Err(RecordError::Port);
        }
        if self.slots > Self::SLOTS_MAX {
            return Err(RecordError::Slots);
        }
        Ok(())
    }

    /// Returns a hash that identifies the version of the server's software among those of all services.
    pub fn version_hash(&self) -> u32 {
        let name = format!("{}\0{}", self.service, self.version);
        stable_hash(name.as_bytes()) as u32
    }

    /// Returns true if the base model or adapter `name` is loaded on this server.
    pub fn has_resident(&self, name: &ModelName) -> bool {
        self.residents
            .iter()
            .any(|residence| residence.model == *name || residence.adapters.contains(name))
    }
}
