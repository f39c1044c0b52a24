//! Whom a node asks which software version began a stream, and what it concludes.

use {
    glade_streams::{
        Asker, KnownVersions, LookupAction, NodeState, OriginLookups, Place, StreamAnswer,
        StreamOrigin, StreamQuestion, StreamRecords,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const SERVICE: u32 = 7;
const QUESTION: StreamQuestion = StreamQuestion { stream: 99, service: SERVICE };

fn node(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

/// A node that asks.
struct Node {
    now: Instant,
    records: StreamRecords,
    versions: KnownVersions,
    started_at: Instant,
    in_touch_since: Option<Instant>,
    read_at: Option<Instant>,
    store_is_lost: bool,
    is_leaf: bool,
    upstream: Option<SocketAddr>,
    cores: Vec<SocketAddr>,
    all_are_live: bool,
    lookups: OriginLookups,
}

impl Node {
    /// A core that has run for `uptime`, and knows servers of these versions.
    fn core(uptime: Duration, versions: &[u32]) -> Self {
        let started_at = Instant::now();
        let now = started_at + uptime;
        let mut known = KnownVersions::default();
        known.update(now, versions.iter().map(|version| (SERVICE, *version)));
        Self {
            now,
            records: StreamRecords::new(started_at),
            versions: known,
            started_at,
            in_touch_since: Some(started_at),
            read_at: None,
            store_is_lost: false,
            is_leaf: false,
            upstream: None,
            cores: vec![node(2), node(3)],
            all_are_live: true,
            lookups: OriginLookups::default(),
        }
    }

    fn with<T>(&mut self, act: impl FnOnce(&mut OriginLookups, Instant, &NodeState<'_>) -> T) -> T {
        let mut lookups = std::mem::take(&mut self.lookups);
        let place = match self.is_leaf {
            true => Place::Leaf { upstream: self.upstream },
            false => Place::Core { others: &self.cores, all_are_live: self.all_are_live },
        };
        let state = NodeState {
            records: &self.records,
            versions: &self.versions,
            started_at: self.started_at,
            in_touch_since: self.in_touch_since,
            read_at: self.read_at,
            store_is_lost: self.store_is_lost,
            place,
        };
        let result = act(&mut lookups, self.now, &state);
        self.lookups = lookups;
        result
    }

    fn ask(&mut self) -> Vec<LookupAction> {
        self.with(|lookups, now, state| lookups.ask(now, Asker::Own(1), QUESTION, state))
    }

    fn answer(&mut self, from: u8, origin: StreamOrigin) -> Vec<LookupAction> {
        let answer = StreamAnswer { question: QUESTION, origin };
        self.with(|lookups, now, state| lookups.on_answer(now, node(from), answer, state))
    }

    /// The store has answered a read that begins now.
    fn read(&mut self) -> Vec<LookupAction> {
        self.read_at = Some(self.now);
        self.wait(0)
    }

    fn wait(&mut self, ms: u64) -> Vec<LookupAction> {
        self.now += Duration::from_millis(ms);
        self.with(|lookups, now, state| lookups.advance_all(now, state))
    }
}

fn told(origin: StreamOrigin) -> Vec<LookupAction> {
    let answer = StreamAnswer { question: QUESTION, origin };
    vec![LookupAction::Tell { asker: Asker::Own(1), answer }]
}

fn asks(numbers: &[u8]) -> Vec<LookupAction> {
    let ask = |number: &u8| LookupAction::Ask { to: node(*number), question: QUESTION };
    numbers.iter().map(ask).collect()
}

const MINUTE: Duration = Duration::from_secs(60);
const SETTLED: Duration = Duration::from_secs(2);

#[test]
fn a_node_with_a_record_tells_at_once() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    node.records.add(node.now, QUESTION.stream, 2);
    assert_eq!(node.ask(), told(StreamOrigin::Version(2)));
}

/// A node that had lost the others, and didn't know that, took its version for the only one.
#[test]
fn a_node_that_has_seen_one_version_only_asks_all_others_before_it_concludes() {
    let mut node = Node::core(MINUTE, &[1]);
    assert_eq!(node.ask(), asks(&[2, 3]));
    assert_eq!(node.answer(2, StreamOrigin::Only), []);
    assert_eq!(node.answer(3, StreamOrigin::Only), told(StreamOrigin::Only));
}

#[test]
fn another_node_knows_of_a_version_that_this_one_has_missed() {
    let mut node = Node::core(MINUTE, &[1]);
    node.ask();
    node.answer(2, StreamOrigin::Unknown);
    assert_eq!(node.answer(3, StreamOrigin::Only), told(StreamOrigin::Unknown));
}

/// The store is read after the question came: what was read before doesn't show what has begun since.
#[test]
fn a_node_that_lacks_an_answer_reads_the_store_before_it_concludes() {
    let mut node = Node::core(MINUTE, &[1]);
    node.read();
    node.now += Duration::from_millis(1);
    node.ask();
    node.answer(2, StreamOrigin::Only);
    assert_eq!(node.wait(79), []);
    assert_eq!(node.wait(1), [LookupAction::ReadStore]);
    assert_eq!(node.read(), told(StreamOrigin::Only));
}

#[test]
fn a_node_that_has_lost_a_core_reads_the_store_before_it_concludes() {
    let mut node = Node::core(MINUTE, &[1]);
    node.all_are_live = false;
    node.ask();
    node.answer(2, StreamOrigin::Only);
    assert_eq!(node.answer(3, StreamOrigin::Only), [LookupAction::ReadStore]);
    assert_eq!(node.read(), told(StreamOrigin::Only));
}

#[test]
fn a_node_that_the_store_doesnt_answer_either_refuses_at_once() {
    let mut node = Node::core(MINUTE, &[1]);
    node.cores.clear();
    node.store_is_lost = true;
    assert_eq!(node.ask(), told(StreamOrigin::Unanswered));
}

#[test]
fn a_node_that_was_out_of_touch_reads_the_store_before_it_concludes() {
    for since_s in [None, Some(55)] {
        let mut node = Node::core(MINUTE, &[1]);
        node.in_touch_since = since_s.map(|s| node.started_at + Duration::from_secs(s));
        node.ask();
        node.answer(2, StreamOrigin::Only);
        assert_eq!(node.answer(3, StreamOrigin::Only), [LookupAction::ReadStore]);
    }
}

#[test]
fn a_caller_that_names_no_stream_gets_no_answer_of_before() {
    let question = StreamQuestion { stream: 0, service: SERVICE };
    let ask = |node: &mut Node, number| {
        node.with(|lookups, now, state| lookups.ask(now, Asker::Own(number), question, state))
    };
    let mut node = Node::core(MINUTE, &[1]);
    node.cores.clear();
    assert_eq!(ask(&mut node, 1), [LookupAction::ReadStore]);
    let read_at = node.now;
    node.now += Duration::from_millis(5);
    ask(&mut node, 2);
    node.read_at = Some(read_at);
    let answer = StreamAnswer { question, origin: StreamOrigin::Only };
    let tell = |number| LookupAction::Tell { asker: Asker::Own(number), answer };
    assert_eq!(node.wait(1), [tell(1), LookupAction::ReadStore]);
    assert_eq!(node.read(), [tell(2)]);
}

#[test]
fn a_node_without_a_record_asks_the_other_cores() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    assert_eq!(node.ask(), asks(&[2, 3]));
    assert_eq!(node.answer(2, StreamOrigin::Unknown), []);
    assert_eq!(node.answer(3, StreamOrigin::Version(1)), told(StreamOrigin::Version(1)));
}

#[test]
fn a_stream_that_no_core_knows_is_unknown_where_there_were_several_versions() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    node.ask();
    node.answer(2, StreamOrigin::Unknown);
    assert_eq!(node.answer(3, StreamOrigin::Unknown), told(StreamOrigin::Unknown));
}

#[test]
fn a_core_that_doesnt_answer_is_not_waited_for() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    node.ask();
    node.answer(2, StreamOrigin::Unknown);
    assert_eq!(node.wait(79), []);
    assert_eq!(node.wait(1), told(StreamOrigin::Unknown));
}

