//! Tests of single decisions and of the effects of request outcomes on them.

mod common;

use {
    common::{Fixture, ms},
    glade_dispatch::{Load, Refusal, RequestSpec, Verdict},
};

#[test]
fn the_engine_with_the_least_outstanding_prefill_is_chosen() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"], &["n"]]);
    let request = fixture.request("m", 800);
    let first = fixture.chosen_server(&request);
    fixture.dispatcher.begin_request(fixture.now, &request, first);
    let second = fixture.chosen_server(&request);
    assert_ne!(first, second, "the other holder has no outstanding prefill");
}

#[test]
fn the_load_of_other_vms_counts() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    fixture.view.servers[0].other_vms_load = Load {
        in_flight: 3,
        outstanding_prefill_us: 200_000,
        held_tokens: 6000,
        waiting_hundredths: 0,
    };
    fixture.update_view();
    let request = fixture.request("m", 800);
    let chosen = fixture.chosen_server(&request);
    assert_eq!(fixture.name(chosen), "e1");
}

#[test]
fn an_unusable_engine_gets_no_requests() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    fixture.view.servers[0].usable = false;
    fixture.update_view();
    for _ in 0..20 {
        let request = fixture.request("m", 800);
        let chosen = fixture.chosen_server(&request);
        assert_eq!(fixture.name(chosen), "e1");
        let in_flight = fixture.dispatcher.begin_request(fixture.now, &request, chosen);
        fixture.now += ms(400);
        fixture.dispatcher.end_request(in_flight);
    }
}

#[test]
fn a_missing_adapter_is_waited_for_if_its_base_model_is_resident() {
    let fixture = Fixture::engines(&[&["m"]]);
    let request = fixture.request("m/a1", 800);
    let verdict = fixture.decide(&request, &[]);
    assert_eq!(verdict, Verdict::Wait { missing: true });
}

/// Regression test (incident inc-2c2d): a model load took twice as long as expected, and callers
/// were kept waiting for it up to their deadlines.
#[test]
fn an_overdue_model_is_not_waited_for_until_the_deadline() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    fixture.expect_model("n", 0, ms(500));
    let request = fixture.request("n", 800);
    let max_wait = request.first_byte_deadline - fixture.now;
    let mut waited = ms(0);
    while waited < max_wait && matches!(fixture.decide(&request, &[]), Verdict::Wait { .. }) {
        fixture.now += ms(50);
        waited += ms(50);
    }
    assert!(waited > ms(1000), "a load that is a little late is still waited for");
    assert!(waited < max_wait.mul_f64(0.7), "{waited:?} of {max_wait:?}");
    let Verdict::Refuse { reason, retry_after } = fixture.decide(&request, &[]) else {
        panic!("the model can't be ready in time");
    };
    assert_eq!(reason, Refusal::NotResident);
    assert!(retry_after >= ms(500), "{retry_after:?}");
}

#[test]
fn a_model_expected_too_late_is_refused_with_its_ready_time() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    fixture.expect_model("n", 0, ms(4000));
    let request = fixture.request("n", 800);
    let Verdict::Refuse { reason, retry_after } = fixture.decide(&request, &[]) else {
        panic!("callers leave after 2.4 s");
    };
    assert_eq!(reason, Refusal::NotResident);
    assert_eq!(retry_after, ms(4000));
    fixture.expect_model("n", 0, ms(1000));
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: true });
}

#[test]
fn a_model_that_isnt_being_loaded_is_refused_after_the_placement_wait() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let request = fixture.request("n", 800);
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: true });
    fixture.now += ms(500);
    assert!(matches!(fixture.decide(&request, &[]), Verdict::Refuse { .. }));
}

#[test]
fn without_any_server_requests_are_refused_at_once() {
    let fixture = Fixture::engines(&[]);
    let request = fixture.request("m", 800);
    let verdict = fixture.decide(&request, &[]);
    assert!(matches!(verdict, Verdict::Refuse { reason: Refusal::NoServer, .. }), "{verdict:?}");
}

