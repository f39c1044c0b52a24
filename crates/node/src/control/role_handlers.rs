//! The roles towards the store while no core reaches it: reports between nodes, and the reads of
//! leaves.

use {
    super::Control,
    crate::{
        leadership::Election,
        peer_message::{PeerInfo, PeerMessage},
        read_role::ReadRole,
        store_access::StoreReport,
    },
    std::time::Instant,
};

impl Control {
    /// Follows which nodes reach the store, and reports changes to other nodes.
    pub(super) fn tick_store_access(&mut self, now: Instant) {
        if !self.network.mesh.is_core {
            let read_before = self.access.reads_as_leaf();
            if self.access.update_leaf(now, &self.network, &self.store_health) {
                self.leadership.check_store();
            }
            if self.access.reads_as_leaf() != read_before {
                self.on_leaf_read_role(now);
            }
            return;
        }
        // The other cores rely on it that one whose latest call failed doesn't read, and that others do.
        if self.store_health.needs_check(now) && !self.read_role.borrow().is_reader() {
            self.leadership.check_store();
        }
        let lost_before = self.access.cores_lost_store(now);
        let own_silence = self.reads_tables().then(|| self.store_health.time_since_answer(now));
        self.access.update_core(now, own_silence, &self.network.peers);
        if self.access.cores_lost_store(now) != lost_before {
            self.next_heartbeat_at = now;
        }
        if self.access.is_reporting(now) && !self.network.mesh.is_full_mesh {
            let report = self.report_for_leaves(now);
            if self.access.is_new(&report) {
                self.send_store_reports(now, report);
            }
        }
    }

    fn report_for_leaves(&self, now: Instant) -> StoreReport {
        let reads = self.reads_tables() && !self.access.cores_lost_store(now);
        let own_roles = (self.leadership.is_holder(), reads);
        self.access.report_for_leaves(now, &self.network, own_roles)
    }

    /// Sends reports with the heartbeats, while no core reads the tables.
    pub(super) fn repeat_store_reports(&mut self, now: Instant) {
        let mesh = &self.network.mesh;
        if mesh.is_core && !mesh.is_full_mesh && self.access.is_reporting(now) {
            let report = self.report_for_leaves(now);
            self.send_store_reports(now, report);
        }
    }

    fn send_store_reports(&mut self, now: Instant, for_leaves: StoreReport) {
        let for_cores = self.access.report_for_cores(now, &self.network);
        self.network.send_to_leaves_now(now, &PeerMessage::StoreReport(for_leaves));
        self.network.send_to_cores(now, &PeerMessage::StoreReport(for_cores));
    }

    /// Handles another core's report.
    pub(super) fn on_store_report(&mut self, now: Instant, from: &PeerInfo, report: StoreReport) {
        if !self.network.mesh.cores.contains(&from.vm) {
            return;
        }
        if let Some((claim, age)) = report.claim {
            self.leadership.on_claim_reported(now, claim, age);
        }
        if self.network.mesh.is_core {
            self.leadership.on_resigned_reported(now, report.resigned_epoch);
        }
        self.access.on_report(now, &from.vm, report);
    }

    /// Starts or stops this leaf's reads. Leaves are sent only a part of the registry, so that a leaf
    /// that is to send changes to its cores must read all of it.
    fn on_leaf_read_role(&mut self, now: Instant) {
        if self.access.reads_as_leaf() {
            self.registry.invalidate();
            self.registry_position.reset();
        }
        self.update_read_role(now);
        self.next_heartbeat_at = now;
    }

    /// The role of this node, a leaf that reads while no core does.
    pub(super) fn leaf_read_role(&self, now: Instant) -> ReadRole {
        match self.access.leaf_rank(now, &self.network) {
            Some(1) if !self.leadership.is_holder() => ReadRole::Standby,
            _ => ReadRole::Primary,
        }
    }

    /// This node's part in the election.
    pub(super) fn election(&mut self, now: Instant) -> Election {
        let network = &self.network;
        let is_isolated = self.isolation.update(now, network.peers.mutual_count(now));
        let is_core = network.mesh.is_core;
        Election {
            is_core,
            is_isolated: is_isolated && !network.mesh.is_full_mesh,
            leaf_rank: self.access.leaf_rank(now, network).filter(|_| !is_core),
            holder_is_reported: self
                .access
                .reported_holder(now)
                .is_some_and(|vm| *vm != network.me.vm),
            cores_are_cut_off: !is_core && self.access.cores_are_cut_off(now, network),
            leaves_read: self.access.leaves_read(now),
        }
    }
}
