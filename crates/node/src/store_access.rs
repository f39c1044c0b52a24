//! Tracks which nodes reach the store while no core reads it, so that leaves take over the cores'
//! roles towards the store.
//!
//! A core that has heard of no core's successful read for [`SILENCE_MAX`] reports to its leaves and
//! to the other cores which leaves read the tables and which node holds the lease. A leaf whose core
//! reports no reader checks the store itself, in turns over the whole deployment. If the store
//! answers, the leaf reads the tables, and takes part in the election.

use {
    crate::{
        peer_message::HolderClaim, peer_network::PeerNetwork, peers::Peers,
        store_health::StoreHealth,
    },
    glade_types::{VmId, rendezvous_order},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time since the last known answer of the store to a reader after which the reader counts as cut
/// off. A sound reader's calls end after 0.7 s without changes, and its heartbeats come every 0.35 s.
const SILENCE_MAX: Duration = Duration::from_millis(1400);
/// Time for which a core goes on reporting after a core reads again, so that leaves stop reading.
const REPORT_AFTER_RETURN: Duration = Duration::from_secs(3);
/// Age up to which a report counts: five periods of heartbeats, as half of the messages may be lost.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);
/// Number of readers that reports name; other leaves stop reading.
const READERS_MAX: usize = 2;
/// Time between two turns, in which leaves check the store. The next core hears within three turns of a
/// leaf that reads.
const TURN: Duration = Duration::from_millis(150);
/// Number of turns of one leaf each. From then on most leaves are probably cut off, and each turn has
/// twice as many leaves as the one before.
const SINGLE_TURNS: usize = 4;
/// Most leaves of a turn.
const LEAVES_PER_TURN_MAX: usize = 32;
/// Time between the checks of two leaves after all have checked once: the store has probably failed for
/// all nodes.
const LONG_TURN: Duration = Duration::from_millis(400);
/// Time that a leaf that has begun to read waits for its core's report to name it.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Which nodes have what roles towards the store, as a core knows it while no core reads the tables.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct StoreReport {
    /// Nodes that read the tables, the preferred one first, with the time since the store answered.
    pub(crate) readers: Vec<(VmId, Duration)>,
    /// Live holder of the lease.
    pub(crate) holder: Option<VmId>,
    /// The latest claim of a holder, and the time since it was first heard.
    pub(crate) claim: Option<(HolderClaim, Duration)>,
    /// Latest epoch whose lease a node has resigned without recording that in the store.
    pub(crate) resigned_epoch: u64,
}

/// State of a leaf whose core reports that no core reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeafState {
    /// Other nodes read.
    Receiving,
    /// No node is known to read; the leaf's next check of the store is due at `check_at`.
    Waiting { check_at: Instant, checked_at: Option<Instant> },
    /// The leaf reads.
    Reading { since: Instant },
}

/// What this node knows of other nodes' access to the store.
#[derive(Debug)]
pub(crate) struct StoreAccess {
    /// When the store last answered a core that reads, as far as this node knows.
    core_answered_at: Instant,
    /// End of the time for which this node reports, if it is a core.
    reports_until: Option<Instant>,
    /// The latest report of each core.
    reports: BTreeMap<VmId, (StoreReport, Instant)>,
    /// The latest claim of a holder, and when it was first heard.
    claim: Option<(HolderClaim, Instant)>,
    /// Readers and holder of the last report to leaves.
    reported: (Vec<VmId>, Option<VmId>),
    leaf: LeafState,
}

impl StoreAccess {
    /// Returns the state of a node that expects the first reads by `starts_by`.
    pub(crate) fn new(starts_by: Instant) -> Self {
        Self {
            core_answered_at: starts_by,
            reports_until: None,
            reports: BTreeMap::new(),
            claim: None,
            reported: Default::default(),
            leaf: LeafState::Receiving,
        }
    }

