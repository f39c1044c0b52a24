//! Rows that another writer leaves among those of the registry.

use {
    glade_adapter::{odd_entries, registry},
    glade_catalog::{Residence, ServerKey, ServerRecord, ServerState},
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion},
    std::time::Duration,
};

/// Keys of the registry's table that name no server.
pub const ODD_KEYS: [&str; 6] = [
    "servers/",
    "servers/line\nbreak",
    "servers/nul\0",
    "servers/delete\u{7f}",
    "servers/carriage\rreturn",
    "servers/\u{1b}[2J",
];

/// Odd values of registry entries, in a fixed order. Each differs from [`sound_entry`].
pub fn odd_entries(service: &str, model: &str) -> Vec<Vec<u8>> {
    odd_entries::odd_entries(&record(service, model))
}

/// The entry of a server of `service` that holds `model` and that nobody reaches.
pub fn sound_entry(service: &str, model: &str) -> Vec<u8> {
    registry::encode(&record(service, model))
}

/// The entry of a server of `service` that is about to end.
pub fn leaving_entry(service: &str) -> Vec<u8> {
    let state = ServerState::Leaving { remaining: None };
    registry::encode(&ServerRecord { state, ..record(service, "none") })
}

fn record(service: &str, model: &str) -> ServerRecord {
    ServerRecord {
        key: ServerKey { id: BackendId::new("odd"), start_time_ms: 1 },
        service: ServiceName::new(service),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::new("dc-1"),
        version: SoftwareVersion::new("v1"),
        slots: 4,
        state: ServerState::Ready,
        warm_up_remaining: Duration::ZERO,
        residents: vec![Residence { model: ModelName::new(model), adapters: Vec::new() }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}