#[test]
fn a_record_that_comes_meanwhile_counts() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    node.ask();
    node.records.add(node.now, QUESTION.stream, 2);
    assert_eq!(node.wait(20), told(StreamOrigin::Version(2)));
}

#[test]
fn a_node_that_has_just_started_reads_the_store_before_it_concludes() {
    for (versions, origin) in [(&[1][..], StreamOrigin::Only), (&[1, 2], StreamOrigin::Unknown)] {
        let mut node = Node::core(SETTLED, versions);
        node.cores.clear();
        assert_eq!(node.ask(), [LookupAction::ReadStore]);
        assert_eq!(node.wait(20), [LookupAction::ReadStore]);
        assert_eq!(node.read(), told(origin));
    }
}

#[test]
fn a_version_that_left_before_the_start_is_known_by_the_log() {
    let mut node = Node::core(SETTLED, &[2]);
    node.cores.clear();
    node.ask();
    node.records.add(node.now, 5, 1);
    assert_eq!(node.read(), told(StreamOrigin::Unknown));
}

#[test]
fn a_node_that_has_just_started_believes_a_core_that_saw_several_versions() {
    let mut node = Node::core(SETTLED, &[2]);
    node.ask();
    node.answer(2, StreamOrigin::Unknown);
    assert_eq!(node.answer(3, StreamOrigin::Only), [LookupAction::ReadStore]);
    assert_eq!(node.read(), told(StreamOrigin::Unknown));
}