    /// True if no core is known to read the tables.
    pub(crate) fn cores_lost_store(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.core_answered_at) >= SILENCE_MAX
    }

    /// Records a holder's claim from its heartbeat.
    pub(crate) fn on_claim(&mut self, now: Instant, claim: HolderClaim) {
        if self.claim.is_none_or(|(known, _)| claim.revision > known.revision) {
            self.claim = Some((claim, now));
        }
    }

    /// Records another core's report.
    pub(crate) fn on_report(&mut self, now: Instant, from: &VmId, report: StoreReport) {
        self.reports.insert(from.clone(), (report, now));
    }

    /// Reports that still count, with their ages.
    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = (&StoreReport, Duration)> {
        let aged = move |(_, at): &(StoreReport, Instant)| now.saturating_duration_since(*at);
        self.reports
            .values()
            .map(move |entry| (&entry.0, aged(entry)))
            .filter(|(_, age)| *age < REPORT_AGE_MAX)
    }

    /// The holder that other cores report, if any.
    pub(crate) fn reported_holder(&self, now: Instant) -> Option<&VmId> {
        self.fresh_reports(now).find_map(|(report, _)| report.holder.as_ref())
    }

    /// True if other cores report that a leaf reads the tables.
    pub(crate) fn leaves_read(&self, now: Instant) -> bool {
        self.fresh_reports(now).any(|(report, _)| !report.readers.is_empty())
    }

    /// Records as a core which cores read the tables. `own_silence` is the time since the store
    /// answered this node, if it reads.
    pub(crate) fn update_core(
        &mut self,
        now: Instant,
        own_silence: Option<Duration>,
        peers: &Peers,
    ) {
        self.leaf = LeafState::Receiving;
        let had_lost_store = self.cores_lost_store(now);
        let reading = peers
            .live_with_age(now)
            .filter(|(heartbeat, _)| heartbeat.core && heartbeat.reads_tables);
        let others = reading.filter_map(|(heartbeat, age)| heartbeat.time_since_store_answer(age));
        if let Some(at) = others.chain(own_silence).min().and_then(|time| now.checked_sub(time)) {
            self.core_answered_at = self.core_answered_at.max(at);
        }
        let has_lost_store = self.cores_lost_store(now);
        if has_lost_store {
            if self.reports_until.is_none_or(|until| until <= now) {
                log::warn!("store_readers_lost");
            }
            self.reports_until = Some(now + REPORT_AFTER_RETURN);
        } else if had_lost_store {
            log::info!("store_readers_regained");
        }
    }

    /// True if this node, a core, reports to other nodes.
    pub(crate) fn is_reporting(&self, now: Instant) -> bool {
        self.reports_until.is_some_and(|until| now < until)
    }

    /// The report on this node's own leaves, for the other cores.
    pub(crate) fn report_for_cores(&self, now: Instant, network: &PeerNetwork) -> StoreReport {
        let leaves = || {
            let live = network.peers.live_with_info_and_age(now);
            live.filter(|(info, ..)| network.mesh.leaves.contains(&info.vm))
        };
        let holding = leaves().find(|(_, heartbeat, _)| heartbeat.holder.is_some());
        StoreReport {
            readers: leaves()
                .filter(|(_, heartbeat, _)| heartbeat.reads_tables)
                .filter_map(|(info, heartbeat, age)| {
                    Some((info.vm.clone(), heartbeat.time_since_store_answer(age)?))
                })
                .filter(|(_, silence)| *silence < SILENCE_MAX)
                .collect(),
            holder: holding.map(|(info, ..)| info.vm.clone()),
            claim: self.aged_claim(now),
            resigned_epoch: leaves()
                .map(|(_, heartbeat, _)| heartbeat.resigned_epoch)
                .max()
                .unwrap_or(0),
        }
    }

    fn aged_claim(&self, now: Instant) -> Option<(HolderClaim, Duration)> {
        self.claim.map(|(claim, at)| (claim, now.saturating_duration_since(at)))
    }

    /// The report on all nodes that this node, a core, knows of, for its leaves. `is_holder` and
    /// `is_reader` state whether this node holds the lease, and reads with success.
    pub(crate) fn report_for_leaves(
        &self,
        now: Instant,
        network: &PeerNetwork,
        (is_holder, is_reader): (bool, bool),
    ) -> StoreReport {
        let local = self.report_for_cores(now, network);
        let me = &network.me.vm;
        let live_holder = network.peers.holder(now).map(|(info, _)| &info.vm);
        let holder = live_holder.or(self.reported_holder(now)).or(is_holder.then_some(me)).cloned();
        let cores = network
            .peers
            .live_with_info_and_age(now)
            .filter(|(_, heartbeat, _)| heartbeat.core && heartbeat.reads_tables);
        let cores = cores.filter_map(|(info, heartbeat, age)| {
            Some((info.vm.clone(), heartbeat.time_since_store_answer(age)?))
        });
        let cores = cores.chain(is_reader.then(|| (me.clone(), Duration::ZERO)));
        let remote = self.fresh_reports(now).flat_map(|(report, age)| {
            report
                .readers
                .iter()
                .map(move |(vm, silence)| (vm.clone(), silence.saturating_add(age)))
        });
        let all = cores.chain(local.readers).chain(remote);
        let silences: BTreeMap<VmId, Duration> =
            all.filter(|(_, silence)| *silence < SILENCE_MAX).collect();
        let names: Vec<&str> = silences.keys().map(VmId::as_str).collect();
        let mut order = rendezvous_order("readers", names.into_iter());
        order.sort_by_key(|vm| {
            let is_core =
                *vm == me.as_str() || network.mesh.cores.iter().any(|core| core.as_str() == *vm);
            let is_holder = holder.as_ref().is_some_and(|holder| holder.as_str() == *vm);
            (!is_core, !is_holder)
        });
        order.truncate(READERS_MAX);
        let readers = order.into_iter().map(VmId::new);
        let readers =
            readers.map(|vm| (vm.clone(), silences.get(&vm).copied().unwrap_or_default()));
        StoreReport { readers: readers.collect(), holder, ..local }
    }

    /// True if `report` names other nodes than the last one.
    pub(crate) fn is_new(&mut self, report: &StoreReport) -> bool {
        let readers = report.readers.iter().map(|(vm, _)| vm.clone()).collect();
        let named = (readers, report.holder.clone());
        std::mem::replace(&mut self.reported, named.clone()) != named
    }

    /// The report of a leaf's upstream core, while it counts.
    fn upstream_report(&self, now: Instant, network: &PeerNetwork) -> Option<&StoreReport> {
        let (report, at) = self.reports.get(network.upstream_core(now)?)?;
        (now.saturating_duration_since(*at) < REPORT_AGE_MAX).then_some(report)
    }

    /// True if a leaf's core reports that no core reads the tables.
    pub(crate) fn cores_are_cut_off(&self, now: Instant, network: &PeerNetwork) -> bool {
        let is_core = |vm: &VmId| network.mesh.cores.contains(vm);
        self.upstream_report(now, network)
            .is_some_and(|report| !report.readers.iter().any(|(vm, _)| is_core(vm)))
    }

    /// True if this leaf reads the tables.
    pub(crate) fn reads_as_leaf(&self) -> bool {
        matches!(self.leaf, LeafState::Reading { .. })
    }

    /// Position of this leaf among the readers that its core names, by which it takes part in the
    /// election; `None` if it isn't named. A core that doesn't hear the leaf can't pass demand to it.
    pub(crate) fn leaf_rank(&self, now: Instant, network: &PeerNetwork) -> Option<u32> {
        let report = self.upstream_report(now, network).filter(|_| self.reads_as_leaf())?;
        let position = report.readers.iter().position(|(vm, _)| *vm == network.me.vm);
        position.and_then(|position| u32::try_from(position).ok())
    }

    /// Records as a leaf what its core reports. Returns true if the leaf is to check now whether the
    /// store answers it.
    pub(crate) fn update_leaf(
        &mut self,
        now: Instant,
        network: &PeerNetwork,
        health: &StoreHealth,
    ) -> bool {
        self.core_answered_at = now;
        self.reports_until = None;
        let Some(report) = self.upstream_report(now, network) else {
            self.leaf = LeafState::Receiving;
            return false;
        };
        let is_named = report.readers.iter().any(|(vm, _)| *vm == network.me.vm);
        let nobody_reads = report.readers.is_empty();
        let silence = health.time_since_answer(now);
        match self.leaf {
            LeafState::Reading { since } => {
                let has_settled = now.saturating_duration_since(since) >= SETTLE_TIME;
                let is_cut_off = silence >= SILENCE_MAX;
                if is_cut_off || has_settled && !is_named && !nobody_reads {
                    self.leaf = LeafState::Receiving;
                    log::info!(cut_off = is_cut_off; "leaf_stops_reading");
                }
                false
            }
            _ if !nobody_reads => {
                self.leaf = LeafState::Receiving;
                false
            }
            LeafState::Receiving => {
                let check_at = now + Turns::of(network).first();
                self.leaf = LeafState::Waiting { check_at, checked_at: None };
                false
            }
            LeafState::Waiting { checked_at: Some(at), .. }
                if silence <= now.saturating_duration_since(at) =>
            {
                self.leaf = LeafState::Reading { since: now };
                log::info!("leaf_reads");
                false
            }
            LeafState::Waiting { check_at, checked_at } => {
                let is_due = now >= check_at;
                if is_due {
                    let turns = Turns::of(network);
                    let pause = match checked_at {
                        None => turns.first_pause(),
                        Some(_) => turns.period(),
                    };
                    self.leaf =
                        LeafState::Waiting { check_at: check_at + pause, checked_at: Some(now) };
                } else {
                    self.leaf = LeafState::Waiting { check_at, checked_at };
                }
                is_due
            }
        }
    }
}

