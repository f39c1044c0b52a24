//! The real node while a server is silent: a request leaves it only for an answer, and isn't lost between
//! two servers.

use {
    glade_catalog::{Catalog, Route},
    glade_standins::site::{EngineFault, Reply, SiteServer},
    glade_system::site::{BROWSE, CHAT, EVENTS, Site, catalog},
    std::time::Duration,
};

/// Time in a server's queue before a rejection; shorter than the rest of its long pause.
const LATE_REJECTION: Duration = Duration::from_millis(400);
/// Longest time for which two engines may work on one request, and a margin.
const OVERLAP: Duration = Duration::from_millis(600);

/// Time until a rejection that comes after the caller of a request at its second engine is expected to leave.
const BEYOND_PATIENCE: Duration = Duration::from_millis(1_350);
/// Time until a rejection of an engine that was silent for so long that others were asked.
const BEYOND_SILENCE: Duration = Duration::from_millis(1_700);

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn servers<'a>(site: &'a Site, path: &str) -> &'a [SiteServer] {
    if path == CHAT { &site.engines } else { &site.plain }
}

/// Sends a request to `path`; the server that runs it does what `first` says, all others from then on
/// what `others` says.
fn send(site: &Site, path: &str, first: EngineFault, others: EngineFault) -> (String, Reply) {
    let servers = servers(site, path);
    servers.iter().for_each(|server| server.set_fault(first));
    let id = site.request_id();
    let sent = site.begin(0, path, (path == CHAT).then_some("m0"), &id);
    site.eventually("it runs", || !site.log.runs_of(&id).is_empty());
    let running = site.log.runs_of(&id)[0].server.clone();
    servers.iter().filter(|other| other.id() != running).for_each(|other| other.set_fault(others));
    let reply = site.finish(sent).expect("an answer");
    (id, reply)
}

fn assert_answered(site: &Site, path: &str, (id, reply): &(String, Reply)) {
    let runs = site.log.runs_of(id);
    let lines = site.node_log(0);
    let lines: Vec<&str> = lines.lines().filter(|line| line.contains(id.as_str())).collect();
    let lines = lines.join("\n");
    assert_eq!((reply.status, reply.whole), (200, true), "{reply:?}\n{runs:?}\n{lines}");
    assert!(path != CHAT || reply.event_ids() == whole_stream(), "{reply:?}\n{runs:?}\n{lines}");
}

/// A site whose engines keep no places.
fn site_without_reservations() -> Site {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let with = catalog(2);
    let services = with.services().cloned().map(|mut service| {
        let class = service.engine_class.as_mut();
        class.into_iter().for_each(|class| class.reservation_max = Duration::ZERO);
        service
    });
    let routes = with.routes().map(|route| Route::clone(route)).collect();
    site.put_catalog(&Catalog::new(2, *with.limits(), routes, services.collect()));
    site.eventually("it is in force", || site.node_log(0).contains("\"version\":2"));
    site
}

/// A server pauses after `events`, and the other keeps the request in its queue before it rejects it: the
/// answer is whole, of one run.
fn assert_kept_when_the_next_rejects_late(site: &Site, path: &str, events: u64) {
    let late = EngineFault::RejectsAfter(LATE_REJECTION);
    let sent = send(site, path, EngineFault::PausesAfter(events), late);
    assert_answered(site, path, &sent);
    assert_eq!(site.log.runs_of(&sent.0).len(), 1, "{:?}", site.log.runs_of(&sent.0));
}

#[test]
fn a_stream_isnt_cut_when_the_next_engine_rejects_it_late() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    assert_kept_when_the_next_rejects_late(&site, CHAT, 4);
}

#[test]
fn a_request_isnt_lost_when_the_next_engine_rejects_it_late() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    assert_kept_when_the_next_rejects_late(&site, CHAT, 0);
}

#[test]
fn a_read_isnt_lost_when_the_next_server_rejects_it_late() {
    let site = Site::start(1, &[&["m0"]]);
    assert_kept_when_the_next_rejects_late(&site, BROWSE, 0);
}

#[test]
fn an_answer_isnt_cut_when_an_engine_without_reservations_rejects_it_late() {
    let site = site_without_reservations();
    assert_kept_when_the_next_rejects_late(&site, CHAT, 4);
    assert_kept_when_the_next_rejects_late(&site, CHAT, 0);
}

