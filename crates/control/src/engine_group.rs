//! A group of engines and the lease over it.

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

/// Candidates for a lease from the group's own data centre.
const LOCAL_CANDIDATES: usize = 3;
/// Candidates for a lease from other data centres, should the own one be lost.
const REMOTE_CANDIDATES: usize = 2;
/// Further wait before a takeover for each more preferred candidate: more than the period at which
/// candidates look, so that the preferred one has acted before the next may.
const RANK_DELAY: Duration = Duration::from_millis(1500);

/// A group as seen by this planner.
#[derive(Debug)]
pub(crate) struct EngineGroup {
    pub(crate) id: GroupId,
    pub(crate) data_centre: DataCentre,
    pub(crate) keeper: LeaseCandidate,
    /// Whether this planner stands for the lease.
    pub(crate) candidate: bool,
    /// Epoch for which the group's ledgers were read.
    pub(crate) scanned_epoch: Option<u64>,
    pub(crate) scanning: bool,
    pub(crate) scan_at: Instant,
    pub(crate) pacer: LoadLimiter,
    /// Moves of the last planning pass that are still to be made.
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
        let lease = LeaseConfig {
            holder: config.vm.clone(),
            incarnation: config.incarnation,
            duration: config.lease_duration,
            renew_every: config.lease_renew_interval,
            watch_every: config.lease_renew_interval,
            takeover_delay: Duration::ZERO,
        };
        Self {
            id,
            data_centre,
            keeper: LeaseCandidate::new(lease, now),
            candidate: false,
            scanned_epoch: None,
            scanning: false,
            scan_at: now,
            pacer: LoadLimiter::share(config.loads_per_s, config.max_concurrent_loads, 1, 0),
            moves: Vec::new(),
            planned_at: None,
        }
    }

    /// Key of the lease's row.
    pub(crate) fn lease_key(&self) -> Key {
        Key::new(&format!("lease/{}", self.id))
    }

    /// Prefix of the keys of the ledgers.
    pub(crate) fn ledger_prefix(&self) -> String {
        format!("ledger/{}/", self.id)
    }

    /// Works out whether `me` stands for the lease, and after how long.
    pub(crate) fn rank_candidates(&mut self, me: &VmId, vms: &[VmRecord], live: &BTreeSet<VmId>) {
        let (key, data_centre) = (self.id.as_str(), &self.data_centre);
        let names = |local: bool| {
            let standing = vms
                .iter()
                .filter(|vm| !vm.leaving && live.contains(&vm.name))
                .filter(|vm| (vm.data_centre == *data_centre) == local);
            rendezvous_order(key, standing.map(|vm| vm.name.as_str()))
        };
        let local = names(true);
        let remote = names(false);
        let rank = local
            .iter()
            .take(LOCAL_CANDIDATES)
            .chain(remote.iter().take(REMOTE_CANDIDATES))
            .position(|name| *name == me.as_str());
        self.candidate = rank.is_some();
        let rank = u32::try_from(rank.unwrap_or(0)).unwrap_or(0);
        self.keeper.set_takeover_delay(RANK_DELAY * rank);
    }
}
