//! Which nodes of a deployment keep a part of a prompt from engines, after crashes of which each node sees little, in
//! virtual time. The store doesn't answer.

use {
    super::{deployment::Deployment, equal_nodes, nodes_of_data_centres, start_all},
    crate::event::{Event, WatchedTable},
    glade_adapter::registry,
    glade_catalog::{ServerKey, ServerRecord, ServerState},
    glade_platform::{Key, Revision, Snapshot, StoredRow},
    glade_quarantine::LostAttempt,
    glade_relay::TrafficUpdate,
    glade_types::{BackendId, DataCentre, ServiceName, SoftwareVersion},
    std::time::Duration,
};

/// Time after which all nodes in touch must know of the crashes: the shortest that the platform allows.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a deployment has its topology.
const SETTLING_TIME: Duration = Duration::from_secs(4);
const SERVERS: usize = 16;
const SHARED: u64 = 0xf1;
const CRASHING: u64 = 0xdead;

fn key(server: usize) -> ServerKey {
    ServerKey { id: BackendId::new(&format!("engine-{server}")), start_time_ms: 1 }
}

pub(super) fn record(server: usize) -> ServerRecord {
    ServerRecord {
        key: key(server),
        service: ServiceName::new("pool"),
        addr: ([10, 9, 0, server as u8], 80).into(),
        data_centre: DataCentre::new("dc-1"),
        version: SoftwareVersion::new("v1"),
        slots: 16,
        state: ServerState::Ready,
        warm_up_remaining: Duration::ZERO,
        residents: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

pub(super) fn row(server: usize) -> StoredRow {
    let name = format!("{}/engine-{server}", registry::TABLE);
    let (key, revision) = (Key::new(&name), Revision::new(1));
    StoredRow { key, revision, value: registry::encode(&record(server)) }
}

/// Nodes before engines that a part of a prompt crashes.
struct Crashes {
    deployment: Deployment,
    nodes: usize,
    crashed: usize,
    rng: fastrand::Rng,
}

impl Crashes {
    fn new(mut deployment: Deployment, nodes: usize) -> Self {
        deployment.run_for(SETTLING_TIME);
        let mut this = Self { deployment, nodes, crashed: 0, rng: fastrand::Rng::with_seed(7) };
        (0..nodes).for_each(|node| this.show_registry(node));
        this
    }

    fn show_registry(&mut self, node: usize) {
        let rows = (0..SERVERS).map(row).collect();
        let snapshot = Snapshot { rows, revision: Revision::new(1) };
        self.deployment.handle(node, Event::Snapshot(WatchedTable::Registry, snapshot));
    }

    fn update(&mut self, node: usize, update: TrafficUpdate) {
        self.deployment.handle(node, Event::TrafficUpdate(update));
    }

    /// An engine ends. The request at fault was sent by `culprit`, another one by some other node, and the end is found
    /// out by a third one.
    fn crash(&mut self, culprit: usize) {
        let server = key(self.crashed).short_hash();
        self.crashed += 1;
        let request = self.crashed as u64;
        let lost = LostAttempt { server, request, parts: vec![SHARED, CRASHING] };
        self.update(culprit, TrafficUpdate::AttemptLost(lost));
        let others: Vec<usize> = (0..self.nodes).filter(|node| *node != culprit).collect();
        let mut other = || *self.rng.choice(&others).expect("several nodes");
        let (bystander, finder) = (other(), other());
        let lost = LostAttempt { server, request: 1_000 + request, parts: vec![SHARED, request] };
        self.update(bystander, TrafficUpdate::AttemptLost(lost));
        let gone = key(self.crashed - 1);
        self.update(finder, TrafficUpdate::ServerGone(gone));
    }

    /// Nodes on which the shared part is suspected report that requests with it are answered.
    fn answer_shared(&mut self) {
        for node in 0..self.nodes {
            let view = self.deployment.view(node);
            if view.is_some_and(|view| view.quarantine.suspects.contains(&SHARED)) {
                self.update(node, TrafficUpdate::PartsServed(vec![SHARED]));
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let step = Duration::from_millis(50);
        for _ in 0..time.as_millis() / step.as_millis() {
            self.deployment.run_for(step);
            self.answer_shared();
        }
    }

    fn crash_often(&mut self, culprits: &[usize]) {
        for culprit in culprits {
            self.crash(*culprit);
            self.run_for(CRASH_INTERVAL);
        }
    }

    /// Running nodes that would send a request with `parts` to an engine.
    fn sending(&self, parts: &[u64]) -> Vec<usize> {
        let sends = |node: &usize| {
            let view = self.deployment.view(*node);
            view.is_some_and(|view| view.quarantine.find(|| parts).is_none())
        };
        (0..self.nodes).filter(sends).collect()
    }

    /// All running nodes keep the crashing part from engines, whatever it comes with, and nothing else.
    fn assert_all_keep_it_away(&self) {
        assert_eq!(self.sending(&[SHARED, CRASHING]), [0; 0]);
        assert_eq!(self.sending(&[0x77, CRASHING]), [0; 0]);
        let running = (0..self.nodes).filter(|node| self.deployment.view(*node).is_some()).count();
        assert_eq!(self.sending(&[SHARED, 0x77]).len(), running);
    }
}

/// A full mesh, in which each node sees much.
fn small() -> Crashes {
    Crashes::new(start_all(1, equal_nodes(8)), 8)
}

/// Three data centres of 100 nodes, of which most see nothing of the crashes.
fn large() -> Crashes {
    Crashes::new(start_all(1, nodes_of_data_centres(3, 100)), 300)
}

#[test]
fn a_crashing_part_is_kept_away_by_all_nodes_of_a_full_mesh() {
    let mut crashes = small();
    crashes.crash_often(&[0, 3, 5, 0]);
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}

#[test]
fn a_crashing_part_is_kept_away_by_300_nodes_of_which_each_sees_little() {
    let mut crashes = large();
    let leaves = crashes.deployment.leaves();
    assert!(leaves.len() > 250, "{} leaves", leaves.len());
    crashes.crash_often(&[leaves[3], leaves[90], leaves[200], leaves[260]]);
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}

#[test]
fn a_crashing_part_is_kept_away_though_a_core_ends_amid_the_crashes() {
    let mut crashes = large();
    let (leaves, cores) = (crashes.deployment.leaves(), crashes.deployment.primary_cores());
    crashes.crash_often(&leaves[..2]);
    crashes.deployment.kill(cores[0]);
    crashes.crash_often(&leaves[100..105]);
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}

#[test]
fn a_node_that_starts_after_the_crashes_keeps_the_part_away() {
    for (count, data_centres) in [(8, 1), (20, 3)] {
        let infos = nodes_of_data_centres(data_centres, count);
        let nodes = infos.len();
        let mut deployment = Deployment::new(1, infos);
        (0..nodes - 1).for_each(|node| deployment.start(node));
        let mut crashes = Crashes::new(deployment, nodes);
        crashes.crash_often(&[0, 3, 5, 0]);
        crashes.run_for(CONTACT_TIME);
        crashes.deployment.start(nodes - 1);
        crashes.run_for(CONTACT_TIME);
        crashes.assert_all_keep_it_away();
    }
}

#[test]
fn nodes_that_were_cut_off_or_frozen_keep_the_part_away_once_they_hear_others() {
    let mut crashes = small();
    for other in 1..8 {
        crashes.deployment.cut_links.extend([(0, other), (other, 0)]);
    }
    crashes.deployment.frozen_nodes.insert(7);
    crashes.crash_often(&[1, 3, 5, 1, 3]);
    crashes.run_for(CONTACT_TIME);
    assert_eq!(crashes.sending(&[SHARED, CRASHING]), [0, 7]);
    crashes.deployment.cut_links.clear();
    crashes.deployment.frozen_nodes.clear();
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}

#[test]
fn halves_that_lose_each_other_both_keep_the_part_away() {
    let mut crashes = small();
    let half = |node: usize| node / 4;
    for from in 0..8 {
        let across = (0..8).filter(|to| half(*to) != half(from));
        crashes.deployment.cut_links.extend(across.map(|to| (from, to)));
    }
    for culprit in [0, 4, 1, 5, 2, 6, 3, 7] {
        let server = key(crashes.crashed).short_hash();
        crashes.crashed += 1;
        let request = crashes.crashed as u64;
        let lost = LostAttempt { server, request, parts: vec![SHARED, CRASHING] };
        crashes.update(culprit, TrafficUpdate::AttemptLost(lost));
        let gone = key(crashes.crashed - 1);
        crashes.update(culprit, TrafficUpdate::ServerGone(gone));
        crashes.run_for(CRASH_INTERVAL);
    }
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}

#[test]
fn an_answer_on_one_of_300_nodes_lifts_the_quarantine_on_all() {
    let mut crashes = large();
    let leaves = crashes.deployment.leaves();
    crashes.crash_often(&leaves[..4]);
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
    crashes.update(leaves[150], TrafficUpdate::PartsServed(vec![SHARED, CRASHING]));
    crashes.run_for(Duration::from_secs(1));
    assert_eq!(crashes.sending(&[SHARED, CRASHING]).len(), 300);
}

#[test]
fn a_sound_part_isnt_blamed_for_many_engines_that_end_at_the_same_moment() {
    let mut crashes = small();
    for culprit in [0, 1, 2, 3, 4, 5, 6, 7] {
        crashes.crash(culprit);
    }
    crashes.run_for(CONTACT_TIME);
    assert_eq!(crashes.sending(&[SHARED, CRASHING]).len(), 8);
}

#[test]
fn no_trial_starts_while_the_store_is_away() {
    let mut crashes = small();
    crashes.crash_often(&[0, 3, 5, 0]);
    crashes.run_for(Duration::from_secs(40));
    crashes.update(2, TrafficUpdate::TrialWanted(CRASHING));
    crashes.run_for(CONTACT_TIME);
    crashes.assert_all_keep_it_away();
}
