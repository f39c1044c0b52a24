//! Reports to other nodes which software versions begin streams, and asks them about the streams that
//! callers take up.
//!
//! In a full mesh each node has the records of all streams, else each core has. A leaf reports its
//! streams to its core, which sends them to the other cores, and asks its core.

use {
    crate::{
        contact::Contact,
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
        stream_store::LoggedStreams,
    },
    glade_streams::{
        Asker, KnownVersions, LookupAction, NodeState, OriginLookups, OriginReply, Place,
        StreamAnswer, StreamOrigin, StreamQuestion, StreamRecords, VersionStreams,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a node collects records before it sends them.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Period at which lookups are checked for those that have waited for long enough.
const LOOKUP_PERIOD: Duration = Duration::from_millis(20);

/// How the store answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreContact {
    /// Time since it answered any node known of.
    pub(crate) silence: Duration,
    /// A call of this node has just failed.
    pub(crate) has_just_failed: bool,
}

/// The latest read of the store for lookups.
#[derive(Clone, Copy, Debug, Default)]
struct StoreRead {
    is_wanted: bool,
    is_under_way: bool,
    /// When the latest one that was answered began.
    answered_from: Option<Instant>,
}

/// Records of streams, and lookups of them.
#[derive(Debug)]
pub(crate) struct StreamExchange {
    records: StreamRecords,
    versions: KnownVersions,
    lookups: OriginLookups,
    /// Records of this node, and of its leaves if it is a core, that weren't sent yet.
    unsent: Vec<(u64, u32)>,
    send_at: Option<Instant>,
    /// Records that were added since the last call of [`Self::take_new_records`].
    new: Vec<(u64, u32)>,
    check_at: Option<Instant>,
    started_at: Instant,
    contact: Contact,
    store_is_lost: bool,
    store_read: StoreRead,
    /// Answers to this node's requests.
    origins: Vec<OriginReply>,
}

impl StreamExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            records: StreamRecords::new(now),
            versions: KnownVersions::default(),
            lookups: OriginLookups::default(),
            unsent: Vec::new(),
            send_at: None,
            new: Vec::new(),
            check_at: None,
            started_at: now,
            contact: Contact::new(now),
            store_is_lost: false,
            store_read: StoreRead::default(),
            origins: Vec::new(),
        }
    }

    /// The records.
    pub(crate) fn records(&self) -> &StreamRecords {
        &self.records
    }

    /// Software versions of servers.
    pub(crate) fn versions(&self) -> &KnownVersions {
        &self.versions
    }

    /// True if a service has had several software versions lately.
    pub(crate) fn has_several_versions(&self) -> bool {
        self.versions.has_several(self.records.versions())
    }

    /// Records the software versions of the known servers, each as its service and version.
    pub(crate) fn on_servers(&mut self, now: Instant, servers: impl Iterator<Item = (u32, u32)>) {
        self.versions.update(now, servers);
    }

    /// Records a stream of this node.
    pub(crate) fn on_begun(&mut self, now: Instant, stream: u64, version: u32) {
        self.add(now, stream, version);
        self.unsent.push((stream, version));
        self.send_at.get_or_insert(now + COLLECT_TIME);
    }

    /// Adds records that another node has sent.
    pub(crate) fn on_records(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        groups: &[VersionStreams],
        network: &mut PeerNetwork,
    ) {
        let is_leaf = network.mesh.leaves.contains(&from.vm);
        for (stream, version) in VersionStreams::records(groups) {
            self.add(now, stream, version);
            if is_leaf {
                self.unsent.push((stream, version));
                self.send_at.get_or_insert(now + COLLECT_TIME);
            }
        }
        self.advance(now, network);
    }

    fn add(&mut self, now: Instant, stream: u64, version: u32) {
        self.records.add(now, stream, version);
        self.new.push((stream, version));
    }

    /// Takes the records that were added since the last call.
    pub(crate) fn take_new_records(&mut self) -> Vec<(u64, u32)> {
        std::mem::take(&mut self.new)
    }

    /// When records are to be sent or lookups checked next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.send_at.into_iter().chain(self.check_at).min()
    }

    /// Does the work that is due.
    pub(crate) fn run_due(&mut self, now: Instant, network: &mut PeerNetwork) {
        if self.send_at.take_if(|at| *at <= now).is_some() {
            let groups = VersionStreams::group(std::mem::take(&mut self.unsent));
            let message = PeerMessage::StreamRecords(groups);
            if network.mesh.is_core {
                network.send_to_cores(now, &message);
            } else {
                network.send_upstream_now(now, &message);
            }
        }
        if self.check_at.take_if(|at| *at <= now).is_some() {
            self.advance(now, network);
        }
    }

    /// Follows whether this node, if it is a core, is in touch with the store and the other cores.
    pub(crate) fn check_contact(
        &mut self,
        now: Instant,
        store: StoreContact,
        network: &PeerNetwork,
    ) {
        let mesh = &network.mesh;
        if mesh.is_core {
            self.contact.check(now, store.silence, mesh.cores.iter(), &network.peers);
        } else {
            self.contact.reset(now);
        }
        self.store_is_lost = store.has_just_failed;
        self.records.drop_outdated(now);
    }

    /// Handles a question of one of this node's requests.
    pub(crate) fn on_own_question(
        &mut self,
        now: Instant,
        number: u32,
        question: StreamQuestion,
        network: &mut PeerNetwork,
    ) {
        self.ask(now, Asker::Own(number), question, network);
    }

    /// Handles questions of another node: looks up those of a leaf, and answers those of a core from this
    /// node's own records.
    pub(crate) fn on_questions(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        questions: Vec<StreamQuestion>,
        network: &mut PeerNetwork,
    ) {
        if network.mesh.leaves.contains(&from.vm) {
            for question in questions {
                self.ask(now, Asker::Node(from.peer_addr), question, network);
            }
            return;
        }
        let neighbours = self.neighbours(now, network);
        let node = self.state(&neighbours);
        let answers: Vec<StreamAnswer> = questions
            .into_iter()
            .map(|question| OriginLookups::answer_core(question, &node))
            .collect();
        network.send(now, from.peer_addr, &PeerMessage::StreamAnswers(answers));
    }

    /// Handles answers of another node.
    pub(crate) fn on_answers(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        answers: Vec<StreamAnswer>,
        network: &mut PeerNetwork,
    ) {
        for answer in answers {
            if let StreamOrigin::Version(version) = answer.origin {
                self.add(now, answer.question.stream, version);
            }
            let neighbours = self.neighbours(now, network);
            let mut lookups = std::mem::take(&mut self.lookups);
            let node = self.state(&neighbours);
            let actions = lookups.on_answer(now, from.peer_addr, answer, &node);
            self.lookups = lookups;
            self.carry_out(now, actions, network);
        }
    }

    /// True, once, if the tables that tell where streams began are to be read from the store.
    pub(crate) fn take_read_wish(&mut self) -> bool {
        let is_due = self.store_read.is_wanted && !self.store_read.is_under_way;
        self.store_read.is_under_way |= is_due;
        self.store_read.is_wanted &= !is_due;
        is_due
    }

    /// Adds what the log of streams has.
    pub(crate) fn on_log_read(
        &mut self,
        now: Instant,
        LoggedStreams { groups, versions }: LoggedStreams,
        network: &mut PeerNetwork,
    ) {
        self.versions.update(now, versions.into_iter());
        for (stream, version) in VersionStreams::records(&groups) {
            if self.records.get(stream).is_none() {
                self.records.add(now, stream, version);
            }
        }
        self.advance(now, network);
    }

    /// Handles the end of a read for lookups, which began at `began_at`. What was read has been added.
    pub(crate) fn on_store_read(
        &mut self,
        now: Instant,
        began_at: Instant,
        is_answered: bool,
        network: &mut PeerNetwork,
    ) {
        self.store_read.is_under_way = false;
        if is_answered {
            self.store_read.answered_from = Some(began_at);
        } else {
            self.store_is_lost = true;
        }
        self.advance(now, network);
    }

    /// Takes the answers to this node's requests.
    pub(crate) fn take_origins(&mut self) -> Vec<OriginReply> {
        std::mem::take(&mut self.origins)
    }

    /// Where this node can ask.
    fn neighbours(&self, now: Instant, network: &PeerNetwork) -> Neighbours {
        if network.mesh.is_core {
            let all_are_live = self.contact.all_cores_are_live(now, &network.peers);
            return Neighbours::Cores { live: network.live_core_addrs(now), all_are_live };
        }
        let upstream = network.upstream_core(now).and_then(|vm| network.peers.addr(vm));
        Neighbours::Upstream(upstream)
    }

    fn state<'a>(&'a self, neighbours: &'a Neighbours) -> NodeState<'a> {
        let place = match neighbours {
            Neighbours::Cores { live, all_are_live } => {
                Place::Core { others: live, all_are_live: *all_are_live }
            }
            Neighbours::Upstream(upstream) => Place::Leaf { upstream: *upstream },
        };
        NodeState {
            records: &self.records,
            versions: &self.versions,
            started_at: self.started_at,
            in_touch_since: self.contact.since(),
            read_at: self.store_read.answered_from,
            store_is_lost: self.store_is_lost,
            place,
        }
    }

    fn ask(
        &mut self,
        now: Instant,
        asker: Asker,
        question: StreamQuestion,
        network: &mut PeerNetwork,
    ) {
        let neighbours = self.neighbours(now, network);
        let mut lookups = std::mem::take(&mut self.lookups);
        let actions = lookups.ask(now, asker, question, &self.state(&neighbours));
        self.lookups = lookups;
        self.carry_out(now, actions, network);
    }

    fn advance(&mut self, now: Instant, network: &mut PeerNetwork) {
        if !self.lookups.are_open() {
            return;
        }
        let neighbours = self.neighbours(now, network);
        let mut lookups = std::mem::take(&mut self.lookups);
        let actions = lookups.advance_all(now, &self.state(&neighbours));
        self.lookups = lookups;
        self.carry_out(now, actions, network);
    }

    fn reply(&self, number: u32, answer: StreamAnswer) -> OriginReply {
        let (origin, version) = match answer.origin {
            StreamOrigin::Version(version) => (answer.origin, Some(version)),
            StreamOrigin::Only => {
                let service = answer.question.service;
                match self.versions.single(service, self.records.versions()) {
                    Some(version) => (answer.origin, Some(version)),
                    // This node, a leaf, knows more versions than its core did.
                    None => (StreamOrigin::Unknown, None),
                }
            }
            StreamOrigin::Unknown | StreamOrigin::Unanswered => (answer.origin, None),
        };
        OriginReply { number, origin, version }
    }

    fn carry_out(&mut self, now: Instant, actions: Vec<LookupAction>, network: &mut PeerNetwork) {
        for action in actions {
            match action {
                LookupAction::Ask { to, question } => {
                    network.send(now, to, &PeerMessage::StreamQuestions(vec![question]));
                }
                LookupAction::Tell { asker: Asker::Own(number), answer } => {
                    let reply = self.reply(number, answer);
                    self.origins.push(reply);
                }
                LookupAction::Tell { asker: Asker::Node(to), answer } => {
                    network.send(now, to, &PeerMessage::StreamAnswers(vec![answer]));
                }
                LookupAction::ReadStore => self.store_read.is_wanted = true,
            }
        }
        self.check_at = self.lookups.are_open().then_some(now + LOOKUP_PERIOD);
    }
}

/// Other nodes that this node can ask.
#[derive(Clone, Debug)]
enum Neighbours {
    /// The other live cores, and whether those are all that this node, a core, has known lately.
    Cores { live: Vec<SocketAddr>, all_are_live: bool },
    /// The core that answers for this node, a leaf.
    Upstream(Option<SocketAddr>),
}
