//! Servers that stop in the middle of the head of an answer: no caller gets an empty or short answer that looks whole.

use {
    glade_standins::site::{CutHead, Reply},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, Site},
    std::time::{Duration, Instant},
};

/// Longest time until a request is sent to the server in question.
const ASKED_WITHIN: Duration = Duration::from_secs(30);
/// Bytes of a head beyond every limit.
const LONG_HEAD_BYTES: usize = 600 << 10;

/// Sends requests to `path` until the server that sends `cut` has had one, and checks the replies to all.
fn assert_none_looks_whole(cut: &CutHead) {
    for path in [CHAT, BATCH, CLAIM, BROWSE] {
        let is_stream = path == CHAT || path == BATCH;
        let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
        let server = site.spawn_cut_head(cut.clone());
        let replaced = if is_stream { &site.engines[0] } else { &site.plain[0] };
        replaced.advertise(server.addr());
        site.add_node();
        site.configure(1);
        site.all_serve();
        let began = Instant::now();
        let before = server.answers();
        while server.answers() == before && began.elapsed() < ASKED_WITHIN {
            let model = is_stream.then_some("m0");
            let ids = [(); 6].map(|()| site.request_id());
            let sent = ids.each_ref().map(|id| site.begin(0, path, model, id));
            for (id, sent) in ids.iter().zip(sent) {
                if let Some(reply) = site.finish(sent) {
                    assert_sound_or_failed(&reply, id, is_stream, cut);
                }
            }
        }
        assert!(server.answers() > before, "the server was asked on {path}");
    }
}

fn assert_sound_or_failed(reply: &Reply, id: &str, is_stream: bool, cut: &CutHead) {
    let is_sound = if is_stream {
        reply.event_ids() == (1..=EVENTS).collect::<Vec<u64>>()
    } else {
        reply.body.ends_with(&format!(" to {id}"))
    };
    let text = &cut.text[..cut.text.len().min(120)];
    assert!(reply.status >= 500 || !reply.whole || is_sound, "{reply:?} after {text:?}");
}

fn assert_all(texts: &[&str]) {
    for text in texts {
        for is_reset in [false, true] {
            assert_none_looks_whole(&CutHead { text: (*text).to_owned(), is_reset });
        }
    }
}

#[test]
fn a_head_that_is_cut_after_an_interim_answer_is_no_answer() {
    assert_all(&[
        "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\nHTTP/1.1 200 O",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ]);
}

#[test]
fn a_body_that_is_cut_in_its_first_chunk_size_is_no_answer() {
    let head = "HTTP/1.1 200 OK\r\n{marks}transfer-encoding: chunked\r\n\r\n";
    let texts = ["1", "1a\r", "5\r\nab"].map(|size| format!("{head}{size}"));
    assert_all(&texts.each_ref().map(String::as_str));
}

#[test]
fn a_head_of_http_1_0_that_is_cut_is_no_answer() {
    assert_all(&["HTTP/1.0 200 OK\r\n{marks}content-le", "HTTP/1.0 200 OK\r\n{marks}\r"]);
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_no_answer() {
    for version in ["1.0", "1.1"] {
        let text = format!("HTTP/{version} 200 OK\r\n{{marks}}\r\n");
        assert_none_looks_whole(&CutHead { text, is_reset: true });
    }
}

#[test]
fn a_head_over_the_size_limit_is_no_answer() {
    let long = "a".repeat(LONG_HEAD_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\n{{marks}}x-long: {long}");
    assert_none_looks_whole(&CutHead { text, is_reset: false });
}

#[test]
fn a_length_that_is_cut_is_no_length() {
    assert_all(&["HTTP/1.1 200 OK\r\n{marks}content-length: 1"]);
}
