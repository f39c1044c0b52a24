//! Servers that write an earlier answer once more on a connection that a node keeps.

use {
    glade_standins::site::{EarlierAnswer, EngineFault, RepeatedAt, Reply},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, Site},
};

/// Requests of one test.
const REQUESTS: usize = 40;
/// Statuses that promise a caller that its request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn refusals() -> [EarlierAnswer; 4] {
    let named = EarlierAnswer { names_request: true, ..EarlierAnswer::refusal(503) };
    [503, 421, 429]
        .map(EarlierAnswer::refusal)
        .into_iter()
        .chain([named])
        .collect::<Vec<_>>()
        .try_into()
        .expect("four refusals")
}

/// Sends requests one after another, so that connections are kept; returns them with their replies.
fn send_requests(site: &Site, path: &str) -> Vec<(String, Option<Reply>)> {
    let model = (path == CHAT || path == BATCH).then_some("m0");
    let send = |_| {
        let id = site.request_id();
        let reply = site.send(0, path, model, &id);
        (id, reply)
    };
    (0..REQUESTS).map(send).collect()
}

fn set_faults(site: &Site, fault: EngineFault) {
    site.engines.iter().chain(&site.plain).for_each(|server| server.set_fault(fault));
}

fn statuses(replies: &[(String, Option<Reply>)]) -> Vec<u16> {
    replies.iter().map(|(_, reply)| reply.as_ref().map_or(0, |reply| reply.status)).collect()
}

/// Requests that ran twice, and those that ran and were answered with a promise that they hadn't.
fn broken_promises(site: &Site, replies: &[(String, Option<Reply>)]) -> (usize, usize) {
    let runs = |id: &String| site.log.runs_of(id).len();
    let twice = replies.iter().filter(|(id, _)| runs(id) > 1);
    let is_promised = |reply: &Reply| PROMISES.contains(&reply.status);
    let denied = replies
        .iter()
        .filter(|(id, reply)| runs(id) > 0 && reply.as_ref().is_some_and(is_promised));
    (twice.count(), denied.count())
}

#[test]
fn an_earlier_refusal_written_once_more_doesnt_make_a_request_run_twice_or_deny_its_run() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for path in [CLAIM, BATCH] {
        for refusal in refusals() {
            set_faults(&site, EngineFault::RepeatsAnswer(refusal));
            let replies = send_requests(&site, path);
            assert_eq!(
                broken_promises(&site, &replies),
                (0, 0),
                "{path} {refusal:?} {:?}",
                statuses(&replies)
            );
        }
    }
}

#[test]
fn an_earlier_refusal_written_on_an_idle_connection_says_nothing_of_the_next_request() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for refusal in refusals() {
        let refusal = EarlierAnswer { at: RepeatedAt::Idle, ..refusal };
        set_faults(&site, EngineFault::RepeatsAnswer(refusal));
        let mut replies = Vec::new();
        for _ in 0..4 {
            replies.push(send_requests(&site, CLAIM));
            site.pause(std::time::Duration::from_millis(500));
        }
        let replies = replies.concat();
        assert_eq!(broken_promises(&site, &replies), (0, 0), "{:?}", statuses(&replies));
        let served = replies
            .iter()
            .filter(|(_, reply)| reply.as_ref().is_some_and(|reply| reply.status == 200));
        assert_eq!(served.count(), replies.len(), "{:?}", statuses(&replies));
    }
}

#[test]
fn an_earlier_421_written_once_more_doesnt_have_its_server_taken_for_gone() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    set_faults(&site, EngineFault::RepeatsAnswer(EarlierAnswer::refusal(421)));
    send_requests(&site, CLAIM);
    send_requests(&site, CHAT);
    let log = site.node_log(0);
    assert!(!log.contains("\"event\":\"server_found_gone\""), "{log}");
}

#[test]
fn requests_that_may_run_again_are_served_in_spite_of_earlier_refusals() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for server in [&site.engines[0], &site.plain[0]] {
        server.set_fault(EngineFault::RepeatsAnswer(EarlierAnswer::refusal(503)));
    }
    for path in [BROWSE, CHAT] {
        let replies = send_requests(&site, path);
        assert_eq!(statuses(&replies), [200; REQUESTS]);
        let is_whole = |reply: &Reply| path == BROWSE || reply.event_ids().len() as u64 == EVENTS;
        assert!(replies.iter().all(|(_, reply)| reply.as_ref().is_some_and(is_whole)));
    }
}