#[test]
fn a_failing_server_is_ejected_but_used_if_there_is_no_other() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let bad = fixture.chosen_server(&request);
    let mut ejection = None;
    for _ in 0..4 {
        ejection = ejection.or(fixture.dispatcher.record_failure(fixture.now, bad, 1));
    }
    assert!(ejection.is_some(), "four failures in a row");
    let other = fixture.chosen_server(&request);
    assert_ne!(other, bad);
    let verdict = fixture.decide(&request, &[other]);
    assert_eq!(verdict, Verdict::Send(bad), "better than none");
}

#[test]
fn repeated_ejections_get_longer() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let bad = fixture.chosen_server(&request);
    let mut times = Vec::new();
    for _ in 0..40 {
        if let Some(time) = fixture.dispatcher.record_failure(fixture.now, bad, 1) {
            times.push(time);
        }
        fixture.now += ms(500);
    }
    assert!(times.windows(2).all(|pair| pair[0] <= pair[1]), "{times:?}");
    assert!(times.len() >= 3 && times[0] < times[times.len() - 1], "{times:?}");
}

#[test]
fn a_gone_server_gets_no_requests_until_its_record_changes() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let gone = fixture.chosen_server(&request);
    fixture.dispatcher.mark_gone(gone);
    fixture.update_view();
    assert_ne!(fixture.chosen_server(&request), gone);
    assert!(matches!(
        fixture.decide(&request, &[fixture.chosen_server(&request)]),
        Verdict::Refuse { .. }
    ));
    fixture.rewrite_records();
    assert!(fixture.eligible_servers(&request).contains(&gone));
}

#[test]
fn retries_are_bounded_by_first_attempts_and_a_share_of_the_reserve() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let request = fixture.request("m", 800);
    for _ in 0..100 {
        fixture.dispatcher.count_first_attempt(fixture.now, &request.service);
    }
    let take = |fixture: &mut Fixture| {
        (0..200).filter(|_| fixture.dispatcher.take_retry(fixture.now, &request.service)).count()
    };
    // A fifth of 100, and a reserve of 56 shared by 8 VMs.
    assert!(take(&mut fixture) <= 27);
    fixture.now += ms(10_001);
    assert!(take(&mut fixture) <= 7, "the first attempts have left the window");
}

#[test]
fn the_most_urgent_waiting_request_goes_first() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let in_flight: Vec<_> = (0..32)
        .map(|_| {
            let request = fixture.request("m", 10);
            let server = fixture.chosen_server(&request);
            fixture.dispatcher.begin_request(fixture.now, &request, server)
        })
        .collect();
    let mut less_urgent = fixture.request("m", 10);
    less_urgent.rank = 2;
    let urgent = fixture.request("m", 10);
    assert_eq!(fixture.decide(&urgent, &[]), Verdict::Wait { missing: false });
    fixture.dispatcher.enqueue(&less_urgent, &[]);
    let urgent_id = fixture.dispatcher.enqueue(&urgent, &[]);
    fixture.dispatcher.end_request(in_flight[0]);
    let due = fixture.dispatcher.poll_waiting(fixture.now);
    assert_eq!(due.iter().map(|(id, ..)| *id).collect::<Vec<_>>(), [urgent_id], "one slot");
}

