//! Answers of servers with neither a length nor chunks, which end with their connections.

use {
    glade_standins::site::{Reply, SiteServer, UnframedEnd, UnframedServer},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, Site},
    std::time::{Duration, Instant},
};

/// Longest time until a request is sent to the server in question.
const ASKED_WITHIN: Duration = Duration::from_secs(30);

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn events() -> Vec<String> {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}

fn text() -> Vec<String> {
    (0..5).map(|number| format!("piece {number}")).collect()
}

/// Sends requests to `path` until one of the two servers of a service, in whose place one answers with `pieces` and
/// `end`, has had one; returns the replies to all of them.
fn replies(path: &str, pieces: Vec<String>, end: UnframedEnd) -> (Site, Vec<Reply>) {
    let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    let server: UnframedServer = site.spawn_unframed(pieces, end);
    let is_stream = path == CHAT || path == BATCH;
    let replaced: &SiteServer = if is_stream { &site.engines[0] } else { &site.plain[0] };
    replaced.advertise(server.addr());
    site.add_node();
    site.configure(1);
    site.all_serve();
    let mut replies = Vec::new();
    let began = Instant::now();
    while server.answers() == 0 && began.elapsed() < ASKED_WITHIN {
        let model = is_stream.then_some("m0");
        // Beside each other, so that both servers get some.
        let sent = [(); 6].map(|()| site.begin(0, path, model, &site.request_id()));
        replies.extend(sent.into_iter().filter_map(|sent| site.finish(sent)));
    }
    assert!(server.answers() > 0, "the server was asked");
    (site, replies)
}

#[test]
fn a_stream_that_ends_with_its_connection_is_whole() {
    for path in [CHAT, BATCH] {
        let (_site, replies) = replies(path, events(), UnframedEnd::Whole);
        for reply in replies {
            assert!(reply.whole && reply.event_ids() == whole_stream(), "{reply:?}");
        }
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_goes_on_at_another_engine() {
    let (site, replies) = replies(CHAT, events(), UnframedEnd::InsideEvent(4));
    for reply in replies {
        assert!(reply.whole, "{reply:?} {}", site.node_log(0));
        assert_eq!(reply.event_ids(), whole_stream(), "{reply:?}");
        assert_eq!(reply.body, events().concat(), "no half of an event is passed on");
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_and_may_run_once_is_broken_off() {
    let (_site, replies) = replies(BATCH, events(), UnframedEnd::InsideEvent(4));
    let broken: Vec<&Reply> = replies.iter().filter(|reply| !reply.whole).collect();
    assert!(!broken.is_empty(), "{replies:?}");
    for reply in broken {
        assert_eq!(reply.body, events()[..4].concat(), "no half of an event is passed on");
    }
}

#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    let (_site, replies) = replies(CLAIM, text(), UnframedEnd::Whole);
    let of_server = replies.iter().filter(|reply| reply.body == text().concat());
    assert!(of_server.count() > 0, "{replies:?}");
    assert!(replies.iter().all(|reply| reply.whole && reply.status == 200), "{replies:?}");
}

#[test]
fn an_answer_whose_connection_is_reset_isnt_passed_off_as_whole() {
    for path in [CLAIM, BROWSE] {
        let (_site, replies) = replies(path, text(), UnframedEnd::Reset(2));
        for reply in replies {
            let is_piece = reply.body.starts_with("piece");
            assert!(!is_piece || reply.status != 200, "{reply:?}");
        }
    }
}
