//! The routing decision for one request: send it to an engine, let it wait, or refuse it.

use {
    crate::{
        prefix_affinity::PrefixAffinity,
        route_table::{EngineEntry, RouteTable, ServiceEntry},
    },
    glade_types::{ModelName, Priority},
    std::time::Duration,
};

/// Parameters of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingPolicy {
    /// Time to the first token on an idle engine without the prompt's prefix in its cache.
    pub prefill_time: Duration,
    /// Fraction of `prefill_time` that a cached prefix saves.
    pub cached_prefill_saving: f64,
    /// Fraction of an engine's batch that new patient requests leave to urgent ones.
    pub urgent_reserve_fraction: f64,
    /// Waiting time over which a patient request gains access to the reserved part of the batch.
    pub ageing_time: Duration,
    /// Waiting time after which a patient request queues at engines like an urgent one.
    pub patient_queue_after: Duration,
    /// Weight of the requests that other entry VMs are assumed to have sent since the last report.
    pub other_entries_weight: f64,
    /// Largest predicted time to the first token of an urgent request, as a fraction of the time
    /// left. Less than 1, because a request that is predicted to be barely in time is often late.
    pub deadline_fraction: f64,
    /// Shortest time until a waiting patient request is decided again.
    pub patient_retry_min: Duration,
    /// Longest such time; it grows with the waiting time of the request.
    pub patient_retry_max: Duration,
    /// Engines whose predictions are within this of the best are chosen among at random.
    pub tie_margin: Duration,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            prefill_time: Duration::from_millis(200),
            cached_prefill_saving: 0.7,
            urgent_reserve_fraction: 0.6,
            ageing_time: Duration::from_secs(300),
            patient_queue_after: Duration::from_secs(600),
            other_entries_weight: 0.3,
            deadline_fraction: 0.85,
            patient_retry_min: Duration::from_millis(50),
            patient_retry_max: Duration::from_secs(1),
            tie_margin: Duration::from_millis(2),
        }
    }
}

/// What a request requires of an engine.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// Model or adapter.
    pub model: &'a ModelName,
    /// Urgency of the request.
    pub priority: Priority,
    /// Time left until the first token is due.
    pub first_token_within: Duration,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// How long the request has waited on this VM.
    pub waited: Duration,
    /// Position of an engine that has just failed the request. It is used again only if there is no
    /// other.
    pub avoided_engine: Option<usize>,
}