/// Under overload all streams that broke off were refused, while new ones of the same rank began.
#[test]
fn a_stream_that_goes_on_goes_before_new_requests_of_its_rank() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let in_flight: Vec<_> = (0..32)
        .map(|_| {
            let request = fixture.request("m", 10);
            let server = fixture.chosen_server(&request);
            fixture.dispatcher.begin_request(fixture.now, &request, server)
        })
        .collect();
    let request = |rank, is_continuation, fixture: &Fixture| RequestSpec {
        rank,
        is_continuation,
        ..fixture.request("m", 10)
    };
    let new = fixture.dispatcher.enqueue(&request(1, false, &fixture), &[]);
    fixture.now += ms(50);
    let continued = fixture.dispatcher.enqueue(&request(1, true, &fixture), &[]);
    let urgent = fixture.dispatcher.enqueue(&request(0, false, &fixture), &[]);
    let mut started = Vec::new();
    for id in &in_flight[..3] {
        fixture.dispatcher.end_request(*id);
        let due = fixture.dispatcher.poll_waiting(fixture.now);
        started.extend(due.into_iter().map(|(id, ..)| id));
    }
    assert_eq!(started, [urgent, continued, new]);
}

#[test]
fn failures_on_all_servers_alike_make_no_outlier() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let servers = fixture.eligible_servers(&request);
    for server in &servers {
        fixture.dispatcher.record_failure(fixture.now, *server, 1);
    }
    assert!(servers.iter().all(|server| !fixture.dispatcher.is_outlier(*server)));
    fixture.dispatcher.record_failure(fixture.now, servers[0], 3);
    assert!(fixture.dispatcher.is_outlier(servers[0]));
}

/// Regression test (run quiet-1): one risk check in eight, retried with 0.7 s left, was kept
/// waiting until its caller left for a model whose load takes longer.
#[test]
fn a_request_is_refused_on_arrival_if_no_load_can_end_in_time() {
    let fixture = Fixture::engines(&[&["m"]]);
    let mut request = fixture.request("n", 800);
    (request.model_load, request.model_load_min) = (ms(1200), ms(1200));
    request.first_byte_deadline = fixture.now + ms(700);
    let Verdict::Refuse { reason, retry_after } = fixture.decide(&request, &[]) else {
        panic!("no load ends within 0.7 s");
    };
    assert_eq!((reason, retry_after), (Refusal::NotResident, ms(1200)));
}

#[test]
fn no_request_waits_until_its_caller_leaves() {
    for (name, max_wait) in [("n", 700), ("n", 2400), ("m/a1", 700), ("m/a1", 2400)] {
        let mut fixture = Fixture::engines(&[&["m"]]);
        let mut request = fixture.request(name, 800);
        request.first_byte_deadline = fixture.now + ms(max_wait);
        let arrived_at = fixture.now;
        while matches!(fixture.decide(&request, &[]), Verdict::Wait { .. }) {
            fixture.now += ms(10);
        }
        let waited = fixture.now - arrived_at;
        assert!(waited + ms(50) <= ms(max_wait), "{name}: {waited:?} of {max_wait} ms");
    }
}

#[test]
fn a_failed_load_is_not_waited_for() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let mut request = fixture.request("n", 800);
    (request.model_load, request.model_load_min) = (ms(1200), ms(1200));
    fixture.expect_model("n", 0, ms(1200));
    assert_eq!(fixture.decide(&request, &[]), Verdict::Wait { missing: true });
    fixture.now += ms(900);
    fixture.view.models_ready_at.clear();
    fixture.update_view();
    assert!(matches!(fixture.decide(&request, &[]), Verdict::Refuse { .. }));
}

#[test]
fn a_leaving_server_gets_no_more_requests() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let leaving = fixture.chosen_server(&request);
    assert!(fixture.dispatcher.mark_leaving(leaving).is_some());
    assert!(fixture.dispatcher.mark_leaving(leaving).is_none(), "the departure is reported once");
    assert!(!fixture.eligible_servers(&request).contains(&leaving));
    fixture.rewrite_records();
    assert!(!fixture.eligible_servers(&request).contains(&leaving), "leaving is final");
    // No other server is left, whether ejected or not.
    let other = fixture.chosen_server(&request);
    assert!(matches!(fixture.decide(&request, &[other]), Verdict::Refuse { .. }));
}

