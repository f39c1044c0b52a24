//! A group of engines and the state that one planner keeps for the group: the lease, the ledger
//! scan after a takeover, the limit on loads and the planned moves.
//!
//! Rendezvous hashing over the live VMs selects the candidates for each group's lease.

use {
    crate::{load_limiter::LoadLimiter, planner_config::PlannerConfig},
    glade_lease::{LeaseCandidate, LeaseConfig},
    glade_placement::Move,
    glade_platform::{Key, VmRecord},
    glade_types::{DataCentre, GroupId, VmId, rendezvous_order},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Number of candidates for a lease from the group's own data centre.
const LOCAL_CANDIDATES: usize = 3;
/// Number of candidates for a lease from other data centres, in case the group's own data centre is
/// lost.
const REMOTE_CANDIDATES: usize = 2;
/// Further delay before a takeover for each more preferred candidate. It is longer than the
/// interval at which candidates read the lease row, so that a more preferred candidate has acted
/// before the next one may.
const TAKEOVER_DELAY_PER_RANK: Duration = Duration::from_millis(1500);

/// This planner's state of an engine group.
#[derive(Debug)]
pub(crate) struct EngineGroup {
    pub(crate) id: GroupId,
    pub(crate) data_centre: DataCentre,
    pub(crate) lease: LeaseCandidate,
    /// Whether this planner is a candidate for the lease.
    pub(crate) is_candidate: bool,
    /// Epoch of the lease in which the group's ledgers were last scanned.
    pub(crate) scanned_epoch: Option<u64>,
    pub(crate) is_scanning: bool,
    /// Earliest time of the next scan.
    pub(crate) next_scan_at: Instant,
    pub(crate) load_limiter: LoadLimiter,
    /// Moves returned by the last planning pass.
    pub(crate) moves: Vec<Move>,
    pub(crate) planned_at: Option<Instant>,
}

impl EngineGroup {
    pub(crate) fn new(
        id: GroupId,
        data_centre: DataCentre,
        config: &PlannerConfig,
        now: Instant,
    ) -> Self {
        let lease_config = LeaseConfig {
            holder: config.vm.clone(),
            incarnation: config.incarnation,
            duration: config.lease_duration,
            renew_every: config.lease_renew_interval,
            watch_every: config.lease_renew_interval,
            takeover_delay: Duration::ZERO,
            // These engines allow orders of alternating holders.
            alternation_limit: Duration::ZERO,
        };
        Self {
            id,
            data_centre,
            lease: LeaseCandidate::new(lease_config, now),
            is_candidate: false,
            scanned_epoch: None,
            is_scanning: false,
            next_scan_at: now,
            load_limiter: LoadLimiter::share(config.loads_per_s, config.max_concurrent_loads, 1, 0),
            moves: Vec::new(),
            planned_at: None,
        }
    }

    /// Returns the key of the lease row.
    pub(crate) fn lease_key(&self) -> Key {
        Key::new(&format!("lease/{}", self.id))
    }

    /// Returns the prefix of the keys of the group's ledger rows.
    pub(crate) fn ledger_prefix(&self) -> String {
        format!("ledger/{}/", self.id)
    }

    /// Determines whether `own_vm` is a candidate for the lease, and after which delay it may take
    /// the lease over.
    pub(crate) fn rank_candidates(
        &mut self,
        own_vm: &VmId,
        vms: &[VmRecord],
        live_vms: &BTreeSet<VmId>,
    ) {
        let (key, data_centre) = (self.id.as_str(), &self.data_centre);
        let ranked = |local: bool| {
            let eligible = vms
                .iter()
                .filter(|vm| !vm.leaving && live_vms.contains(&vm.name))
                .filter(|vm| (vm.data_centre == *data_centre) == local);
            rendezvous_order(key, eligible.map(|vm| vm.name.as_str()))
        };
        let local = ranked(true);
        let remote = ranked(false);
        let rank = local
            .iter()
            .take(LOCAL_CANDIDATES)
            .chain(remote.iter().take(REMOTE_CANDIDATES))
            .position(|name| *name == own_vm.as_str());
        self.is_candidate = rank.is_some();
        let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(0);
        self.lease.set_takeover_delay(TAKEOVER_DELAY_PER_RANK * rank);
    }
}
