//! Tests of decisions about servers that name limits on their requests.

mod common;

use {
    common::{Fixture, ms},
    glade_dispatch::{Refusal, RequestSpec, Verdict},
    glade_limit::{NamedLimit, PermitGrant, PermitWish, RankCount, StatedLimit},
    std::time::Duration,
};

fn limited(holds: &[&[&str]], limits: &[(usize, f64)]) -> Fixture {
    let mut fixture = Fixture::engines(holds);
    for (server, per_second) in limits {
        let limit =
            NamedLimit { per_second: *per_second, named_at: fixture.now, began_at: fixture.now };
        fixture.view.servers[*server].limit = Some(limit);
    }
    fixture.update_view();
    fixture
}

impl Fixture {
    fn tag(&self, server: usize) -> u32 {
        self.view.servers[server].record.key.short_hash()
    }

    fn grant(&mut self, server: usize, permits: u32, is_probe: bool, waiting: &[(u8, u32)]) {
        let waiting = waiting.iter().map(|(rank, count)| RankCount { rank: *rank, count: *count });
        let (server, waiting) = (self.tag(server), waiting.collect());
        let grant = PermitGrant { server, permits, stamp_ms: 0, is_probe, waiting };
        self.dispatcher.add_permits(self.now, &grant);
    }

    fn send(&mut self, request: &RequestSpec) -> String {
        let server = self.chosen_server(request);
        self.dispatcher.begin_request(self.now, request, server);
        self.name(server)
    }

    fn refused(&self, request: &RequestSpec) -> Duration {
        match self.decide(request, &[]) {
            Verdict::Refuse { reason: Refusal::Limited, retry_after } => retry_after,
            other => panic!("{other:?}"),
        }
    }
}

fn with_rank(request: RequestSpec, rank: u8) -> RequestSpec {
    RequestSpec { rank, ..request }
}

#[test]
fn a_server_that_names_a_limit_gets_requests_for_permits_only() {
    let mut fixture = limited(&[&["m"]], &[(0, 3.0)]);
    let request = fixture.request("m", 100);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: false });
    fixture.grant(0, 2, false, &[]);
    fixture.send(&request);
    fixture.send(&request);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: false });
    fixture.grant(0, 1, false, &[]);
    fixture.now += ms(600);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: false }, "lapsed");
}

#[test]
fn an_own_answer_that_names_a_limit_binds_at_once() {
    let mut fixture = limited(&[&["m"]], &[]);
    let request = fixture.request("m", 100);
    let server = fixture.chosen_server(&request);
    let now = fixture.now;
    fixture.dispatcher.record_stated_limit(now, server, now, StatedLimit::PerSecond(3.0));
    assert!(!fixture.dispatcher.may_send_to(now, server));
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: false });
}

#[test]
fn servers_without_a_limit_go_first_and_a_limited_one_takes_what_they_have_failed() {
    let mut fixture = limited(&[&["m"], &["m"]], &[(0, 50.0)]);
    fixture.grant(0, 9, false, &[]);
    let request = fixture.request("m", 100);
    for _ in 0..5 {
        assert_eq!(fixture.send(&request), "e1");
    }
    let failed = fixture.chosen_server(&request);
    let Verdict::Send(other) = fixture.decide(&request, &[failed]) else { panic!("no server") };
    assert_eq!(fixture.name(other), "e0");
}

#[test]
fn the_most_urgent_waiting_request_uses_the_next_permit() {
    let mut fixture = limited(&[&["m"]], &[(0, 3.0)]);
    let patient = with_rank(fixture.request("m", 100), 2);
    let urgent = with_rank(fixture.request("m", 100), 0);
    let later = fixture.dispatcher.enqueue(&patient, &[]);
    let first = fixture.dispatcher.enqueue(&urgent, &[]);
    fixture.grant(0, 1, false, &[]);
    let decided = fixture.dispatcher.poll_waiting(fixture.now);
    assert_eq!(decided.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [first]);
    fixture.grant(0, 1, false, &[]);
    let decided = fixture.dispatcher.poll_waiting(fixture.now);
    assert_eq!(decided.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [later]);
}

#[test]
fn a_request_that_gets_no_permit_in_time_is_refused_at_once() {
    let mut fixture = limited(&[&["m"]], &[(0, 2.0)]);
    let request = with_rank(fixture.request("m", 100), 1);
    fixture.grant(0, 0, false, &[(0, 3), (1, 6), (2, 50)]);
    // Nine others are as urgent or more so: 5 s, and the caller waits for 2.4 s.
    assert_eq!(fixture.refused(&request), Duration::from_secs(5));
    let urgent = with_rank(fixture.request("m", 100), 0);
    assert_eq!(fixture.decide(&urgent, &[]), Verdict::Wait { missing: false });
}

