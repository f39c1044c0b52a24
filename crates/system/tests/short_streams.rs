//! Streams of which a node can't know that they are complete.

use {
    glade_catalog::{Catalog, RequestMetadata, Route},
    glade_standins::site::{Caller, EngineFault, RawAnswer, Reply, UnframedEnd, UnframedServer},
    glade_system::site::{BATCH, CHAT, EVENTS, HOST, Site, catalog},
    glade_types::{ModelName, RequestId},
    std::time::{Duration, Instant},
};

/// What an engine sends in place of events, with status 200 and a proper end.
const NO_EVENTS: [&str; 6] = [
    "",
    "{\"error\":\"overloaded\"}",
    "data: {\"error\":\"overloaded\"}\n\n",
    "event: error\ndata: overloaded\n\n",
    "id: 9\ndata: token-9\n\n",
    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror",
];
/// Events before a stream breaks off.
const EVENTS_BEFORE_BREAK: u64 = 3;
/// Longest time until a request is sent to the server in question.
const ASKED_WITHIN: Duration = Duration::from_secs(30);

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn events(last: u64) -> String {
    (1..=last).map(event).collect()
}

fn two_engines() -> Site {
    Site::start(1, &[&["m0"], &["m0"]])
}

fn set_faults(site: &Site, fault: EngineFault) {
    site.engines.iter().for_each(|engine| engine.set_fault(fault));
}

fn send(site: &Site, path: &str) -> (String, Reply) {
    let id = site.request_id();
    let reply = site.send(0, path, Some("m0"), &id).expect("an answer");
    (id, reply)
}

/// Asks for what comes after `last_event_id`.
fn resume(site: &Site, last_event_id: u64) -> Reply {
    let terms = RequestMetadata {
        request_id: Some(RequestId::new(&site.request_id())),
        deadline: Some(Duration::from_secs(20)),
        model: Some(ModelName::new("m0")),
        prompt_tokens: 100,
        output_tokens_max: 60,
        last_event_id: Some(last_event_id),
        ..RequestMetadata::default()
    };
    let addr = site.addrs(0).callers;
    let caller = Caller::default();
    let sent = caller.send(addr, "POST", HOST, CHAT, &terms, "body");
    site.runtime().block_on(sent).expect("an answer")
}

fn allow_three_attempts(site: &Site) {
    let usual = catalog(2);
    let routes = usual.routes().map(|route| Route { attempts: 3, ..Route::clone(route) }).collect();
    let services = usual.services().cloned().collect();
    site.put_catalog(&Catalog::new(2, *usual.limits(), routes, services));
    site.eventually("it is in force", || site.node_log(0).contains("\"version\":2"));
}

#[test]
fn a_stream_that_is_resumed_without_events_doesnt_look_complete() {
    let site = two_engines();
    for text in NO_EVENTS {
        set_faults(&site, EngineFault::SpoilsResumed { events: EVENTS_BEFORE_BREAK, text });
        let (id, reply) = send(&site, CHAT);
        assert!(!reply.whole, "{text:?}: {reply:?} {:?}", site.log.runs_of(&id));
        assert_eq!(reply.body, events(EVENTS_BEFORE_BREAK), "{text:?}");
        assert_eq!(site.log.runs_of(&id).len(), 2, "{text:?}");
    }
}

/// Answers that don't continue a stream after [`EVENTS_BEFORE_BREAK`] events.
const NOT_RESUMED: [RawAnswer; 11] = [
    RawAnswer { status: OK, headers: "content-length: 0\r\n", body: "" },
    RawAnswer { status: OK, headers: CHUNKED, body: "0\r\n\r\n" },
    RawAnswer { status: OK, headers: CHUNKED, body: "0\r\ngrpc-status: 13\r\n\r\n" },
    RawAnswer { status: OK, headers: CHUNKED, body: "5\r\nerror\r\n0\r\n\r\n" },
    RawAnswer { status: OK, headers: CHUNKED, body: "HTTP/1.1 500 Error\r\n\r\nerror" },
    RawAnswer {
        status: OK,
        headers: "content-type: application/json\r\n",
        body: "{\"error\":1}\n\n",
    },
    RawAnswer {
        status: OK,
        headers: "content-encoding: gzip\r\n",
        body: "id: 4\ndata: token-4\n\n",
    },
    RawAnswer { status: OK, headers: "content-length: 99\r\n", body: "id: 4\ndata: tok" },
    RawAnswer { status: "HTTP/1.1 204 No Content", headers: "", body: "" },
    RawAnswer { status: "HTTP/1.1 500 Error", headers: "", body: "id: 4\ndata: token-4\n\n" },
    RawAnswer { status: "HTTP/1.1 600 ", headers: "", body: "id: 4\ndata: token-4\n\n" },
];
const OK: &str = "HTTP/1.1 200 OK";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

#[test]
fn a_stream_that_broke_off_doesnt_go_on_with_what_isnt_its_next_event() {
    for answer in NOT_RESUMED {
        let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
        set_faults(&site, EngineFault::SpoilsResumed { events: EVENTS_BEFORE_BREAK, text: "" });
        let server = site.replace_engine_by(1, answer);
        site.add_node();
        site.configure(1);
        site.all_serve();
        site.eventually("a stream is resumed there", || {
            let (_id, reply) = send(&site, CHAT);
            let is_whole = reply.status == 200 && reply.whole;
            assert!(!is_whole, "{answer:?}: {reply:?}");
            let is_part = events(EVENTS_BEFORE_BREAK).starts_with(&reply.body);
            assert!(reply.status != 200 || is_part, "{answer:?}: {reply:?}");
            server.resumes() > 0
        });
    }
}