#[test]
fn a_store_that_cant_be_read_leaves_the_question_open() {
    let mut node = Node::core(SETTLED, &[1]);
    node.cores.clear();
    node.ask();
    assert_eq!(node.wait(1070), [LookupAction::ReadStore]);
    assert_eq!(node.wait(10), told(StreamOrigin::Unanswered));
}

#[test]
fn a_node_that_may_not_know_the_others_yet_asks_those_that_it_learns_of() {
    let mut node = Node::core(Duration::from_millis(100), &[1, 2]);
    let cores = std::mem::take(&mut node.cores);
    assert_eq!(node.ask(), []);
    node.cores = cores;
    assert_eq!(node.wait(300), asks(&[2, 3]));
    assert_eq!(node.answer(2, StreamOrigin::Unanswered), []);
    assert_eq!(node.answer(3, StreamOrigin::Unanswered), [], "there may be others");
    assert_eq!(node.wait(300), [LookupAction::ReadStore]);
}

#[test]
fn a_node_that_became_a_core_lately_asks_the_others() {
    let mut node = Node::core(MINUTE, &[1]);
    node.in_touch_since = Some(node.now);
    assert_eq!(node.ask(), asks(&[2, 3]));
    node.answer(2, StreamOrigin::Only);
    assert_eq!(node.answer(3, StreamOrigin::Only), [LookupAction::ReadStore]);
}

#[test]
fn a_leaf_passes_on_what_its_core_tells() {
    let mut leaf = Node::core(MINUTE, &[1]);
    (leaf.is_leaf, leaf.in_touch_since, leaf.upstream) = (true, None, Some(node(9)));
    assert_eq!(leaf.ask(), asks(&[9]), "a leaf hasn't the records of all streams");
    assert_eq!(leaf.answer(9, StreamOrigin::Only), told(StreamOrigin::Only));
    leaf.ask();
    assert_eq!(leaf.wait(250), told(StreamOrigin::Unanswered));
    leaf.upstream = None;
    assert_eq!(leaf.ask(), []);
    assert_eq!(leaf.wait(250), told(StreamOrigin::Unanswered), "it concludes nothing itself");
}

#[test]
fn one_question_answers_all_who_ask_meanwhile() {
    let mut node = Node::core(MINUTE, &[1, 2]);
    node.ask();
    assert_eq!(node.ask(), []);
    let answers = node.answer(2, StreamOrigin::Version(1));
    assert_eq!(answers, [told(StreamOrigin::Version(1)), told(StreamOrigin::Version(1))].concat());
}

#[test]
fn a_core_answers_what_it_can_vouch_for() {
    for (versions, origin) in [
        (&[][..], StreamOrigin::Unanswered),
        (&[1], StreamOrigin::Only),
        (&[1, 2], StreamOrigin::Unknown),
    ] {
        let mut node = Node::core(SETTLED, versions);
        let answer = node.with(|_, _, state| OriginLookups::answer_core(QUESTION, state));
        assert_eq!(answer.origin, origin, "{versions:?}");
    }
}