#[test]
fn a_refusal_that_names_its_request_proves_on_a_kept_connection_too_that_it_hasnt_run() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for path in [CLAIM, BATCH] {
        send_requests(&site, path);
        for server in [&site.engines[0], &site.plain[0]] {
            server.set_fault(EngineFault::Rejects);
        }
        let replies = send_requests(&site, path);
        assert_eq!(statuses(&replies), [200; REQUESTS], "{path}");
        assert_eq!(broken_promises(&site, &replies), (0, 0));
    }
    assert!(site.engines[0].rejections() > 0 && site.plain[0].rejections() > 0);
}

#[test]
fn a_refusal_without_a_name_on_a_new_connection_proves_that_its_request_hasnt_run() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for server in [&site.engines[0], &site.plain[0]] {
        server.set_fault(EngineFault::RejectsUnnamed);
    }
    for path in [CLAIM, BATCH] {
        let replies = send_requests(&site, path);
        assert_eq!(statuses(&replies), [200; REQUESTS], "{path}");
        assert_eq!(broken_promises(&site, &replies), (0, 0));
    }
    assert!(site.engines[0].rejections() > 0 && site.plain[0].rejections() > 0);
}

#[test]
fn a_server_that_ran_a_request_and_answered_503_isnt_passed_off_as_having_refused_it() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    for path in [CLAIM, BATCH] {
        // Status 421 by itself states that the request wasn't run.
        for status in [408, 429, 503] {
            set_faults(&site, EngineFault::FailsAs(status));
            let replies = send_requests(&site, path);
            let broken = broken_promises(&site, &replies);
            assert_eq!(broken, (0, 0), "{path} {status} {:?}", statuses(&replies));
        }
    }
}

#[test]
fn an_earlier_answer_to_an_order_isnt_taken_for_that_to_the_next() {
    // Answers that these engines don't give to any order here.
    for (status, name) in [(200, "already_holds"), (412, "fenced"), (421, "other_server")] {
        let site = Site::start(1, &[&["m0"], &["m1"]]);
        let answer = EarlierAnswer { not_run: false, ..EarlierAnswer::refusal(status) };
        set_faults(&site, EngineFault::RepeatsOrderAnswer(answer));
        for model in ["m0/a1", "m0/a2", "m2"] {
            site.eventually("it is served", || {
                let reply = site.send(0, CHAT, Some(model), &site.request_id());
                reply.is_some_and(|reply| reply.status == 200)
            });
        }
        let log = site.node_log(0);
        let answers = log.lines().filter(|line| line.contains("\"order_answered\""));
        let believed = format!("\"answer\":\"{name}\"");
        let wrong: Vec<&str> = answers.filter(|line| line.contains(&believed)).collect();
        assert!(wrong.is_empty(), "{status} {} lines: {wrong:#?}", wrong.len());
    }
}

#[test]
fn an_earlier_answer_to_a_reservation_isnt_taken_for_that_to_the_next() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let answer = EarlierAnswer { not_run: false, ..EarlierAnswer::refusal(421) };
    site.eventually("engine-1 is asked for a place", || {
        // Leaves idle connections to both engines.
        site.engines.iter().for_each(|engine| engine.set_fault(EngineFault::None));
        let sent: Vec<_> =
            (0..8).map(|_| site.begin(0, CHAT, Some("m0"), &site.request_id())).collect();
        sent.into_iter().for_each(|sent| assert!(site.finish(sent).is_some()));
        site.engine_fault(0, EngineFault::PausesAfter(0));
        site.engine_fault(1, EngineFault::RepeatsPlaceAnswer(answer));
        let reply = site.send(0, CHAT, Some("m0"), &site.request_id()).expect("an answer");
        assert_eq!(reply.event_ids().len() as u64, EVENTS, "{reply:?}");
        site.log.places() > 0
    });
    let log = site.node_log(0);
    assert!(!log.contains("\"event\":\"server_found_gone\""), "{log}");
}
