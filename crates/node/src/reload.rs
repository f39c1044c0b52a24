//! Compares the settings in force with a changed settings file.
//!
//! Limits and times of traffic and the seed addresses of other nodes take effect at once. The
//! node's name, its listening addresses, the duration of leases and the other settings are fixed
//! for the life of the process; a change of one of these is logged and takes effect with the next
//! start.

use {glade_settings::NodeSettings, std::sync::Arc};

/// Result of a comparison of the settings in force with a settings file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reload {
    /// Settings that are in force after the reload.
    pub(crate) settings: Arc<NodeSettings>,
    /// Names of settings that change with the reload.
    pub(crate) changed: Vec<&'static str>,
    /// Names of settings that change only with the next start.
    pub(crate) needs_restart: Vec<&'static str>,
}

impl Reload {
    /// Compares the `present` settings with those of the `file`.
    pub(crate) fn new(present: &NodeSettings, file: &NodeSettings) -> Self {
        let mut settings = present.clone();
        settings.retry_limits = file.retry_limits;
        settings.hedge_share = file.hedge_share;
        settings.timing.grace_period = file.timing.grace_period;
        settings.timing.directory_ttl = file.timing.directory_ttl;
        settings.seeds.clone_from(&file.seeds);
        let names = |fields: &[(&'static str, bool)]| {
            fields.iter().filter(|(_, differs)| *differs).map(|(name, _)| *name).collect()
        };
        let (now, next) = (&present.timing, &file.timing);
        Self {
            changed: names(&[
                ("repeats", present.retry_limits != file.retry_limits),
                ("hedging", present.hedge_share.total_cmp(&file.hedge_share).is_ne()),
                ("timing.grace_s", now.grace_period != next.grace_period),
                ("timing.directory_ttl_s", now.directory_ttl != next.directory_ttl),
                ("seeds", present.seeds != file.seeds),
            ]),
            needs_restart: names(&[
                ("vm.name", present.vm != file.vm),
                ("vm.data_centre", present.data_centre != file.data_centre),
                ("vm.region", present.region != file.region),
                ("vm.memory_mb", present.vm_limits.memory_bytes != file.vm_limits.memory_bytes),
                (
                    "vm.max_descriptors",
                    present.vm_limits.max_descriptors != file.vm_limits.max_descriptors,
                ),
                ("vm.cpu_share", present.cpu_share != file.cpu_share),
                ("listen", present.listen != file.listen),
                ("platform.store", present.store != file.store),
                ("timing.lease_ms", now.lease_duration != next.lease_duration),
                (
                    "timing.leaving_server_ms",
                    now.leaving_server_timeout != next.leaving_server_timeout,
                ),
                (
                    "timing.registry_beat_ms",
                    now.registry_heartbeat_interval != next.registry_heartbeat_interval,
                ),
                ("engines.check_fences", present.engines_check_fences != file.engines_check_fences),
                ("loads.window_s", present.loads_window != file.loads_window),
            ]),
            settings: Arc::new(settings),
        }
    }
}

#[cfg(test)]
mod tests;