/// The turns of a leaf to check the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Turns {
    /// Place of the leaf in the order of all.
    position: usize,
    leaves: usize,
}

impl Turns {
    /// Returns the turns of this node, a leaf. Leaves of different data centres alternate, so that the
    /// turns of one data centre, whose cores alone may lack readers, come early too.
    fn of(network: &PeerNetwork) -> Self {
        let me = &network.me;
        let leaves = || {
            let all = network.peers.infos().chain([me]);
            all.filter(|info| !network.mesh.cores.contains(&info.vm))
        };
        let data_centres: BTreeSet<&str> = leaves().map(|info| info.data_centre.as_str()).collect();
        let local = leaves().filter(|info| info.data_centre == me.data_centre);
        let order = rendezvous_order("readers", local.map(|info| info.vm.as_str()));
        let rank = order.iter().take_while(|vm| **vm != me.vm.as_str()).count();
        let own = data_centres.iter().take_while(|name| **name != me.data_centre.as_str()).count();
        Self { position: rank * data_centres.len() + own, leaves: leaves().count() }
    }

    /// Time until the first check.
    fn first(self) -> Duration {
        turn_of(self.position)
    }

    /// Time from the first check to the second one.
    fn first_pause(self) -> Duration {
        let round_end = turn_of(self.leaves).max(self.first() + TURN);
        round_end - self.first() + times(LONG_TURN, self.position)
    }

    /// Time between later checks.
    fn period(self) -> Duration {
        times(LONG_TURN, self.leaves.max(SINGLE_TURNS))
    }
}

/// Time until the turn of the leaf at `position`.
fn turn_of(position: usize) -> Duration {
    let (mut turn, mut before, mut size) = (0, 0, 1);
    while position >= before + size {
        before += size;
        turn += 1;
        if turn >= SINGLE_TURNS {
            size = (size * 2).min(LEAVES_PER_TURN_MAX);
        }
    }
    times(TURN, turn)
}

fn times(time: Duration, count: usize) -> Duration {
    time.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
}
