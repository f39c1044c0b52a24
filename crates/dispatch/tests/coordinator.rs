//! A coordinator and what it says to the nodes that ask.

mod common;

use {
    common::{Fixture, ms},
    glade_dispatch::{
        Coordinator, CoordinatorAction, Refusal, StartEvent, StartRequest, StartVerdict,
    },
    std::{net::SocketAddr, time::Duration},
};

struct Desk {
    fixture: Fixture,
    coordinator: Coordinator,
    next_ticket: u32,
}

impl Desk {
    fn new(holds: &[&[&str]]) -> Self {
        let fixture = Fixture::engines(holds);
        let mut coordinator = Coordinator::new();
        coordinator.update_view(&fixture.view);
        Self { fixture, coordinator, next_ticket: 0 }
    }

    /// A node asks for a prompt of `tokens`. Returns the ticket and what the coordinator wants done.
    fn ask(&mut self, model: &str, tokens: u32) -> (u32, Vec<CoordinatorAction>) {
        self.next_ticket += 1;
        let ask = self.question(self.next_ticket, model, tokens);
        (self.next_ticket, self.coordinator.request_start(self.fixture.now, node(1), ask, 0))
    }

    fn question(&self, ticket: u32, model: &str, tokens: u32) -> StartRequest {
        StartRequest::new(self.fixture.now, ticket, &self.fixture.need(model, tokens), Vec::new())
    }

    fn end(&mut self, ticket: u32) {
        let event = StartEvent::Ended { ticket, is_good: true, step_us: None };
        self.coordinator.on_event(self.fixture.now, node(1), event);
    }

    fn tick(&mut self) -> Vec<CoordinatorAction> {
        self.coordinator.poll(self.fixture.now)
    }
}

fn node(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn verdicts(notices: &[CoordinatorAction]) -> Vec<(u32, StartVerdict)> {
    let verdict = |notice: &CoordinatorAction| match notice {
        CoordinatorAction::Reply { reply: answer, .. } => Some((answer.ticket, answer.verdict)),
        CoordinatorAction::Forward { .. } | CoordinatorAction::ModelMissing(_) => None,
    };
    notices.iter().filter_map(verdict).collect()
}

fn server(notices: &[CoordinatorAction]) -> u32 {
    match verdicts(notices)[..] {
        [(_, StartVerdict::Go { server })] => server,
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn nodes_that_ask_at_once_get_different_engines() {
    let mut desk = Desk::new(&[&["m"], &["m"], &["m"]]);
    let mut servers: Vec<u32> = (0..3).map(|_| server(&desk.ask("m", 3000).1)).collect();
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 3);
}

#[test]
fn what_would_make_streams_late_waits_until_the_engine_has_read() {
    let mut desk = Desk::new(&[&["m"]]);
    let (first, notices) = desk.ask("m", 5000);
    server(&notices);
    let (second, notices) = desk.ask("m", 5000);
    assert_eq!(verdicts(&notices), [(second, StartVerdict::Queued { missing: false })]);
    assert!(desk.tick().is_empty(), "nothing has changed");
    let event = StartEvent::Answered { ticket: first, after_us: 200_000 };
    desk.coordinator.on_event(desk.fixture.now, node(1), event);
    assert!(
        matches!(verdicts(&desk.tick())[..], [(ticket, StartVerdict::Go { .. })] if ticket == second)
    );
}

#[test]
fn a_question_that_is_repeated_gets_the_same_answer_and_takes_one_place() {
    let mut desk = Desk::new(&[&["m"], &["m"]]);
    let (ticket, notices) = desk.ask("m", 5000);
    let again = desk.question(ticket, "m", 5000);
    let repeated = desk.coordinator.request_start(desk.fixture.now, node(1), again, 9);
    assert_eq!(repeated, notices);
    assert_ne!(server(&desk.ask("m", 5000).1), server(&notices), "the other engine is free");
}

#[test]
fn a_request_that_is_given_up_leaves_its_place_to_the_next() {
    let mut desk = Desk::new(&[&["m"]]);
    let (first, _) = desk.ask("m", 5000);
    let (gone, _) = desk.ask("m", 5000);
    let (next, _) = desk.ask("m", 5000);
    desk.end(gone);
    desk.end(first);
    let verdicts = verdicts(&desk.tick());
    assert!(matches!(verdicts[..], [(ticket, StartVerdict::Go { .. })] if ticket == next));
}

/// A node that was killed says nothing of its requests any more.
#[test]
fn places_of_which_there_is_no_word_expire() {
    let mut desk = Desk::new(&[&["m"]]);
    for _ in 0..40 {
        desk.ask("m", 100);
    }
    desk.fixture.now += Duration::from_secs(30);
    desk.tick();
    let (_, notices) = desk.ask("m", 100);
    server(&notices);
}

#[test]
fn a_far_engine_is_for_the_coordinator_there_and_a_question_is_passed_on_once() {
    let mut desk = Desk::new(&[&["m"], &["n"]]);
    desk.fixture.view.servers[1].same_data_centre = false;
    desk.coordinator.update_view(&desk.fixture.view);
    let (_, notices) = desk.ask("n", 100);
    let [CoordinatorAction::Forward { request: ask, .. }] = &notices[..] else {
        panic!("{notices:?}")
    };
    assert_eq!(ask.reply_to, Some(node(1)));
    let mut passed_on = desk.question(77, "n", 100);
    passed_on.reply_to = Some(node(2));
    let notices = desk.coordinator.request_start(desk.fixture.now, node(3), passed_on, 0);
    assert!(
        !notices.iter().any(|notice| matches!(notice, CoordinatorAction::Forward { .. })),
        "{notices:?}"
    );
}

#[test]
fn a_missing_adapter_is_wished_for_and_waited_for() {
    let mut desk = Desk::new(&[&["m"]]);
    let (ticket, notices) = desk.ask("m/a1", 100);
    assert!(
        notices.contains(&CoordinatorAction::ModelMissing(common::model("m/a1"))),
        "{notices:?}"
    );
    assert_eq!(verdicts(&notices), [(ticket, StartVerdict::Queued { missing: true })]);
    desk.fixture.now += ms(2400);
    let verdicts = verdicts(&desk.tick());
    let [(_, StartVerdict::Refused { reason, .. })] = verdicts[..] else { panic!("{verdicts:?}") };
    assert_eq!(reason, Refusal::NotResident);
}

#[test]
fn a_server_that_fails_its_requests_is_set_aside_for_all_nodes() {
    let mut desk = Desk::new(&[&["m"], &["m"]]);
    let bad = server(&desk.ask("m", 100).1);
    for number in 0..6 {
        let event = StartEvent::Failed { server: bad, weight: 1 };
        desk.coordinator.on_event(desk.fixture.now, node(number), event);
    }
    for _ in 0..4 {
        assert_ne!(server(&desk.ask("m", 100).1), bad);
    }
}

#[test]
fn names_that_arent_known_get_no_answer() {
    let mut desk = Desk::new(&[&["m"]]);
    assert!(desk.ask("unheard-of", 100).1.is_empty(), "the node decides by itself");
}
