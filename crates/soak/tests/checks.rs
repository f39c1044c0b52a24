//! The checks find what they are there for.

use {
    glade_catalog::RequestMetadata,
    glade_soak::{Seen, check, check_overlap, check_unanswered},
    glade_standins::site::{Caller, EngineFault, Reply},
    glade_system::site::{CHAT, EVENTS, HOST, Site, TIME_LIMIT},
    glade_types::{ModelName, RequestId},
    std::time::Duration,
    tokio::task::JoinHandle,
};

const ID: &str = "request-1";

/// Two engines that nobody but the test asks.
fn engines(faults: [EngineFault; 2]) -> Site {
    let site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    site.engines.iter().zip(faults).for_each(|(engine, fault)| engine.set_fault(fault));
    site
}

fn begin(site: &Site, engine: usize) -> JoinHandle<Option<Reply>> {
    let addr = site.engines[engine].addr();
    let terms = RequestMetadata {
        request_id: Some(RequestId::new(ID)),
        model: Some(ModelName::new("m0")),
        ..RequestMetadata::default()
    };
    site.runtime()
        .spawn(async move { Caller::default().send(addr, "POST", HOST, CHAT, &terms, "").await })
}

fn seen(reply: Option<Reply>) -> Seen {
    let (id, took) = (ID.to_owned(), Duration::from_secs(2));
    Seen { id, path: CHAT, node: 0, is_calm: true, took, events: EVENTS, reply }
}

fn reply(status: u16, whole: bool) -> Option<Reply> {
    Some(Reply { status, headers: Default::default(), body: String::new(), whole })
}

fn is_broken(seen: &Seen, site: &Site) -> bool {
    let promise = "what sound servers run is answered";
    check(seen, &site.log).iter().any(|violation| violation.promise == promise)
}

#[test]
fn a_sound_engines_stream_must_be_answered() {
    let site = engines([EngineFault::PausesAfter(2), EngineFault::BreaksAfter(2)]);
    site.finish(begin(&site, 0));
    for (status, whole) in [(200, false), (502, true)] {
        let cut = seen(reply(status, whole));
        assert!(is_broken(&cut, &site), "{status}");
        assert!(!is_broken(&Seen { is_calm: false, ..cut.clone() }, &site));
        assert!(!is_broken(&Seen { took: TIME_LIMIT, ..cut.clone() }, &site));
    }
    assert!(is_broken(&seen(None), &site));
    assert!(!is_broken(&seen(reply(200, true)), &site));
    site.finish(begin(&site, 1));
    assert!(!is_broken(&seen(None), &site), "one of its engines broke off");
}

#[test]
fn two_engines_that_work_on_a_stream_for_long_are_seen() {
    let site = engines([EngineFault::PausesAfter(2), EngineFault::None]);
    let first = begin(&site, 0);
    site.eventually("it runs", || !site.log.runs().is_empty());
    let second = site.finish(begin(&site, 1));
    site.finish(first);
    site.eventually("it is seen", || check_overlap(&seen(second.clone()), &site.log).is_some());
}

#[test]
fn an_engine_that_fails_a_request_beside_another_is_no_overlap() {
    let site = engines([EngineFault::PausesAfter(2), EngineFault::Fails]);
    let first = begin(&site, 0);
    site.eventually("it runs", || !site.log.runs().is_empty());
    let second = site.finish(begin(&site, 1));
    assert!(site.finish(first).is_some_and(|reply| reply.whole));
    assert_eq!(site.log.runs().len(), 2);
    assert_eq!(check_overlap(&seen(second), &site.log), None);
}

#[test]
fn an_engine_that_stops_before_the_next_begins_is_no_overlap() {
    let site = engines([EngineFault::Hangs, EngineFault::PausesAfter(0)]);
    let first = begin(&site, 0);
    site.eventually("it runs", || !site.log.runs().is_empty());
    first.abort();
    site.eventually("it stops", || site.log.runs()[0].stopped);
    let second = site.finish(begin(&site, 1));
    assert!(second.as_ref().is_some_and(|reply| reply.whole));
    assert_eq!(check_overlap(&seen(second), &site.log), None);
}

#[test]
fn a_request_that_was_read_and_got_no_answer_is_seen() {
    let site = engines([EngineFault::None, EngineFault::Rejects]);
    let is_lost = |seen: &Seen, after_ms| {
        check_unanswered(seen, Duration::from_millis(after_ms), &site.log).is_some()
    };
    let unanswered = seen(None);
    assert!(!is_lost(&unanswered, 200), "it may have crossed the close");
    assert!(is_lost(&unanswered, 201));
    site.finish(begin(&site, 1));
    assert!(is_lost(&unanswered, 0), "it was passed on, and rejected");
    site.finish(begin(&site, 0));
    assert!(is_lost(&unanswered, 0));
    assert!(!is_lost(&Seen { is_calm: false, ..unanswered.clone() }, 0));
    assert!(!is_lost(&Seen { took: TIME_LIMIT, ..unanswered.clone() }, 0));
}

#[test]
fn an_error_in_the_middle_of_a_stream_is_seen() {
    let site = engines([EngineFault::None, EngineFault::None]);
    let stream = |body: &str| {
        let reply = reply(200, false).map(|reply| Reply { body: body.to_owned(), ..reply });
        check(&seen(reply), &site.log)
    };
    assert_eq!(stream("id: 1\ndata: token-1\n\nid: 2\nda"), Vec::new());
    for error in ["data: error\n\n", "HTTP/1.1 500 Internal Server Error\r\n"] {
        let found = stream(&format!("id: 1\ndata: token-1\n\n{error}"));
        let promise = "a stream holds nothing but its events";
        assert!(found.iter().any(|violation| violation.promise == promise), "{error}");
    }
}