/// An engine does what `fault` says after four events, and another takes the stream.
fn assert_resumed_elsewhere(site: &Site, fault: EngineFault) {
    site.engine_fault(0, fault);
    site.eventually("a stream is resumed", || {
        let id = site.request_id();
        let reply = site.send(0, CHAT, Some("m0"), &id).expect("an answer");
        assert_eq!(reply.event_ids(), whole_stream(), "{:?}", site.log.runs_of(&id));
        assert!(reply.whole);
        site.log.runs_of(&id).iter().any(|run| run.resumed_after == Some(4))
    });
}

#[test]
fn a_stream_that_pauses_goes_on_at_an_engine_that_takes_it() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    assert_resumed_elsewhere(&site, EngineFault::PausesAfter(4));
    let resumed = site.log.runs().into_iter().filter(|run| run.resumed_after.is_some());
    assert!(resumed.clone().all(|run| run.reserved), "{:?}", site.log.runs());
}

/// Bytes that make up no event don't keep a stream.
#[test]
fn a_stream_that_trickles_goes_on_at_another_engine() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    assert_resumed_elsewhere(&site, EngineFault::TricklesAfter(4));
}

#[test]
fn a_stream_goes_on_at_an_engine_without_reservations() {
    assert_resumed_elsewhere(&site_without_reservations(), EngineFault::PausesAfter(4));
}

#[test]
fn a_stream_isnt_cut_while_the_engine_that_took_it_over_is_silent() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), EngineFault::PausesAfter(0));
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_broken_stream_isnt_cut_while_the_engine_that_resumes_it_is_silent() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let sent = send(&site, CHAT, EngineFault::BreaksAfter(4), EngineFault::PausesAfter(0));
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_read_isnt_lost_when_the_next_server_breaks_off() {
    let site = Site::start(1, &[&["m0"]]);
    let sent = send(&site, BROWSE, EngineFault::PausesAfter(0), EngineFault::BreaksAfter(0));
    assert_answered(&site, BROWSE, &sent);
}

#[test]
fn a_read_isnt_lost_when_the_next_server_fails_it() {
    let site = Site::start(1, &[&["m0"]]);
    let sent = send(&site, BROWSE, EngineFault::PausesAfter(0), EngineFault::Fails);
    assert_answered(&site, BROWSE, &sent);
}

#[test]
fn a_read_isnt_lost_when_the_silent_server_fails_it_while_the_next_works() {
    let site = Site::start(1, &[&["m0"]]);
    let failed_late = EngineFault::FailsAfter(Duration::from_millis(1_500));
    let sent = send(&site, BROWSE, failed_late, EngineFault::PausesAfter(0));
    assert_answered(&site, BROWSE, &sent);
}

#[test]
fn a_stream_isnt_cut_when_an_engine_without_reservations_breaks_off() {
    let site = site_without_reservations();
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), EngineFault::BreaksAfter(0));
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn two_engines_without_reservations_dont_work_on_one_stream_for_long() {
    let site = site_without_reservations();
    let servers = &site.engines;
    servers.iter().for_each(|server| server.set_fault(EngineFault::PausesAfter(4)));
    let id = site.request_id();
    let sent = site.begin(0, CHAT, Some("m0"), &id);
    site.eventually("it runs", || !site.log.runs_of(&id).is_empty());
    let other = usize::from(site.log.runs_of(&id)[0].server == servers[0].id());
    servers[other].set_fault(EngineFault::PausesAfter(0));
    site.eventually("it is sent to both, or answered", || {
        let runs = site.log.runs_of(&id);
        runs.len() > 1 || runs[0].ended
    });
    site.pause(OVERLAP);
    let runs = site.log.runs_of(&id);
    let working = runs.iter().filter(|run| !run.ended && !run.left).count();
    assert!(working <= 1, "{runs:?}");
    assert_answered(&site, CHAT, &(id, site.finish(sent).expect("an answer")));
}

