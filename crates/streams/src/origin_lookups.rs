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
const LOG_WAIT: Duration = Duration::from_secs(1);
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

/// Whether a node has read the log of streams in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogState {
    /// It hasn't, and isn't reading it.
    #[default]
    Unread,
    /// It is reading it.
    Reading,
    /// It has read all rows that were there after its start.
    Read,
}

/// What a node knows when it looks for the origin of a stream.
#[derive(Debug)]
pub struct NodeState<'a> {
    /// Records of streams.
    pub records: &'a StreamRecords,
    /// Software versions of servers.
    pub versions: &'a KnownVersions,
    /// Whether the node has read the log.
    pub log: LogState,
    /// When the node started.
    pub started_at: Instant,
    /// Since when the node has been a core, which gets the records of all streams; `None` on a leaf.
    pub core_since: Option<Instant>,
    /// The core that answers for this node, if it is a leaf.
    pub upstream: Option<SocketAddr>,
    /// The other live cores.
    pub cores: &'a [SocketAddr],
}

impl NodeState<'_> {
    fn known(&self, question: &StreamQuestion) -> Option<StreamOrigin> {
        self.records.get(question.stream).map(StreamOrigin::Version)
    }

    /// True if the node was there when each stream that can still go on began.
    fn has_seen_all(&self, now: Instant) -> bool {
        self.core_since
            .is_some_and(|since| now.saturating_duration_since(since) >= KnownVersions::COUNTED_FOR)
    }

    /// True if all streams of the service are known to have begun at one version.
    fn is_single(&self, service: u32) -> bool {
        self.versions.is_single(service, self.records.versions())
    }

    /// What this node concludes about a stream of which nobody has a record.
    fn conclusion(&self, question: &StreamQuestion) -> StreamOrigin {
        match self.versions.count(question.service) {
            // The node doesn't know the servers yet.
            0 => StreamOrigin::Unanswered,
            1 if self.is_single(question.service) => StreamOrigin::Only,
            _ => StreamOrigin::Unknown,
        }
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
    /// Read the log of streams in the store.
    ReadLog,
}

/// Whose answer a lookup waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Upstream,
    Cores,
    Log,
}

#[derive(Clone, Debug)]
struct Lookup {
    askers: Vec<Asker>,
    stage: Stage,
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
        if node.has_seen_all(now) && node.is_single(question.service) {
            return vec![tell(asker, question, StreamOrigin::Only)];
        }
        if let Some(lookup) = self.by_question.get_mut(&question) {
            lookup.askers.push(asker);
            return Vec::new();
        }
        let settled_at = node.started_at + SETTLING_TIME;
        let (stage, until) = match node.upstream {
            Some(_) => (Stage::Upstream, now + UPSTREAM_WAIT),
            None => (Stage::Cores, (now + CORES_WAIT).max(settled_at)),
        };
        let lookup = Lookup {
            askers: vec![asker],
            stage,
            until,
            asked: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            has_several: false,
        };
        self.by_question.insert(question, lookup);
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
        let mut actions = Vec::new();
        let Some(lookup) = self.by_question.get_mut(&question) else { return actions };
        let is_over = now >= lookup.until;
        match lookup.stage {
            Stage::Upstream => {
                if is_over {
                    return self.end(question, StreamOrigin::Unanswered);
                }
                actions.extend(lookup.ask_new(question, node.upstream.as_slice()));
            }
            Stage::Cores => {
                actions.extend(lookup.ask_new(question, node.cores));
                let is_settled = now >= node.started_at + SETTLING_TIME;
                if is_over || is_settled && lookup.unanswered.is_empty() {
                    (lookup.stage, lookup.until) = (Stage::Log, now + LOG_WAIT);
                    actions.extend(self.advance(now, question, node));
                }
            }
            Stage::Log => {
                let has_several = lookup.has_several;
                if node.log == LogState::Read || node.has_seen_all(now) {
                    let conclusion = node.conclusion(&question);
                    let origin = if has_several { StreamOrigin::Unknown } else { conclusion };
                    return self.end(question, origin);
                }
                if is_over {
                    return self.end(question, StreamOrigin::Unanswered);
                }
                if node.log == LogState::Unread {
                    actions.push(LookupAction::ReadLog);
                }
            }
        }
        actions
    }

    fn end(&mut self, question: StreamQuestion, origin: StreamOrigin) -> Vec<LookupAction> {
        let Some(lookup) = self.by_question.remove(&question) else { return Vec::new() };
        lookup.askers.into_iter().map(|asker| tell(asker, question, origin)).collect()
    }
}

impl Lookup {
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
