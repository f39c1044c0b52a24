//! Streams of the real node while engines of several software versions serve side by side.

use {
    glade_catalog::RequestMetadata,
    glade_standins::site::{Caller, EngineFault, FIRST_VERSION, Reply},
    glade_system::site::{CHAT, EVENTS, Site, caller_terms},
    glade_types::RequestId,
    std::{collections::BTreeSet, time::Duration},
    tokio::task::JoinHandle,
};

/// Version of the engines of a release.
const NEWER: &str = "v2";
/// Events of streams that last for some seconds.
const LONG_EVENTS: u64 = 200;
/// Time after which reports of streams have reached the other nodes and the store.
const REPORT_TIME: Duration = Duration::from_millis(800);
/// Streams of one test. Half of them would go on at another version by chance.
const STREAMS: usize = 10;
/// More than an engine runs at once.
const REQUESTS_TO_FILL_AN_ENGINE: usize = 200;

/// A stream that its node didn't finish.
struct Interrupted {
    id: String,
    reply: Reply,
}

impl Interrupted {
    fn version(&self) -> &str {
        let versions = self.reply.versions();
        assert_eq!(versions.len(), 1, "{:?}", self.reply);
        versions.into_iter().next().expect("a version")
    }

    fn last_event_id(&self) -> u64 {
        self.reply.event_ids().last().copied().expect("an event")
    }

    /// Terms by which its caller takes it up.
    fn resumed_as(&self, id: &str) -> RequestMetadata {
        RequestMetadata {
            last_event_id: Some(self.last_event_id()),
            resumes: Some(RequestId::new(&self.id)),
            ..caller_terms(id, Some("m0"), LONG_EVENTS, &[])
        }
    }
}

/// Two engines of each version, which hold the same model, and `nodes` nodes.
fn two_versions(nodes: usize) -> Site {
    let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    site.add_engine_of(NEWER, &["m0"]);
    site.add_engine_of(NEWER, &["m0"]);
    (0..nodes).for_each(|_| {
        site.add_node();
    });
    site.configure(1);
    site.all_serve();
    site
}

/// Begins long streams at `node`, has `interrupt` end it in their midst, and returns them.
fn interrupted(
    site: &mut Site,
    node: usize,
    interrupt: impl FnOnce(&mut Site),
) -> Vec<Interrupted> {
    let begin = |id: String| {
        let terms = caller_terms(&id, Some("m0"), LONG_EVENTS, &[]);
        (id, site.begin_with_body(Caller::default(), node, CHAT, terms, "body"))
    };
    let sent: Vec<_> = (0..STREAMS).map(|_| begin(site.request_id())).collect();
    let all_run = || sent.iter().all(|(id, _)| !site.log.runs_of(id).is_empty());
    site.eventually("the streams run", all_run);
    site.pause(REPORT_TIME);
    interrupt(site);
    let end = |(id, sent)| Interrupted { reply: site.finish(sent).expect("an answer"), id };
    let streams: Vec<Interrupted> = sent.into_iter().map(end).collect();
    assert!(streams.iter().all(|stream| stream.reply.status == 200 && !stream.reply.whole));
    let versions: BTreeSet<&str> = streams.iter().map(Interrupted::version).collect();
    assert_eq!(versions.len(), 2, "both versions begin streams");
    streams
}

/// Takes `streams` up at `node`. Returns the replies: the rest of each, at its version, or a refusal.
fn take_up(site: &Site, node: usize, streams: &[Interrupted]) -> Vec<Reply> {
    let begin = |stream: &Interrupted| {
        let id = site.request_id();
        let terms = stream.resumed_as(&id);
        (id, site.begin_with_body(Caller::default(), node, CHAT, terms, "body"))
    };
    let sent: Vec<_> = streams.iter().map(begin).collect();
    let end = |(stream, (id, sent)): (&Interrupted, (String, JoinHandle<Option<Reply>>))| {
        let reply = site.finish(sent).expect("an answer");
        let runs = site.log.runs_of(&id);
        if reply.status == 200 {
            let versions: Vec<&str> = reply.versions().into_iter().collect();
            assert_eq!(versions, [stream.version()], "{runs:?}");
            let rest: Vec<u64> = (stream.last_event_id() + 1..=LONG_EVENTS).collect();
            assert_eq!((reply.whole, reply.event_ids()), (true, rest), "{runs:?}");
        } else {
            assert_eq!((reply.status, runs), (503, Vec::new()));
        }
        reply
    };
    streams.iter().zip(sent).map(end).collect()
}