/// Why a request is refused. A refused request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No live engine holds the model at present.
    NotResident,
    /// No engine can generate the first token in time.
    Overloaded,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it to the engine at this position.
    Send {
        /// Position in the route table.
        engine: usize,
        /// Predicted time to the first token.
        predicted: Duration,
    },
    /// Decide again after this time.
    Wait(Duration),
    /// Refuse it now.
    Refuse {
        /// The reason.
        reason: Refusal,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Lower bound on retry-after advice.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound on retry-after advice.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Decides what to do with `request`. `uptime` is the time since the process started.
pub fn decide(
    routes: &RouteTable,
    policy: &RoutingPolicy,
    prefixes: &PrefixAffinity,
    request: &RequestSpec<'_>,
    uptime: Duration,
    rng: &mut fastrand::Rng,
) -> Decision {
    let holders = routes.holders.get(request.model).map_or(&[][..], Vec::as_slice);
    let cached_on = prefixes.engine(request.prefix_hash);
    let mut best: Option<(f64, usize)> = None;
    let mut avoided: Option<(f64, usize)> = None;
    let tie_margin_s = policy.tie_margin.as_secs_f64();
    let mut ties = 0_u32;
    for position in holders {
        let idx = *position as usize;
        let engine = &routes.engines[idx];
        if !engine.usable || !engine.counters.accepts_requests(uptime) {
            continue;
        }
        let cached = cached_on == Some(engine.key);
        let load = expected_load(engine, routes.entry_count, policy);
        let predicted = predict(engine, load, policy, cached);
        if request.avoided_engine == Some(idx) {
            avoided = Some((predicted, idx));
            continue;
        }
        let is_better = match best {
            None => true,
            Some((time, _)) if predicted + tie_margin_s < time => {
                ties = 0;
                true
            }
            Some((time, _)) if predicted < time + tie_margin_s => {
                // Reservoir sampling: each of the equally good engines is equally likely to be
                // chosen.
                ties += 1;
                rng.u32(0..=ties) == 0
            }
            Some(_) => false,
        };
        if is_better {
            best = Some((predicted, idx));
        }
    }
    // The only engine that holds the model is used even if it has just failed the request.
    let Some((predicted, engine)) = best.or(avoided) else {
        return no_holder(policy, request);
    };
    let predicted = Duration::from_secs_f64(predicted);
    let acceptable = request.first_token_within.mul_f64(policy.deadline_fraction);
    match request.priority {
        Priority::Urgent if predicted > acceptable => Decision::Refuse {
            reason: Refusal::Overloaded,
            retry_after: (predicted - acceptable).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        },
        Priority::Urgent => Decision::Send { engine, predicted },
        Priority::Patient => admit_patient(routes, policy, request, engine, predicted),
    }
}

/// Decides for a model without a usable residence: patient requests wait for one, urgent requests
/// are refused at once.
fn no_holder(policy: &RoutingPolicy, request: &RequestSpec<'_>) -> Decision {
    match request.priority {
        Priority::Patient => Decision::Wait(patient_retry_delay(policy, request)),
        Priority::Urgent => {
            Decision::Refuse { reason: Refusal::NotResident, retry_after: RETRY_AFTER_MIN }
        }
    }
}

/// Patient requests wait on this VM rather than at an engine, where they would count as load for
/// urgent requests. A new one leaves slots free for urgent requests; as it ages it takes any free
/// slot; after `patient_queue_after` it queues at the engines, so that it is sent eventually
/// however busy they are.
fn admit_patient(
    routes: &RouteTable,
    policy: &RoutingPolicy,
    request: &RequestSpec<'_>,
    engine: usize,
    predicted: Duration,
) -> Decision {
    let entry = &routes.engines[engine];
    let ageing = policy.ageing_time.as_secs_f64();
    let aged_fraction = (request.waited.as_secs_f64() / ageing).min(1.0);
    let overdue = request.waited.saturating_sub(policy.patient_queue_after).as_secs_f64() / ageing;
    let ceiling = 1.0 - policy.urgent_reserve_fraction * (1.0 - aged_fraction) + overdue;
    let slot_limit = f64::from(entry.slots) * ceiling;
    let load = expected_load(entry, routes.entry_count, policy);
    if f64::from(load + 1) <= slot_limit.max(1.0) {
        return Decision::Send { engine, predicted };
    }
    Decision::Wait(patient_retry_delay(policy, request))
}

/// Returns a tenth of the time waited, so that a long queue of patient requests costs little.
fn patient_retry_delay(policy: &RoutingPolicy, request: &RequestSpec<'_>) -> Duration {
    (request.waited / 10).clamp(policy.patient_retry_min, policy.patient_retry_max)
}

/// Estimated requests at the engine now: those reported and those sent since the report.
fn expected_load(engine: &EngineEntry, entry_count: u32, policy: &RoutingPolicy) -> u32 {
    let own_in_flight = engine.counters.in_flight();
    let sent_since = f64::from(own_in_flight) - f64::from(engine.in_flight_at_report);
    // Other entry VMs have received the same report and have sent requests by it too.
    let others_factor = f64::from(entry_count.saturating_sub(1)) * policy.other_entries_weight;
    let load = f64::from(engine.reported_requests) + sent_since * (1.0 + others_factor);
    (load.max(0.0).round() as u32).max(own_in_flight)
}

/// Predicted time to the first token, in seconds.
fn predict(engine: &EngineEntry, load: u32, policy: &RoutingPolicy, cached: bool) -> f64 {
    let slots = engine.slots.max(1);
    let queued = (load + 1).saturating_sub(slots);
    // Floating-point seconds, because multiplication of `Duration`s took two thirds of the time of
    // a decision.
    let wait_s = engine.mean_request.as_secs_f64() * f64::from(queued) / f64::from(slots);
    let saving = if cached { policy.cached_prefill_saving } else { 0.0 };
    let occupancy = f64::from(load.min(slots)) / f64::from(slots);
    let prefill_s = policy.prefill_time.as_secs_f64() * (1.0 - saving) * (1.0 + occupancy);
    engine.one_way_latency.as_secs_f64() * 2.0 + wait_s + prefill_s
}

/// Chooses a server of the plain service `name`: in the nearest data centre that has one, the
/// server with the fewest requests of this VM in flight.
pub fn pick_service<'a>(
    routes: &'a RouteTable,
    name: &ModelName,
    avoid: Option<&ServiceEntry>,
    uptime: Duration,
    rng: &mut fastrand::Rng,
) -> Option<&'a ServiceEntry> {
    let servers = routes.services.get(name)?;
    servers
        .iter()
        .filter(|server| server.usable && server.counters.accepts_requests(uptime))
        .filter(|server| avoid.is_none_or(|avoided| avoided.id != server.id))
        .min_by_key(|server| (server.one_way_latency, server.counters.in_flight(), rng.u32(..)))
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::server_counters::ServerCounters,
        glade_types::{BackendId, Incarnation},
        std::sync::Arc,
    };

    fn engine(key: u16, reported: u32) -> EngineEntry {
        EngineEntry {
            id: BackendId::new(&format!("e{key}")),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(1),
            key,
            one_way_latency: Duration::ZERO,
            slots: 8,
            reported_requests: reported,
            in_flight_at_report: 0,
            mean_request: Duration::from_secs(1),
            usable: true,
            counters: Arc::new(ServerCounters::default()),
        }
    }

    fn routes(engines: Vec<EngineEntry>) -> RouteTable {
        let all = (0..engines.len() as u32).collect();
        RouteTable {
            holders: Arc::new([(ModelName::new("m"), all)].into()),
            engines,
            entry_count: 1,
            accepts_work: true,
            ..RouteTable::default()
        }
    }

    fn decide_for(routes: &RouteTable, priority: Priority, waited: Duration) -> Decision {
        let model = ModelName::new("m");
        let request = RequestSpec {
            model: &model,
            priority,
            first_token_within: Duration::from_secs(1),
            prefix_hash: 1,
            waited,
            avoided_engine: None,
        };
        let (policy, prefixes) = (RoutingPolicy::default(), PrefixAffinity::default());
        let mut rng = fastrand::Rng::with_seed(1);
        decide(routes, &policy, &prefixes, &request, Duration::ZERO, &mut rng)
    }

    #[test]
    fn the_shorter_queue_is_chosen_and_own_sends_since_the_report_count() {
        let routes = routes(vec![engine(0, 4), engine(1, 8)]);
        let chosen = |routes| match decide_for(routes, Priority::Urgent, Duration::ZERO) {
            Decision::Send { engine, .. } => engine,
            other => panic!("{other:?}"),
        };
        assert_eq!(chosen(&routes), 0);
        let _sent: Vec<_> = (0..6).map(|_| routes.engines[0].counters.begin_request()).collect();
        assert_eq!(chosen(&routes), 1);
    }

    #[test]
    fn urgent_requests_that_cannot_be_served_in_time_are_refused_at_once() {
        let routes = routes(vec![engine(0, 40)]);
        let decision = decide_for(&routes, Priority::Urgent, Duration::ZERO);
        let Decision::Refuse { reason, retry_after } = decision else { panic!("{decision:?}") };
        assert_eq!(reason, Refusal::Overloaded);
        assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    }

    #[test]
    fn patient_requests_leave_headroom_and_are_sent_eventually() {
        let routes = routes(vec![engine(0, 7)]);
        let minutes = |waited: u64| Duration::from_secs(waited * 60);
        let patient = |waited| decide_for(&routes, Priority::Patient, minutes(waited));
        assert!(matches!(patient(0), Decision::Wait(_)));
        assert!(matches!(
            decide_for(&routes, Priority::Urgent, Duration::ZERO),
            Decision::Send { .. }
        ));
        assert!(matches!(patient(5), Decision::Send { .. }));
        let full = self::routes(vec![engine(0, 20)]);
        let patient = |waited| decide_for(&full, Priority::Patient, minutes(waited));
        assert!(matches!(patient(10), Decision::Wait(_)));
        assert!(matches!(patient(20), Decision::Send { .. }));
    }

    /// Regression test: a patient request whose only engine had failed once waited for ever.
    #[test]
    fn an_engine_that_failed_is_avoided_only_while_there_is_another() {
        let model = ModelName::new("m");
        let request = RequestSpec {
            model: &model,
            priority: Priority::Urgent,
            first_token_within: Duration::from_secs(1),
            prefix_hash: 1,
            waited: Duration::ZERO,
            avoided_engine: Some(0),
        };
        let (policy, prefixes) = (RoutingPolicy::default(), PrefixAffinity::default());
        for (engines, expected) in [(1, 0), (2, 1)] {
            let routes = routes((0..engines).map(|key| engine(key, 0)).collect());
            let mut rng = fastrand::Rng::with_seed(1);
            let decision = decide(&routes, &policy, &prefixes, &request, Duration::ZERO, &mut rng);
            let Decision::Send { engine, .. } = decision else { panic!("{decision:?}") };
            assert_eq!(engine, expected);
        }
    }

    #[test]
    fn a_leaving_engine_is_never_chosen() {
        let mut leaving = engine(0, 0);
        leaving.usable = false;
        let routes = routes(vec![leaving]);
        let decision = decide_for(&routes, Priority::Urgent, Duration::ZERO);
        assert!(
            matches!(decision, Decision::Refuse { reason: Refusal::NotResident, .. }),
            "{decision:?}"
        );
    }

    #[test]
    fn equally_good_engines_share_the_load() {
        let routes = routes((0..4).map(|key| engine(key, 0)).collect());
        let model = ModelName::new("m");
        let (policy, prefixes) = (RoutingPolicy::default(), PrefixAffinity::default());
        let mut rng = fastrand::Rng::with_seed(1);
        let mut counts = [0; 4];
        for _ in 0..4000 {
            let request = RequestSpec {
                model: &model,
                priority: Priority::Urgent,
                first_token_within: Duration::from_secs(1),
                prefix_hash: 1,
                waited: Duration::ZERO,
                avoided_engine: None,
            };
            let decision = decide(&routes, &policy, &prefixes, &request, Duration::ZERO, &mut rng);
            let Decision::Send { engine, .. } = decision else { panic!("{decision:?}") };
            counts[engine] += 1;
        }
        assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
    }
}
