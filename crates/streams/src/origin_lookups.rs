//! Finds out which software version began a stream: whom a node asks, for how long it waits, and what
//! it concludes.

use {
    crate::{
        known_versions::KnownVersions,
        stream_origin::{StreamAnswer, StreamOrigin, StreamQuestion},
        stream_records::StreamRecords,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a leaf waits for its core's answer.
const UPSTREAM_WAIT: Duration = Duration::from_millis(250);
/// Time for which a core waits for the other cores' answers.
const CORES_WAIT: Duration = Duration::from_millis(80);
/// Time for which a node waits for the store's answer.
const STORE_WAIT: Duration = Duration::from_secs(1);
/// Time after the start of a node until which it may not know yet which other nodes there are.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// Who wants to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// The request of this node with this number.
    Own(u32),
    /// The node that receives answers at this address.
    Node(SocketAddr),
}

/// Place of a node in the mesh.
#[derive(Clone, Copy, Debug)]
pub enum Place<'a> {
    /// A node that gets the records of all streams.
    Core {
        /// The other live cores.
        others: &'a [SocketAddr],
        /// Each core that this node has known lately is live.
        all_are_live: bool,
    },
    /// A node that has the records of its own streams alone.
    Leaf {
        /// The core that answers for it.
        upstream: Option<SocketAddr>,
    },
}

/// What a node knows when it looks for the origin of a stream.
#[derive(Debug)]
pub struct NodeState<'a> {
    /// Records of streams.
    pub records: &'a StreamRecords,
    /// Software versions of servers.
    pub versions: &'a KnownVersions,
    /// When the node started.
    pub started_at: Instant,
    /// Since when the node has been a core that was in touch with the store or with all other cores;
    /// `None` if it isn't.
    pub in_touch_since: Option<Instant>,
    /// When the latest read of the servers' entries and of the log of streams began that was answered.
    pub read_at: Option<Instant>,
    /// The store doesn't answer this node.
    pub store_is_lost: bool,
    /// The node's place in the mesh.
    pub place: Place<'a>,
}

impl NodeState<'_> {
    fn known(&self, question: &StreamQuestion) -> Option<StreamOrigin> {
        self.records.get(question.stream).map(StreamOrigin::Version)
    }

    /// True if the node knows of all versions at which a stream can have begun that can still go on, up to
    /// when it was last in touch.
    fn knows_past(&self, now: Instant) -> bool {
        self.in_touch_since.is_some_and(|since| {
            let has_seen_all = now.saturating_duration_since(since) >= KnownVersions::COUNTED_FOR;
            has_seen_all || self.read_at.is_some_and(|at| at >= since)
        })
    }

    /// True if a read that was answered began after `asked_at`. Whatever version a stream had begun at by
    /// then was in the store.
    fn has_read_since(&self, asked_at: Instant) -> bool {
        self.read_at.is_some_and(|at| at >= asked_at)
    }

    /// What this node concludes about a stream of which nobody has a record, if it knows all versions.
    fn conclusion(&self, question: &StreamQuestion) -> StreamOrigin {
        match self.versions.count(question.service) {
            // The node doesn't know the servers yet.
            0 => StreamOrigin::Unanswered,
            _ if self.only_version(question.service).is_some() => StreamOrigin::Only,
            _ => StreamOrigin::Unknown,
        }
    }

    fn only_version(&self, service: u32) -> Option<u32> {
        self.versions.single(service, self.records.versions())
    }
}

/// What is to be done for the lookups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupAction {
    /// Ask a node.
    Ask {
        /// Its address.
        to: SocketAddr,
        /// The question.
        question: StreamQuestion,
    },
    /// Give an answer.
    Tell {
        /// Who asked.
        asker: Asker,
        /// The answer.
        answer: StreamAnswer,
    },
    /// Read the servers' entries and the log of streams from the store.
    ReadStore,
}

/// Whose answer a lookup waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Upstream,
    Cores,
    Store,
}

#[derive(Clone, Debug)]
struct Lookup {
    /// Those who want to know, and since when.
    askers: Vec<(Asker, Instant)>,
    stage: Stage,
    /// End of the wait for other nodes' answers.
    until: Instant,
    /// The nodes that were asked.
    asked: BTreeSet<SocketAddr>,
    /// Those that haven't answered.
    unanswered: BTreeSet<SocketAddr>,
    /// A node has answered that there were several versions.
    has_several: bool,
}

/// Lookups that have yet to end.
#[derive(Clone, Debug, Default)]
pub struct OriginLookups {
    by_question: BTreeMap<StreamQuestion, Lookup>,
}

impl OriginLookups {
    /// True if lookups wait for an answer.
    pub fn are_open(&self) -> bool {
        !self.by_question.is_empty()
    }

    /// Handles a `question` of this node's requests, or of a leaf.
    pub fn ask(
        &mut self,
        now: Instant,
        asker: Asker,
        question: StreamQuestion,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        if let Some(origin) = node.known(&question) {
            return vec![tell(asker, question, origin)];
        }
        if let Some(lookup) = self.by_question.get_mut(&question) {
            lookup.join(now, asker, &question);
        } else {
            let settled_at = node.started_at + SETTLING_TIME;
            let (stage, until) = match node.place {
                Place::Leaf { .. } => (Stage::Upstream, now + UPSTREAM_WAIT),
                Place::Core { .. } => (Stage::Cores, (now + CORES_WAIT).max(settled_at)),
            };
            let lookup = Lookup {
                askers: vec![(asker, now)],
                stage,
                until,
                asked: BTreeSet::new(),
                unanswered: BTreeSet::new(),
                has_several: false,
            };
            self.by_question.insert(question, lookup);
        }
        self.advance(now, question, node)
    }