#[test]
fn a_stream_that_an_engine_resumes_without_events_goes_on_at_a_third() {
    for text in NO_EVENTS {
        // Engines that failed for another text would be avoided.
        let site = Site::start(1, &[&["m0"], &["m0"], &["m0"]]);
        allow_three_attempts(&site);
        set_faults(&site, EngineFault::SpoilsResumed { events: EVENTS_BEFORE_BREAK, text });
        site.engine_fault(2, EngineFault::None);
        site.eventually("a stream is resumed twice", || {
            let (id, reply) = send(&site, CHAT);
            assert!(reply.whole, "{text:?}: {reply:?} {:?}", site.log.runs_of(&id));
            assert_eq!(reply.event_ids(), whole_stream(), "{text:?}");
            site.log.runs_of(&id).len() == 3
        });
    }
}

#[test]
fn a_stream_that_broke_off_after_all_of_its_tokens_is_complete() {
    let site = two_engines();
    set_faults(&site, EngineFault::SpoilsResumed { events: EVENTS, text: "" });
    let (id, reply) = send(&site, CHAT);
    assert!(reply.whole, "{reply:?} {:?}", site.log.runs_of(&id));
    assert_eq!(reply.body, events(EVENTS));
}

#[test]
fn a_caller_that_resumes_a_stream_gets_no_empty_one() {
    let site = two_engines();
    for text in NO_EVENTS {
        set_faults(&site, EngineFault::SendsInstead(text));
        let reply = resume(&site, EVENTS_BEFORE_BREAK);
        assert!(reply.status >= 500, "{text:?}: {reply:?}");
    }
}

#[test]
fn a_caller_that_resumes_a_stream_after_all_of_its_tokens_gets_its_end() {
    let site = two_engines();
    let reply = resume(&site, EVENTS);
    assert_eq!((reply.status, reply.whole, reply.body.as_str()), (200, true, ""), "{reply:?}");
}

#[test]
fn a_stream_without_events_isnt_an_answer() {
    let site = two_engines();
    for path in [CHAT, BATCH] {
        for text in NO_EVENTS.into_iter().filter(|text| !text.starts_with("id")) {
            set_faults(&site, EngineFault::SendsInstead(text));
            let (id, reply) = send(&site, path);
            assert!(reply.status >= 500, "{text:?}: {reply:?} {:?}", site.log.runs_of(&id));
        }
    }
}

#[test]
fn a_stream_without_events_is_answered_by_another_engine() {
    for text in NO_EVENTS.into_iter().filter(|text| !text.starts_with("id")) {
        // An engine that failed for another text would be avoided.
        let site = two_engines();
        site.engine_fault(0, EngineFault::SendsInstead(text));
        site.eventually("a request is sent to both", || {
            let (id, reply) = send(&site, CHAT);
            assert!(reply.whole, "{text:?}: {reply:?} {:?}", site.log.runs_of(&id));
            assert_eq!(reply.event_ids(), whole_stream(), "{text:?}");
            site.log.runs_of(&id).len() == 2
        });
    }
}

/// An engine pauses after `events`, and the other sends no events: the stream stays with the first.
fn assert_kept_when_the_next_sends_no_events(events: u64) {
    let site = two_engines();
    for text in NO_EVENTS.into_iter().filter(|text| events > 0 || !text.starts_with("id")) {
        set_faults(&site, EngineFault::PausesAfter(events));
        let id = site.request_id();
        let sent = site.begin(0, CHAT, Some("m0"), &id);
        site.eventually("it runs", || !site.log.runs_of(&id).is_empty());
        let running = site.log.runs_of(&id)[0].server.clone();
        let others = site.engines.iter().filter(|engine| engine.id() != running);
        others.for_each(|engine| engine.set_fault(EngineFault::SendsInstead(text)));
        let reply = site.finish(sent).expect("an answer");
        let runs = site.log.runs_of(&id);
        assert!(reply.whole, "{text:?}: {reply:?} {runs:?}");
        assert_eq!(reply.event_ids(), whole_stream(), "{text:?}: {runs:?}");
        assert_eq!(runs.len(), 2, "{text:?}: {runs:?}");
    }
}

#[test]
fn a_silent_stream_isnt_left_for_one_without_events() {
    assert_kept_when_the_next_sends_no_events(4);
}

#[test]
fn a_silent_engine_isnt_left_for_a_stream_without_events() {
    assert_kept_when_the_next_sends_no_events(0);
}

/// Sends requests until one of two engines, in whose place one answers with `pieces` and `end`, has had one; all must
/// be answered in full.
fn assert_whole_beside_an_unframed_server(pieces: Vec<String>, end: UnframedEnd) {
    let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    let server: UnframedServer = site.spawn_unframed(pieces, end);
    site.engines[0].advertise(server.addr());
    site.add_node();
    site.configure(1);
    site.all_serve();
    let began = Instant::now();
    while server.answers() == 0 && began.elapsed() < ASKED_WITHIN {
        // Beside each other, so that both servers get some.
        let sent = [(); 6].map(|()| site.begin(0, CHAT, Some("m0"), &site.request_id()));
        for reply in sent.into_iter().filter_map(|sent| site.finish(sent)) {
            assert!(reply.whole, "{reply:?}");
            assert_eq!(reply.body, events(EVENTS));
        }
    }
    assert!(server.answers() > 0, "the server was asked");
}

#[test]
fn a_stream_that_ends_with_its_connection_before_an_event_is_answered_by_another_engine() {
    assert_whole_beside_an_unframed_server(Vec::new(), UnframedEnd::Whole);
}

#[test]
fn an_error_inside_an_event_isnt_passed_on() {
    let pieces = (1..=EVENTS).map(event).collect();
    assert_whole_beside_an_unframed_server(pieces, UnframedEnd::ErrorInsideEvent(4));
}