#[test]
fn refused_callers_return_one_after_the_other_as_the_limit_allows() {
    let mut fixture = limited(&[&["m"]], &[(0, 4.0)]);
    fixture.grant(0, 0, false, &[(0, 40)]);
    let request = fixture.request("m", 100);
    let after = fixture.refused(&request);
    let (now, dispatcher) = (fixture.now, &mut fixture.dispatcher);
    let returns: Vec<Duration> =
        (0..4).map(|_| dispatcher.next_return(now, &request, after)).collect();
    assert!(returns[0] >= after && returns[0] < after + Duration::from_secs(2), "{returns:?}");
    for pair in returns.windows(2) {
        // One of eight nodes: a turn each two seconds.
        assert_eq!(pair[1] - pair[0], Duration::from_secs(2));
    }
}

#[test]
fn callers_whom_many_nodes_refuse_do_not_return_together() {
    for (nodes, per_second) in [(1, 4.0), (8, 4.0), (300, 40.0)] {
        let mut returns = Vec::new();
        for position in 0..nodes {
            let mut fixture = limited(&[&["m"]], &[(0, per_second)]);
            (fixture.view.live_vms, fixture.view.vm_position) = (nodes, position);
            fixture.update_view();
            // Nodes refuse at different moments, and know of different numbers of waiting requests.
            let after_begin = ms(u64::from(position * 17 % 900));
            fixture.now += after_begin;
            fixture.grant(0, 0, false, &[(0, 200 + position * 7 % 90)]);
            let request = fixture.request("m", 100);
            let after = fixture.refused(&request);
            let (now, dispatcher) = (fixture.now, &mut fixture.dispatcher);
            let next = |_| after_begin + dispatcher.next_return(now, &request, after);
            returns.extend((0..3).map(next));
        }
        returns.sort();
        let until = |from: &Duration| *from + Duration::from_secs(1);
        let in_second =
            |from: &Duration| returns.iter().filter(|at| *at >= from && **at < until(from)).count();
        let most = returns.iter().map(in_second).max().unwrap_or(0);
        assert!(most as f64 <= per_second + 1.0, "{nodes} nodes: {most} return in a second");
    }
}

#[test]
fn a_limit_of_zero_is_obeyed() {
    let mut fixture = limited(&[&["m"], &["m"]], &[(0, 0.0)]);
    let request = fixture.request("m", 100);
    for _ in 0..5 {
        assert_eq!(fixture.send(&request), "e1");
    }
    let fixture = limited(&[&["m"]], &[(0, 0.0)]);
    assert_eq!(fixture.refused(&fixture.request("m", 100)), Duration::from_secs(30));
}

#[test]
fn waiting_requests_want_permits_of_the_server_that_takes_them_first() {
    let mut fixture = limited(&[&["m"], &["m"]], &[(0, 1.0), (1, 3.0)]);
    for rank in [1, 0, 1, 0] {
        let request = with_rank(fixture.request("m", 100), rank);
        fixture.dispatcher.enqueue(&request, &[]);
    }
    let wishes = fixture.dispatcher.permit_wishes(fixture.now);
    let total = |wish: &PermitWish| wish.waiting.iter().map(|ranked| ranked.count).sum::<u32>();
    let of = |server: usize| wishes.iter().find(|wish| wish.server == fixture.tag(server));
    assert_eq!((of(0).map(total), of(1).map(total)), (Some(1), Some(3)));
}

#[test]
fn a_probe_goes_to_a_limited_server_though_others_are_free() {
    let mut fixture = limited(&[&["m"], &["m"]], &[(0, 2.0)]);
    let request = fixture.request("m", 100);
    assert!(!fixture.dispatcher.want_probes(fixture.now, &request), "named just now");
    fixture.now += Duration::from_secs(3);
    let request = fixture.request("m", 100);
    assert!(fixture.dispatcher.want_probes(fixture.now, &request));
    let wishes = fixture.dispatcher.permit_wishes(fixture.now);
    assert!(wishes[0].wants_probe && wishes[0].waiting.is_empty(), "{wishes:?}");
    fixture.grant(0, 1, true, &[]);
    assert!(fixture.dispatcher.needs_permit(fixture.now, &request, &[]));
    assert_eq!(fixture.send(&request), "e0");
    assert_eq!(fixture.send(&request), "e1");
}