    /// Answers a `question` of another core from this node's own state. That nobody knows isn't this
    /// node's to say: the answer is that there were several versions, or only one.
    pub fn answer_core(question: StreamQuestion, node: &NodeState<'_>) -> StreamAnswer {
        let origin = node.known(&question).unwrap_or_else(|| node.conclusion(&question));
        StreamAnswer { question, origin }
    }

    /// Handles the `answer` of the node at `from`.
    pub fn on_answer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        answer: StreamAnswer,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        let question = answer.question;
        let Some(lookup) = self.by_question.get_mut(&question) else { return Vec::new() };
        lookup.unanswered.remove(&from);
        if matches!(answer.origin, StreamOrigin::Version(_)) || lookup.stage == Stage::Upstream {
            return self.end(question, answer.origin);
        }
        lookup.has_several |= answer.origin == StreamOrigin::Unknown;
        self.advance(now, question, node)
    }

    /// Goes on with all lookups, after some time, after records were added or after the log was read.
    pub fn advance_all(&mut self, now: Instant, node: &NodeState<'_>) -> Vec<LookupAction> {
        let questions: Vec<StreamQuestion> = self.by_question.keys().copied().collect();
        questions.into_iter().flat_map(|question| self.advance(now, question, node)).collect()
    }

    fn advance(
        &mut self,
        now: Instant,
        question: StreamQuestion,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        if let Some(origin) = node.known(&question) {
            return self.end(question, origin);
        }
        let Some(lookup) = self.by_question.get_mut(&question) else { return Vec::new() };
        match lookup.stage {
            Stage::Upstream => self.advance_upstream(now, question, node),
            Stage::Cores => self.advance_cores(now, question, node),
            Stage::Store => self.advance_store(now, question, node),
        }
    }

    fn advance_upstream(
        &mut self,
        now: Instant,
        question: StreamQuestion,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        let Some(lookup) = self.by_question.get_mut(&question) else { return Vec::new() };
        if now >= lookup.until {
            return self.end(question, StreamOrigin::Unanswered);
        }
        match &node.place {
            Place::Leaf { upstream } => lookup.ask_new(question, upstream.as_slice()),
            Place::Core { .. } => Vec::new(),
        }
    }

    fn advance_cores(
        &mut self,
        now: Instant,
        question: StreamQuestion,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        let Some(lookup) = self.by_question.get_mut(&question) else { return Vec::new() };
        let (others, all_are_live) = match node.place {
            Place::Core { others, all_are_live } => (others, all_are_live),
            Place::Leaf { .. } => (&[][..], false),
        };
        let mut actions = lookup.ask_new(question, others);
        let is_settled = now >= node.started_at + SETTLING_TIME;
        let is_answered = is_settled && lookup.unanswered.is_empty();
        if !is_answered && now < lookup.until {
            return actions;
        }
        let all_have_answered = is_answered && all_are_live && !lookup.asked.is_empty();
        let origin = lookup.origin(node.conclusion(&question));
        if node.knows_past(now) && (all_have_answered || origin == StreamOrigin::Unknown) {
            return self.end(question, origin);
        }
        lookup.stage = Stage::Store;
        actions.extend(self.advance_store(now, question, node));
        actions
    }

    fn advance_store(
        &mut self,
        now: Instant,
        question: StreamQuestion,
        node: &NodeState<'_>,
    ) -> Vec<LookupAction> {
        let Some(lookup) = self.by_question.get_mut(&question) else { return Vec::new() };
        let origin = lookup.origin(node.conclusion(&question));
        let mut actions = Vec::new();
        lookup.askers.retain(|(asker, asked_at)| {
            let is_over = now.saturating_duration_since(*asked_at) >= CORES_WAIT + STORE_WAIT;
            let origin = match node.has_read_since(*asked_at) {
                true => origin,
                false if is_over || node.store_is_lost => StreamOrigin::Unanswered,
                false => return true,
            };
            actions.push(tell(*asker, question, origin));
            false
        });
        if lookup.askers.is_empty() {
            self.by_question.remove(&question);
        } else {
            actions.push(LookupAction::ReadStore);
        }
        actions
    }

    fn end(&mut self, question: StreamQuestion, origin: StreamOrigin) -> Vec<LookupAction> {
        let Some(lookup) = self.by_question.remove(&question) else { return Vec::new() };
        lookup.askers.into_iter().map(|(asker, _)| tell(asker, question, origin)).collect()
    }
}

impl Lookup {
    /// Adds one who wants to know. A stream that its caller doesn't name may have begun after the others
    /// were asked.
    fn join(&mut self, now: Instant, asker: Asker, question: &StreamQuestion) {
        self.askers.push((asker, now));
        if !question.is_named() {
            self.asked.clear();
            self.unanswered.clear();
        }
    }

    /// The origin by the answers of others and the `conclusion` of this node.
    fn origin(&self, conclusion: StreamOrigin) -> StreamOrigin {
        if self.has_several { StreamOrigin::Unknown } else { conclusion }
    }

    /// Asks those of `nodes` that weren't asked yet.
    fn ask_new(&mut self, question: StreamQuestion, nodes: &[SocketAddr]) -> Vec<LookupAction> {
        let new: Vec<SocketAddr> =
            nodes.iter().filter(|node| self.asked.insert(**node)).copied().collect();
        self.unanswered.extend(&new);
        new.into_iter().map(|to| LookupAction::Ask { to, question }).collect()
    }
}

fn tell(asker: Asker, question: StreamQuestion, origin: StreamOrigin) -> LookupAction {
    LookupAction::Tell { asker, answer: StreamAnswer { question, origin } }
}
