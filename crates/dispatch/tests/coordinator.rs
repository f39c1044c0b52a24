//! Tests of the coordinator and its replies to nodes.

mod common;

use {
    common::{Fixture, ms},
    glade_catalog::WantedModel,
    glade_dispatch::{
        ContinuationRequest, Coordinator, CoordinatorAction, Refusal, StartEvent, StartRequest,
        StartVerdict, TeamStartRequest,
    },
    std::{net::SocketAddr, time::Duration},
};

struct CoordinatorFixture {
    cluster: Fixture,
    coordinator: Coordinator,
    next_ticket: u32,
}

impl CoordinatorFixture {
    fn new(holds: &[&[&str]]) -> Self {
        let cluster = Fixture::engines(holds);
        let mut coordinator = Coordinator::new();
        coordinator.update_view(cluster.now, &cluster.view);
        Self { cluster, coordinator, next_ticket: 0 }
    }

    /// Requests the start of a prompt of `tokens` from a node. Returns the ticket and the
    /// coordinator's actions.
    fn request_start(&mut self, model: &str, tokens: u32) -> (u32, Vec<CoordinatorAction>) {
        self.next_ticket += 1;
        let request = self.start_request(self.next_ticket, model, tokens);
        (self.next_ticket, self.coordinator.request_start(self.cluster.now, node(1), request, 0))
    }

    fn start_request(&self, ticket: u32, model: &str, tokens: u32) -> StartRequest {
        StartRequest::new(
            self.cluster.now,
            ticket,
            &self.cluster.request(model, tokens),
            Vec::new(),
        )
    }

    fn end(&mut self, ticket: u32) {
        let event = StartEvent::Ended { ticket, is_good: true, decode_step_us: None };
        self.coordinator.on_event(self.cluster.now, node(1), event);
    }

    fn poll(&mut self) -> Vec<CoordinatorAction> {
        self.coordinator.poll(self.cluster.now)
    }
}