fn assert_go_on(site: &Site, node: usize, streams: &[Interrupted]) {
    for (stream, reply) in streams.iter().zip(take_up(site, node, streams)) {
        assert_eq!(reply.status, 200, "{} of {}: {reply:?}", stream.id, stream.version());
    }
}

fn kill_two(site: &mut Site) {
    site.kill_node(0);
    site.kill_node(1);
}

/// Starts the nodes that were killed.
fn restart_all(site: &mut Site) {
    for node in 0..site.node_count() {
        if !site.has_process(node) {
            site.start_node(node);
        }
    }
    site.all_serve();
}

#[test]
fn a_broken_stream_isnt_continued_at_another_software_version() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.add_engine_of(NEWER, &["m0"]);
    site.engines.iter().for_each(|engine| engine.set_fault(EngineFault::BreaksAfter(4)));
    let versions_seen = || {
        let id = site.request_id();
        let reply = site.send(0, CHAT, Some("m0"), &id).expect("an answer");
        assert_eq!(reply.versions().len(), 1, "{reply:?} {:?}", site.log.runs_of(&id));
        assert!(!reply.whole, "{reply:?}");
        reply.versions().into_iter().map(str::to_owned).collect::<Vec<_>>()
    };
    let mut seen = BTreeSet::new();
    site.eventually("both versions begin a stream", || {
        seen.extend(versions_seen());
        seen.len() == 2
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_engine_of_its_software_version() {
    let site = two_versions(1);
    site.engine_fault(0, EngineFault::BreaksAfter(4));
    site.eventually("a stream is resumed", || {
        let id = site.request_id();
        let reply = site.send(0, CHAT, Some("m0"), &id).expect("an answer");
        let runs = site.log.runs_of(&id);
        assert_eq!((reply.whole, reply.versions().len()), (true, 1), "{reply:?} {runs:?}");
        runs.len() == 2
    });
}

#[test]
fn a_silent_engines_stream_isnt_moved_to_another_software_version() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.add_engine_of(NEWER, &["m0"]);
    site.engine_fault(0, EngineFault::PausesAfter(4));
    site.eventually("a stream begins at the engine that pauses", || {
        let id = site.request_id();
        let reply = site.send(0, CHAT, Some("m0"), &id).expect("an answer");
        let runs = site.log.runs_of(&id);
        let ids: Vec<u64> = (1..=EVENTS).collect();
        assert_eq!((reply.whole, reply.event_ids()), (true, ids), "{reply:?} {runs:?}");
        assert_eq!(reply.versions().len(), 1, "{reply:?} {runs:?}");
        runs[0].version == FIRST_VERSION
    });
}

#[test]
fn a_stream_that_is_taken_up_at_another_node_goes_on_at_the_software_version_that_began_it() {
    let mut site = two_versions(2);
    let streams = interrupted(&mut site, 0, |site| site.kill_node(0));
    assert_go_on(&site, 1, &streams);
}

#[test]
fn a_stream_that_is_taken_up_twice_goes_on_at_the_software_version_that_began_it() {
    let mut site = two_versions(3);
    let streams = interrupted(&mut site, 0, |site| site.kill_node(0));
    let resume = |stream: &Interrupted| {
        let id = site.request_id();
        let terms = stream.resumed_as(&id);
        (id, site.begin_with_body(Caller::default(), 1, CHAT, terms, "body"))
    };
    let sent: Vec<_> = streams.iter().map(resume).collect();
    let all_run = || sent.iter().all(|(id, _)| !site.log.runs_of(id).is_empty());
    site.eventually("the streams run again", all_run);
    site.pause(REPORT_TIME);
    site.kill_node(1);
    let add = |(stream, (_, sent)): (Interrupted, (String, JoinHandle<Option<Reply>>))| {
        let more = site.finish(sent).expect("an answer");
        assert!(!more.whole && !more.event_ids().is_empty(), "{more:?}");
        let body = stream.reply.body.clone() + &more.body;
        Interrupted { reply: Reply { body, ..stream.reply }, ..stream }
    };
    let streams: Vec<Interrupted> = streams.into_iter().zip(sent).map(add).collect();
    assert_go_on(&site, 2, &streams);
}

#[test]
fn a_stream_that_is_taken_up_at_a_node_that_has_just_started_goes_on_at_its_software_version() {
    let mut site = two_versions(3);
    let streams = interrupted(&mut site, 0, kill_two);
    restart_all(&mut site);
    assert_go_on(&site, 1, &streams);
}

#[test]
fn streams_go_on_at_their_software_versions_after_all_nodes_were_killed() {
    let mut site = two_versions(2);
    let streams = interrupted(&mut site, 0, kill_two);
    restart_all(&mut site);
    assert_go_on(&site, 1, &streams);
}

#[test]
fn a_stream_whose_software_version_nobody_knows_is_refused() {
    let mut site = two_versions(2);
    let streams = interrupted(&mut site, 0, |site| site.kill_node(0));
    let stream = Interrupted { id: "another".to_owned(), reply: streams[0].reply.clone() };
    let id = site.request_id();
    for resumes in [Some(RequestId::new("another")), None] {
        let terms = RequestMetadata { resumes, ..stream.resumed_as(&id) };
        let sent = site.begin_with_body(Caller::default(), 1, CHAT, terms, "body");
        let reply = site.finish(sent).expect("an answer");
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(!reply.headers.contains_key("retry-after"), "{reply:?}");
    }
    assert_eq!(site.log.runs_of(&id), Vec::new());
}

#[test]
fn a_stream_of_a_software_version_that_has_left_isnt_continued_after_all_nodes_were_killed() {
    let mut site = two_versions(2);
    let streams = interrupted(&mut site, 0, kill_two);
    site.engines[..2].iter().for_each(|engine| engine.unregister());
    site.engines.drain(..2);
    restart_all(&mut site);
    for (stream, reply) in streams.iter().zip(take_up(&site, 1, &streams)) {
        assert_eq!(reply.status == 200, stream.version() == NEWER, "{reply:?}");
    }
}

/// A site with engines of one version, and a stream that broke as its two nodes were killed.
fn one_version_with_all_nodes_killed() -> (Site, Interrupted) {
    let mut site = Site::start(2, &[&["m0"], &["m0"]]);
    let id = site.request_id();
    let terms = caller_terms(&id, Some("m0"), LONG_EVENTS, &[]);
    let sent = site.begin_with_body(Caller::default(), 0, CHAT, terms, "body");
    site.eventually("the stream runs", || !site.log.runs_of(&id).is_empty());
    site.pause(REPORT_TIME);
    kill_two(&mut site);
    let reply = site.finish(sent).expect("an answer");
    (site, Interrupted { reply, id })
}

#[test]
fn streams_go_on_after_all_nodes_were_killed_where_there_is_one_software_version() {
    let (mut site, stream) = one_version_with_all_nodes_killed();
    restart_all(&mut site);
    assert_go_on(&site, 1, &[stream]);
}

#[test]
fn a_stream_isnt_continued_at_a_software_version_that_came_while_all_nodes_were_down() {
    let (mut site, stream) = one_version_with_all_nodes_killed();
    (0..2).for_each(|_| site.add_engine_of(NEWER, &["m0"]));
    site.engines.drain(..2).for_each(|engine| engine.unregister());
    restart_all(&mut site);
    let replies = take_up(&site, 1, &[stream]);
    assert_eq!(replies[0].status, 503, "{:?}", replies[0]);
}

/// A stream that was taken up waited for a place at the engine of the only version, and went on at one of another
/// version that joined meanwhile.
#[test]
fn a_stream_of_the_only_software_version_doesnt_go_on_at_one_that_joins_while_it_waits() {
    let mut site = Site::start(1, &[&["m0"]]);
    let begin = |terms| site.begin_with_body(Caller::default(), 0, CHAT, terms, "body");
    let long_stream = || caller_terms(&site.request_id(), Some("m0"), LONG_EVENTS, &[]);
    let running: Vec<_> = (0..REQUESTS_TO_FILL_AN_ENGINE).map(|_| begin(long_stream())).collect();
    site.pause(REPORT_TIME);
    let id = site.request_id();
    let terms = RequestMetadata {
        last_event_id: Some(4),
        resumes: Some(RequestId::new("unrecorded")),
        ..caller_terms(&id, Some("m0"), LONG_EVENTS, &[])
    };
    let sent = begin(terms);
    site.eventually("the request waits", || {
        let log = site.node_log(0);
        log.lines().any(|line| line.contains("request_waits") && line.contains(&id))
    });
    site.add_engine_of(NEWER, &["m0"]);
    let reply = site.finish(sent).expect("an answer");
    running.into_iter().for_each(|sent| sent.abort());
    let runs = site.log.runs_of(&id);
    assert!(runs.iter().all(|run| run.version == FIRST_VERSION), "{reply:?} {runs:?}");
}

/// A node stood still while a release went on. Streams of the new version that were taken up there right afterwards went
/// on at the old one.
#[test]
fn a_stream_isnt_continued_at_another_software_version_at_a_node_that_stood_still() {
    let mut site = Site::start(2, &[&["m0"], &["m0"]]);
    take_up_unrecorded(&site, 0);
    site.pause_node(0);
    (0..2).for_each(|_| site.add_engine_of(NEWER, &["m0"]));
    site.eventually("a stream begins at the newer version", || {
        let id = site.request_id();
        let reply = site.send(1, CHAT, Some("m0"), &id).expect("an answer");
        reply.versions().contains(NEWER)
    });
    let streams = interrupted(&mut site, 1, |site| site.kill_node(1));
    site.resume_node(0);
    take_up(&site, 0, &streams);
}

/// Takes up a stream that no node knows, so that the node reads what the store has of streams.
fn take_up_unrecorded(site: &Site, node: usize) {
    let id = site.request_id();
    let terms = RequestMetadata {
        last_event_id: Some(4),
        resumes: Some(RequestId::new("unrecorded")),
        ..caller_terms(&id, Some("m0"), EVENTS, &[])
    };
    let sent = site.begin_with_body(Caller::default(), node, CHAT, terms, "body");
    assert_eq!(site.finish(sent).expect("an answer").status, 200);
}

/// A node stood still while an engine was upgraded under its name. Callers that had sent requests meanwhile got streams of
/// the new version that the node reported as ones of the old.
#[test]
fn a_node_that_stood_still_doesnt_take_an_upgraded_engine_for_its_former_version() {
    let site = Site::start(2, &[&["m0"]]);
    site.pause_node(0);
    site.engines[0].set_version(NEWER);
    site.crash_engine(0);
    site.eventually("a stream begins at the newer version", || {
        let id = site.request_id();
        let reply = site.send(1, CHAT, Some("m0"), &id);
        reply.is_some_and(|reply| reply.versions().contains(NEWER))
    });
    let begin = |id: String| {
        let terms = caller_terms(&id, Some("m0"), EVENTS, &[]);
        (id, site.begin_with_body(Caller::default(), 0, CHAT, terms, "body"))
    };
    let sent: Vec<_> = (0..STREAMS).map(|_| begin(site.request_id())).collect();
    site.pause(REPORT_TIME);
    site.resume_node(0);
    for (id, sent) in sent {
        let reply = site.finish(sent).expect("an answer");
        let log = site.node_log(0);
        let is_send = |line: &&str| line.contains("request_sent") && line.contains(&id);
        let sends: Vec<&str> = log.lines().filter(is_send).collect();
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(sends.iter().all(|line| line.contains(r#""version":"v2""#)), "{sends:?}");
    }
}