#[test]
fn a_stream_isnt_cut_when_an_engine_rejects_it_in_spite_of_a_reservation() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), EngineFault::RejectsReserved);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_request_isnt_lost_when_an_engine_rejects_it_in_spite_of_a_reservation() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(0), EngineFault::RejectsReserved);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_stream_isnt_cut_when_an_engine_rejects_it_late_in_spite_of_a_reservation() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let rejects = EngineFault::RejectsReservedAfter(OVERLAP);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), rejects);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_request_isnt_lost_when_an_engine_rejects_it_late_in_spite_of_a_reservation() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let rejects = EngineFault::RejectsReservedAfter(OVERLAP);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(0), rejects);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_request_isnt_lost_when_an_engine_rejects_it_after_its_caller_was_expected_to_leave() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let rejects = EngineFault::RejectsReservedAfter(BEYOND_PATIENCE);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(0), rejects);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_request_isnt_lost_when_a_silent_engine_proves_not_to_have_run_it() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let rejects = EngineFault::RejectsReservedAfter(BEYOND_SILENCE);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(0), rejects);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_stream_isnt_cut_when_a_silent_engine_proves_not_to_have_run_it() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let rejects = EngineFault::RejectsReservedAfter(BEYOND_SILENCE);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), rejects);
    assert_answered(&site, CHAT, &sent);
}

#[test]
fn a_silent_engine_that_is_asked_again_is_a_repeat() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    allow_repeats(&site, 2);
    let rejects = EngineFault::RejectsReservedAfter(BEYOND_SILENCE);
    let (id, reply) = send(&site, CHAT, EngineFault::PausesAfter(4), rejects);
    assert_eq!(site.log.runs_of(&id).len(), 1, "{reply:?} {:?}", site.log.runs_of(&id));
    for event in ["server_left", "repeat_budget_used_up"] {
        site.eventually(event, || site.node_log(0).contains(event));
    }
}

#[test]
fn an_engine_that_says_that_it_leaves_when_it_keeps_a_place_gets_no_request() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let sent = send(&site, CHAT, EngineFault::PausesAfter(4), EngineFault::LeavesWhenAsked);
    assert_answered(&site, CHAT, &sent);
    assert_eq!(site.log.runs_of(&sent.0).len(), 1, "{:?}", site.log.runs_of(&sent.0));
}

/// Allows so many repeats in a while, however many requests there are.
fn allow_repeats(site: &Site, repeats: u32) {
    site.reload_node(0, |text| {
        text.replace(
            "share: 0.2, window_s: 10, reserve: 50",
            &format!("share: 0.0, window_s: 10, reserve: {repeats}"),
        )
    });
    site.eventually("it is in force", || site.node_log(0).contains("\"changed\":\"repeats\""));
}

/// A stream whose engine pauses and then crashes, after all others were asked for a place and kept none.
fn assert_resumed_after_refused_places(mut site: Site) {
    site.engines.iter().for_each(|server| server.set_fault(EngineFault::PausesAfter(4)));
    let id = site.request_id();
    let sent = site.begin(0, CHAT, Some("m0"), &id);
    site.eventually("it runs", || !site.log.runs_of(&id).is_empty());
    let running = site.log.runs_of(&id)[0].server.clone();
    let position = site.engines.iter().position(|server| server.id() == running);
    let running = site.engines.remove(position.expect("an engine"));
    site.engines.iter().for_each(|server| server.set_fault(EngineFault::Rejects));
    site.eventually("no place is kept", || site.node_log(0).contains("\"event\":\"server_kept\""));
    site.engines.iter().for_each(|server| server.set_fault(EngineFault::None));
    drop(running);
    assert_answered(&site, CHAT, &(id, site.finish(sent).expect("an answer")));
}

#[test]
fn a_stream_goes_on_after_its_engine_crashed_though_others_kept_no_place_before() {
    assert_resumed_after_refused_places(Site::start(1, &[&["m0"] as &[&str]; 6]));
}

#[test]
fn a_stream_goes_on_after_its_engine_crashed_though_the_only_other_kept_no_place_before() {
    assert_resumed_after_refused_places(Site::start(1, &[&["m0"], &["m0"]]));
}

#[test]
fn places_that_werent_kept_use_up_none_of_the_bound_on_repeats() {
    let site = Site::start(1, &[&["m0"] as &[&str]; 4]);
    allow_repeats(&site, 3);
    assert_resumed_after_refused_places(site);
}