fn node(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

fn verdicts(actions: &[CoordinatorAction]) -> Vec<(u32, StartVerdict)> {
    let verdict = |action: &CoordinatorAction| match action {
        CoordinatorAction::Reply { reply, .. } => Some((reply.ticket, reply.verdict)),
        CoordinatorAction::Forward { .. } | CoordinatorAction::ModelMissing(_) => None,
    };
    actions.iter().filter_map(verdict).collect()
}

fn started_server(actions: &[CoordinatorAction]) -> u32 {
    match verdicts(actions)[..] {
        [(_, StartVerdict::Go { server })] => server,
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn simultaneous_requests_get_different_engines() {
    let mut fixture = CoordinatorFixture::new(&[&["m"], &["m"], &["m"]]);
    let mut servers: Vec<u32> =
        (0..3).map(|_| started_server(&fixture.request_start("m", 3000).1)).collect();
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 3);
}

#[test]
fn a_prompt_that_would_delay_streams_waits_for_the_prefill_before_it() {
    let mut fixture = CoordinatorFixture::new(&[&["m"]]);
    let (first, actions) = fixture.request_start("m", 5000);
    started_server(&actions);
    let (second, actions) = fixture.request_start("m", 5000);
    assert_eq!(verdicts(&actions), [(second, StartVerdict::Queued { missing: false })]);
    assert!(fixture.poll().is_empty(), "nothing has changed");
    let event = StartEvent::Answered { ticket: first, after_us: 200_000 };
    fixture.coordinator.on_event(fixture.cluster.now, node(1), event);
    assert!(
        matches!(verdicts(&fixture.poll())[..], [(ticket, StartVerdict::Go { .. })] if ticket == second)
    );
}

#[test]
fn a_repeated_request_gets_the_same_reply_and_takes_one_slot() {
    let mut fixture = CoordinatorFixture::new(&[&["m"], &["m"]]);
    let (ticket, actions) = fixture.request_start("m", 5000);
    let again = fixture.start_request(ticket, "m", 5000);
    let repeated = fixture.coordinator.request_start(fixture.cluster.now, node(1), again, 9);
    assert_eq!(repeated, actions);
    assert_ne!(
        started_server(&fixture.request_start("m", 5000).1),
        started_server(&actions),
        "the other engine is free"
    );
}

#[test]
fn a_waiting_request_that_is_given_up_makes_way_for_the_next() {
    let mut fixture = CoordinatorFixture::new(&[&["m"]]);
    let (first, _) = fixture.request_start("m", 5000);
    let (gone, _) = fixture.request_start("m", 5000);
    let (next, _) = fixture.request_start("m", 5000);
    fixture.end(gone);
    fixture.end(first);
    let verdicts = verdicts(&fixture.poll());
    assert!(matches!(verdicts[..], [(ticket, StartVerdict::Go { .. })] if ticket == next));
}

/// A node that was killed sends no more events about its requests.
#[test]
fn slots_of_requests_without_events_expire() {
    let mut fixture = CoordinatorFixture::new(&[&["m"]]);
    for _ in 0..40 {
        fixture.request_start("m", 100);
    }
    fixture.cluster.now += Duration::from_secs(30);
    fixture.poll();
    let (_, actions) = fixture.request_start("m", 100);
    started_server(&actions);
}

#[test]
fn requests_for_other_data_centres_are_forwarded_once() {
    let mut fixture = CoordinatorFixture::new(&[&["m"], &["n"]]);
    fixture.cluster.view.servers[1].same_data_centre = false;
    fixture.coordinator.update_view(fixture.cluster.now, &fixture.cluster.view);
    let (_, actions) = fixture.request_start("n", 100);
    let [CoordinatorAction::Forward { request, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(request.reply_to, Some(node(1)));
    let mut forwarded = fixture.start_request(77, "n", 100);
    forwarded.reply_to = Some(node(2));
    let actions = fixture.coordinator.request_start(fixture.cluster.now, node(3), forwarded, 0);
    assert!(
        !actions.iter().any(|action| matches!(action, CoordinatorAction::Forward { .. })),
        "{actions:?}"
    );
}

#[test]
fn a_missing_adapter_is_reported_and_waited_for() {
    let mut fixture = CoordinatorFixture::new(&[&["m"]]);
    let (ticket, actions) = fixture.request_start("m/a1", 100);
    assert!(
        actions.contains(&CoordinatorAction::ModelMissing(WantedModel {
            name: common::model("m/a1"),
            software_version: None,
        })),
        "{actions:?}"
    );
    assert_eq!(verdicts(&actions), [(ticket, StartVerdict::Queued { missing: true })]);
    fixture.cluster.now += ms(2400);
    let verdicts = verdicts(&fixture.poll());
    let [(_, StartVerdict::Refused { reason, .. })] = verdicts[..] else { panic!("{verdicts:?}") };
    assert_eq!(reason, Refusal::NotResident);
}

#[test]
fn a_failing_server_is_ejected_for_all_nodes() {
    let mut fixture = CoordinatorFixture::new(&[&["m"], &["m"]]);
    let failing = started_server(&fixture.request_start("m", 100).1);
    for number in 0..6 {
        let event = StartEvent::Failed { server: failing, weight: 1 };
        fixture.coordinator.on_event(fixture.cluster.now, node(number), event);
    }
    for _ in 0..4 {
        assert_ne!(started_server(&fixture.request_start("m", 100).1), failing);
    }
}

/// Nodes of earlier versions must be able to decode start requests.
#[test]
fn neither_team_nor_continuation_changes_the_encoding_of_a_start_request() {
    let fixture = CoordinatorFixture::new(&[&["m"]]);
    let plain = fixture.start_request(1, "m", 100);
    let with_team = StartRequest { team: Some(7), ..plain.clone() };
    let encoded = |request: &StartRequest| postcard::to_stdvec(request).expect("serializable");
    assert_eq!(encoded(&with_team), encoded(&plain));
    let sent = TeamStartRequest { team: 7, request: plain.clone() };
    assert_eq!(sent.into_request(), with_team);
    let continued = StartRequest { is_continuation: true, software_version: Some(5), ..with_team };
    assert_eq!(encoded(&continued), encoded(&plain));
    let sent = ContinuationRequest { team: Some(7), software_version: Some(5), request: plain };
    assert_eq!(sent.into_request(), continued);
}

#[test]
fn unknown_models_get_no_reply() {
    let mut fixture = CoordinatorFixture::new(&[&["m"]]);
    assert!(fixture.request_start("unheard-of", 100).1.is_empty(), "the node decides by itself");
}
