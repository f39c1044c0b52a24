//! Requests that continue a stream run at the software version that began it.

mod common;

use {
    common::{Fixture, ms},
    glade_catalog::{ServerRecord, WantedModel},
    glade_dispatch::{
        Coordinator, CoordinatorAction, Refusal, RequestSpec, ServerIdx, StartReply, StartRequest,
        StartVerdict, Verdict,
    },
    glade_types::SoftwareVersion,
    std::{net::SocketAddr, sync::Arc},
};

const NODE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 80);

/// Engines of which each holds the models and runs the version given.
fn engines(engines: &[(&str, &[&str])]) -> Fixture {
    let holds: Vec<&[&str]> = engines.iter().map(|(_, held)| *held).collect();
    let mut fixture = Fixture::engines(&holds);
    for (server, (version, _)) in fixture.view.servers.iter_mut().zip(engines) {
        let version = SoftwareVersion::new(version);
        let record = ServerRecord { version, ..ServerRecord::clone(&server.record) };
        server.record = Arc::new(record);
    }
    fixture.update_view();
    fixture
}

/// A request that continues a stream for `model` that engine `server` has begun.
fn continuation(fixture: &Fixture, model: &str, server: usize) -> RequestSpec {
    let version_hash = fixture.view.servers[server].record.version_hash();
    RequestSpec {
        is_continuation: true,
        software_version: Some(version_hash),
        ..fixture.request(model, 100)
    }
}

fn names(fixture: &Fixture, servers: &[ServerIdx]) -> Vec<String> {
    let mut names: Vec<String> = servers.iter().map(|server| fixture.name(*server)).collect();
    names.sort();
    names
}

#[test]
fn a_continued_stream_runs_at_engines_of_its_version_only() {
    let fixture = engines(&[("v1", &["m"]), ("v2", &["m"]), ("v1", &["m"]), ("v2", &["m"])]);
    let eligible = fixture.eligible_servers(&continuation(&fixture, "m", 1));
    assert_eq!(names(&fixture, &eligible), ["e1", "e3"]);
    let eligible = fixture.eligible_servers(&fixture.request("m", 100));
    assert_eq!(eligible.len(), 4, "a new stream may begin at any version");
}

#[test]
fn versions_of_the_same_name_in_two_services_differ() {
    let fixture = engines(&[("v1", &["m"])]);
    let record = &fixture.view.servers[0].record;
    let service = glade_types::ServiceName::new("other");
    let other = ServerRecord { service, ..ServerRecord::clone(record) };
    assert_ne!(record.version_hash(), other.version_hash());
}

#[test]
fn a_stream_is_refused_at_once_if_no_engine_of_its_version_holds_its_model() {
    let mut fixture = engines(&[("v1", &["m"]), ("v2", &["n"]), ("v2", &["m"])]);
    fixture.expect_model("m", 1, ms(300));
    let request = continuation(&fixture, "m", 0);
    let tag = fixture.view.servers[0].record.key.short_hash();
    let failed = fixture.dispatcher.server_by_tag(tag).expect("a server");
    let refused = fixture.decide(&request, &[failed]);
    assert!(
        matches!(refused, Verdict::Refuse { reason: Refusal::VersionUnavailable, .. }),
        "{refused:?}"
    );
}

#[test]
fn a_continued_stream_waits_for_a_model_that_an_engine_of_its_version_loads() {
    let mut fixture = engines(&[("v1", &["n"]), ("v2", &["m"])]);
    fixture.expect_model("m", 0, ms(300));
    let request = continuation(&fixture, "m", 0);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: true });
    fixture.expect_model("m", 0, ms(4000));
    let refused = fixture.decide(&request, &[]);
    let Verdict::Refuse { retry_after, .. } = refused else { panic!("{refused:?}") };
    assert_eq!(retry_after, ms(4000), "when the model is expected there");
}

#[test]
fn an_adapter_is_waited_for_if_an_engine_of_the_version_holds_its_base_model() {
    let fixture = engines(&[("v1", &["m"]), ("v2", &["m", "m/a1"])]);
    let verdict = fixture.decide(&continuation(&fixture, "m/a1", 0), &[]);
    assert_eq!(verdict, Verdict::Wait { missing: true });
}

#[test]
fn a_coordinator_starts_a_continued_stream_at_its_version() {
    let fixture = engines(&[("v1", &["m"]), ("v2", &["m"]), ("v2", &["m"])]);
    let mut coordinator = Coordinator::new();
    coordinator.update_view(fixture.now, &fixture.view);
    let spec = continuation(&fixture, "m", 0);
    for ticket in 0..6 {
        let request = StartRequest::new(fixture.now, ticket, &spec, Vec::new());
        let actions = coordinator.request_start(fixture.now, NODE, request, ticket);
        let tag = fixture.view.servers[0].record.key.short_hash();
        let granted = StartReply { ticket, verdict: StartVerdict::Go { server: tag } };
        assert_eq!(actions, [CoordinatorAction::Reply { to: NODE, reply: granted }]);
    }
}

#[test]
fn a_coordinator_reports_the_adapter_that_a_continued_stream_waits_for_at_its_version() {
    let fixture = engines(&[("v1", &["m"]), ("v2", &["m", "m/a1"])]);
    let mut coordinator = Coordinator::new();
    coordinator.update_view(fixture.now, &fixture.view);
    let spec = continuation(&fixture, "m/a1", 0);
    let request = StartRequest::new(fixture.now, 1, &spec, Vec::new());
    let actions = coordinator.request_start(fixture.now, NODE, request, 1);
    let wanted =
        WantedModel { name: common::model("m/a1"), software_version: spec.software_version };
    assert!(actions.contains(&CoordinatorAction::ModelMissing(wanted)), "{actions:?}");
}

#[test]
fn a_continued_stream_isnt_refused_for_an_estimate_while_its_caller_waits() {
    let mut fixture = engines(&[("v1", &["m"])]);
    let server = fixture.chosen_server(&fixture.request("m", 500));
    for _ in 0..fixture.view.servers[0].record.slots {
        let long = fixture.request("m", 40_000);
        fixture.dispatcher.begin_request(fixture.now, &long, server);
    }
    let refused = fixture.decide(&fixture.request("m", 500), &[]);
    assert!(matches!(refused, Verdict::Refuse { reason: Refusal::Overloaded, .. }), "{refused:?}");
    let mut request = continuation(&fixture, "m", 0);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: false });
    request.first_byte_deadline = fixture.now;
    assert!(matches!(fixture.decide(&request, &[]), Verdict::Refuse { .. }), "the caller has left");
}
