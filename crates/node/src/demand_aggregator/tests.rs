//! Demand gathered from several nodes, over time.

use super::*;

fn report(name: &str, requests: u32, in_flight: u32) -> DemandReport {
    let model = ModelName::new(name);
    let prompt_tokens = u64::from(requests) * 100;
    let seen = ModelDemand { model, requests, prompt_tokens, in_flight };
    DemandReport { over: Duration::from_millis(250), models: vec![seen] }
}

fn vm(name: &str) -> VmId {
    VmId::new(name)
}

#[test]
fn reports_of_several_nodes_add_up() {
    let now = Instant::now();
    let mut pool = DemandAggregator::new(now);
    pool.on_report(now, &vm("a"), &report("m", 3, 2));
    pool.on_report(now, &vm("b"), &report("m", 4, 5));
    let sum = pool.take(now + Duration::from_millis(250));
    assert_eq!(sum.over, Duration::from_millis(250));
    let [seen] = sum.models.as_slice() else { panic!("{sum:?}") };
    assert_eq!((seen.requests, seen.prompt_tokens, seen.in_flight), (7, 700, 7));
}

#[test]
fn requests_count_once_and_what_is_in_flight_until_it_ends() {
    let now = Instant::now();
    let mut pool = DemandAggregator::new(now);
    pool.on_report(now, &vm("a"), &report("m", 3, 2));
    pool.take(now);
    let again = pool.take(now + Duration::from_millis(250));
    assert_eq!((again.models[0].requests, again.models[0].in_flight), (0, 2));
    pool.on_report(now, &vm("a"), &report("m", 0, 0));
    let ended = pool.take(now + Duration::from_millis(500));
    assert_eq!(ended.models[0].in_flight, 0, "told once more, so that it isn't counted for ever");
    assert!(pool.take(now + Duration::from_millis(750)).models.is_empty());
}

#[test]
fn what_a_silent_node_had_in_flight_is_forgotten() {
    let now = Instant::now();
    let mut pool = DemandAggregator::new(now);
    pool.on_report(now, &vm("a"), &report("m", 1, 8));
    pool.take(now);
    let later = now + REPORT_MAX_AGE;
    assert_eq!(pool.take(later).models[0].in_flight, 0);
}