#[test]
fn a_server_gets_no_requests_during_its_backoff() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let backed_off = fixture.chosen_server(&request);
    fixture.dispatcher.back_off(fixture.now, backed_off, ms(1500));
    assert!(!fixture.eligible_servers(&request).contains(&backed_off));
    let other = fixture.chosen_server(&request);
    assert_eq!(
        fixture.decide(&request, &[other]),
        Verdict::Wait { missing: false },
        "the backoff ends in time"
    );
    fixture.now += ms(1499);
    assert!(!fixture.eligible_servers(&request).contains(&backed_off));
    fixture.now += ms(300);
    let later = fixture.request("m", 800);
    assert!(fixture.eligible_servers(&later).contains(&backed_off));
}

#[test]
fn a_request_is_refused_if_the_backoff_ends_too_late() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let request = fixture.request("m", 800);
    let backed_off = fixture.chosen_server(&request);
    fixture.dispatcher.back_off(fixture.now, backed_off, ms(4000));
    let Verdict::Refuse { retry_after, .. } = fixture.decide(&request, &[]) else {
        panic!("callers leave after 2.4 s");
    };
    assert!((ms(4000)..=ms(4250)).contains(&retry_after), "{retry_after:?}");
}

#[test]
fn the_backoff_time_is_bounded() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let request = fixture.request("m", 800);
    let backed_off = fixture.chosen_server(&request);
    fixture.dispatcher.back_off(fixture.now, backed_off, std::time::Duration::from_secs(1 << 40));
    fixture.now += std::time::Duration::from_secs(301);
    assert_eq!(fixture.chosen_server(&fixture.request("m", 800)), backed_off);
}

#[test]
fn vms_with_the_same_backoff_return_at_different_times() {
    let mut return_times = std::collections::BTreeSet::new();
    for own_draw in 0..20 {
        let mut fixture = Fixture::engines(&[&["m"]]);
        let limit = glade_dispatch::RetryLimit {
            share: 0.2,
            window: std::time::Duration::from_secs(10),
            reserve: 56.0,
        };
        fixture.dispatcher = glade_dispatch::Dispatcher::new(limit, own_draw);
        fixture.update_view();
        let backed_off = fixture.chosen_server(&fixture.request("m", 800));
        fixture.dispatcher.back_off(fixture.now, backed_off, ms(1000));
        let mut waited = 0;
        while !matches!(fixture.decide(&fixture.request("m", 800), &[]), Verdict::Send(_)) {
            fixture.now += ms(5);
            waited += 5;
        }
        assert!((1000..=1130).contains(&waited), "{waited}");
        return_times.insert(waited);
    }
    assert!(return_times.len() >= 8, "{return_times:?}");
}

/// Regression test: a server that had rejected one request got no more as long as the other servers
/// had little to do, since only a successful answer reduced its failure share.
#[test]
fn the_cost_of_a_failure_decays() {
    let mut fixture = Fixture::engines(&[&["m"], &["m"]]);
    let request = fixture.request("m", 800);
    let failed = fixture.chosen_server(&request);
    fixture.dispatcher.record_failure(fixture.now, failed, 1);
    let other = fixture.chosen_server(&request);
    assert_ne!(other, failed);
    fixture.now += ms(15_000);
    let request = fixture.request("m", 800);
    fixture.dispatcher.begin_request(fixture.now, &request, other);
    assert_eq!(
        fixture.chosen_server(&fixture.request("m", 10)),
        failed,
        "the other has a prompt to prefill"
    );
}

#[test]
fn the_reserve_of_retries_is_shared_with_vms_that_have_fallen_silent() {
    let mut fixture = Fixture::engines(&[&["m"]]);
    let service = fixture.request("m", 1).service;
    fixture.view.live_vms = 1;
    fixture.update_view();
    let now = fixture.now;
    let retries = (0..100).filter(|_| fixture.dispatcher.take_retry(now, &service)).count();
    // An eighth of the reserve of 56, less its margin.
    assert_eq!(retries, 5);
}
