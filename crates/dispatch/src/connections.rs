//! This VM's part of the connections that a server accepts from all VMs.

use crate::{cost::unit_fraction, dispatcher::Dispatcher, server::ServerIdx};

/// Share of a server's connections that all VMs together may keep idle. The rest is for requests in flight.
const IDLE_SHARE: f64 = 0.5;

impl Dispatcher {
    /// Number of idle connections to the server `idx` that this VM may keep.
    pub fn idle_connections_max(&self, idx: ServerIdx) -> usize {
        let service = &self.servers[idx.get()].view.record.service;
        let limits = self.catalog.as_ref().and_then(|catalog| catalog.service(service.as_str()));
        let Some(service) = limits else { return usize::MAX };
        let own = f64::from(service.connection_limit) * IDLE_SHARE / f64::from(self.known_vms);
        let has_one_more = unit_fraction(self.vm_seed, idx) < own.fract();
        own as usize + usize::from(has_one_more)
    }
}
