//! Which entry VMs a caller should use.

use {
    crate::shared::Shared, glade_wire::Role, poem::Response, serde::Serialize, std::net::SocketAddr,
};

/// One address of the directory.
#[derive(Clone, Debug, Serialize)]
struct EntryAddr {
    vm: String,
    data_centre: String,
    address: SocketAddr,
}

#[derive(Debug, Serialize)]
struct Directory {
    ttl_ms: u64,
    entries: Vec<EntryAddr>,
}

/// Answers with the live VMs that aren't leaving: those of the caller's data centre first, in
/// random order within each data centre so that callers spread.
pub(crate) fn directory(shared: &Shared, caller_data_centre: Option<&str>) -> Response {
    let me = &shared.settings.vm;
    let view = shared.view.load();
    let mut entries: Vec<EntryAddr> = view
        .peers
        .iter()
        .filter(|peer| peer.role == Role::Entry && peer.live && !peer.leaving)
        .map(|peer| EntryAddr {
            vm: peer.vm.to_string(),
            data_centre: peer.data_centre.to_string(),
            address: peer.caller,
        })
        .collect();
    if !shared.drain.is_draining() {
        entries.push(EntryAddr {
            vm: me.name.to_string(),
            data_centre: me.data_centre.to_string(),
            address: me.caller,
        });
    }
    fastrand::shuffle(&mut entries);
    let near = caller_data_centre.unwrap_or(me.data_centre.as_str());
    entries.sort_by_key(|entry| entry.data_centre != near);
    let ttl_ms = u64::try_from(shared.settings.timing.directory_ttl.as_millis()).unwrap_or(0);
    let body = serde_json::to_string(&Directory { ttl_ms, entries }).expect("plain structure");
    let max_age = format!("max-age={}", ttl_ms / 1000);
    Response::builder().content_type("application/json").header("cache-control", max_age).body(body)
}
