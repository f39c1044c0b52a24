//! Demand aggregated from several nodes over time.

use super::*;

fn report(name: &str, requests: u32, in_flight: u32) -> DemandReport {
    let model = ModelName::new(name);
    let prompt_tokens = u64::from(requests) * 100;
    let demand = ModelDemand { model, requests, prompt_tokens, in_flight };
    DemandReport { interval: Duration::from_millis(250), models: vec![demand] }
}

fn vm(name: &str) -> VmId {
    VmId::new(name)
}

#[test]
fn reports_of_several_nodes_add_up() {
    let now = Instant::now();
    let mut aggregator = DemandAggregator::new(now);
    aggregator.on_report(now, &vm("a"), &report("m", 3, 2));
    aggregator.on_report(now, &vm("b"), &report("m", 4, 5));
    let sum = aggregator.take(now + Duration::from_millis(250));
    assert_eq!(sum.interval, Duration::from_millis(250));
    let [demand] = sum.models.as_slice() else { panic!("{sum:?}") };
    assert_eq!((demand.requests, demand.prompt_tokens, demand.in_flight), (7, 700, 7));
}

#[test]
fn arrivals_count_once_and_requests_in_flight_until_they_end() {
    let now = Instant::now();
    let mut aggregator = DemandAggregator::new(now);
    aggregator.on_report(now, &vm("a"), &report("m", 3, 2));
    aggregator.take(now);
    let again = aggregator.take(now + Duration::from_millis(250));
    assert_eq!((again.models[0].requests, again.models[0].in_flight), (0, 2));
    aggregator.on_report(now, &vm("a"), &report("m", 0, 0));
    let ended = aggregator.take(now + Duration::from_millis(500));
    assert_eq!(
        ended.models[0].in_flight, 0,
        "reported once more, so that the receiver doesn't count it for ever"
    );
    assert!(aggregator.take(now + Duration::from_millis(750)).models.is_empty());
}

#[test]
fn requests_in_flight_at_a_node_without_reports_expire() {
    let now = Instant::now();
    let mut aggregator = DemandAggregator::new(now);
    aggregator.on_report(now, &vm("a"), &report("m", 1, 8));
    aggregator.take(now);
    let later = now + REPORT_MAX_AGE;
    assert_eq!(aggregator.take(later).models[0].in_flight, 0);
}
