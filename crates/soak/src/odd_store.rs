//! Puts odd rows into the store and takes them out again.

use {
    crate::oddities::{OddKey, OddValue},
    glade_standins::site::{ODD_KEYS, RowFault, odd_entries},
    glade_system::site::{Site, configuration_key, registry_key},
};

/// Name of a server that there isn't.
const OWN_NAME: &str = "odd";

/// Puts an odd entry into the registry.
pub(crate) fn put_entry(site: &Site, key: OddKey, value: OddValue) {
    let bytes = match value {
        OddValue::Odd(position) => {
            let mut all = odd_entries("pool", "m0");
            let position = position % all.len();
            all.swap_remove(position)
        }
        OddValue::Engine(engine) => {
            let row = site.store.read(&registry_key(site.engines[engine].id()));
            row.map_or_else(Vec::new, |row| row.value)
        }
    };
    site.store.put(&entry_key(site, key), bytes);
}

/// Removes an odd entry. An engine writes its own again.
pub(crate) fn remove_entry(site: &Site, key: OddKey) {
    match key {
        OddKey::Engine(engine) => site.engines[engine].register(),
        OddKey::Own | OddKey::Nameless(_) => site.store.delete(&entry_key(site, key)),
    }
}

/// Garbles the row of an engine in the store's answers, or no longer; the engine writes it again.
pub(crate) fn set_engine_row(site: &Site, engine: usize, fault: Option<RowFault>) {
    let server = &site.engines[engine];
    site.store.set_row_fault(&registry_key(server.id()), fault);
    server.register();
}

/// Garbles the row of the configuration in the store's answers, or no longer.
pub(crate) fn set_configuration_row(site: &Site, fault: Option<RowFault>) {
    site.store.set_row_fault(&configuration_key(), fault);
}

fn entry_key(site: &Site, key: OddKey) -> String {
    match key {
        OddKey::Own => registry_key(OWN_NAME),
        OddKey::Nameless(position) => ODD_KEYS[position].to_owned(),
        OddKey::Engine(engine) => registry_key(site.engines[engine].id()),
    }
}
