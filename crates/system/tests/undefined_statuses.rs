//! Engines and services whose answers have a status that HTTP doesn't define: nobody gets it as an answer.

use {
    glade_standins::site::{RawAnswer, Reply},
    glade_system::{
        Cluster,
        site::{BATCH, BROWSE, CHAT, CLAIM, Site},
    },
    std::time::{Duration, Instant},
};

const STATUS_LINES: [&str; 4] =
    ["HTTP/1.1 000 ", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 ", "HTTP/1.1 999 "];
/// Longest time until a request is sent to the server in question.
const ASKED_WITHIN: Duration = Duration::from_secs(30);

/// Replies to requests to `path` while one server of each service answers with `status`.
fn replies(path: &str, status: &'static str) -> Vec<Reply> {
    let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    let answer = RawAnswer { status, headers: "content-length: 2\r\n", body: "ok" };
    let server = site.replace_engine_by(0, answer);
    site.plain[0].advertise(server.addr());
    site.add_node();
    site.configure(1);
    site.all_serve();
    let model = (path == CHAT || path == BATCH).then_some("m0");
    let mut replies = Vec::new();
    let began = Instant::now();
    while server.answers() == 0 && began.elapsed() < ASKED_WITHIN {
        // Beside each other, so that both servers get some.
        let sent = [(); 6].map(|()| site.begin(0, path, model, &site.request_id()));
        replies.extend(sent.into_iter().filter_map(|sent| site.finish(sent)));
    }
    assert!(server.answers() > 0, "the server was asked");
    replies
}

#[test]
fn a_caller_of_a_node_never_gets_an_undefined_status() {
    for status in STATUS_LINES {
        // The requests may run again.
        for path in [CHAT, BROWSE] {
            let replies = replies(path, status);
            assert!(replies.iter().all(|reply| reply.status == 200), "{path} {status} {replies:?}");
        }
        // It isn't known whether the server has run these.
        for path in [BATCH, CLAIM] {
            let replies = replies(path, status);
            let is_defined = |reply: &Reply| matches!(reply.status, 200 | 502);
            assert!(replies.iter().all(is_defined), "{path} {status} {replies:?}");
        }
    }
}

fn set_faults(cluster: &Cluster, faults: &str) {
    for engine in cluster.shown("/engines").as_array().expect("a list of engines") {
        cluster.faults(engine["name"].as_str().expect("a name"), faults);
    }
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, faults);
    }
}

#[test]
fn a_caller_of_an_entry_never_gets_an_undefined_status() {
    let cluster = Cluster::start(1);
    for status in [600, 999] {
        set_faults(&cluster, &format!(r#"{{"status": {status}}}"#));
        for stream in [true, false] {
            let body = format!(
                r#"{{"model": "chat", "stream": {stream}, "max_tokens": 12, "messages": []}}"#
            );
            let reply = cluster.call(0, "/v1/chat/completions", &[], &body).expect("an answer");
            // 503 if all engines are out of rotation by then.
            assert!(matches!(reply.status, 502 | 503), "{body} {reply:?}");
        }
        for (headers, body) in [(&[][..], "plain"), (&[("idempotency-key", "k")][..], "keyed")] {
            let reply = cluster.call(0, "/services/market/claims", headers, body);
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 502, "{body} {reply:?}");
        }
    }
}
