//! The routing decision.

use {
    crate::{
        prefix_affinity::PrefixAffinity,
        route_table::{EngineEntry, RouteTable, ServiceEntry},
    },
    glade_types::{ModelName, Priority},
    std::time::Duration,
};

/// Tuning of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingPolicy {
    /// Time to the first token on an idle engine that hasn't cached the prompt.
    pub prefill_time: Duration,
    /// Share of `prefill` that a cached prefix saves.
    pub cached_prefill_saving: f64,
    /// Part of an engine's batch that patient work leaves to urgent work when it is fresh.
    pub urgent_reserve_fraction: f64,
    /// Time over which waiting patient work earns the reserved part too.
    pub ageing_time: Duration,
    /// Wait after which patient work queues at engines like urgent work.
    pub patient_queue_after: Duration,
    /// Weight of the sends that other entries are presumed to have made since the last report.
    pub other_entries_weight: f64,
    /// Share of the time to its first token that an urgent request may be predicted to take. Less
    /// than 1, because a prediction that is only just in time often turns out late.
    pub deadline_fraction: f64,
    /// Shortest pause before waiting patient work is considered again.
    pub patient_retry_min: Duration,
    /// Longest such pause; it grows with the time that the work has waited.
    pub patient_retry_max: Duration,
    /// Predictions within this of the best are chosen among at random.
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

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// Model or adapter.
    pub model: &'a ModelName,
    /// Urgency.
    pub priority: Priority,
    /// Time left until the first token is due.
    pub first_token_within: Duration,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    /// How long the request has waited here.
    pub waited: Duration,
    /// Position of an engine that just failed the request; used again only if there is no other.
    pub avoided_engine: Option<usize>,
}

/// Why a request is refused; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No live engine holds the model at present.
    NotResident,
    /// No engine can give the first token in time.
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
    /// Consider it again after this time.
    Wait(Duration),
    /// Refuse it now.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Shortest advice to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest advice to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Decides where `need` goes. `uptime` is the time since the process started.
pub fn decide(
    routes: &RouteTable,
    policy: &RoutingPolicy,
    prefixes: &PrefixAffinity,
    need: &RequestSpec<'_>,
    uptime: Duration,
    rng: &mut fastrand::Rng,
) -> Decision {
    let holders = routes.holders.get(need.model).map_or(&[][..], Vec::as_slice);
    let cached_on = prefixes.engine(need.prefix_hash);
    let mut best: Option<(f64, usize)> = None;
    let mut avoided: Option<(f64, usize)> = None;
    let indifference = policy.tie_margin.as_secs_f64();
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
        if need.avoided_engine == Some(idx) {
            avoided = Some((predicted, idx));
            continue;
        }
        let beats = match best {
            None => true,
            Some((time, _)) if predicted + indifference < time => {
                ties = 0;
                true
            }
            Some((time, _)) if predicted < time + indifference => {
                // Reservoir sampling: each of the equally good ones is as likely to stay.
                ties += 1;
                rng.u32(0..=ties) == 0
            }
            Some(_) => false,
        };
        if beats {
            best = Some((predicted, idx));
        }
    }
    // The only engine that holds the model is better than none, even if it has just failed.
    let Some((predicted, engine)) = best.or(avoided) else {
        return absent(policy, need);
    };
    let predicted = Duration::from_secs_f64(predicted);
    let acceptable = need.first_token_within.mul_f64(policy.deadline_fraction);
    match need.priority {
        Priority::Urgent if predicted > acceptable => Decision::Refuse {
            reason: Refusal::Overloaded,
            retry_after: (predicted - acceptable).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        },
        Priority::Urgent => Decision::Send { engine, predicted },
        Priority::Patient => admit_patient(routes, policy, need, engine, predicted),
    }
}

/// A model without a usable residence: patient work waits for one, urgent work is refused at once.
fn absent(policy: &RoutingPolicy, need: &RequestSpec<'_>) -> Decision {
    match need.priority {
        Priority::Patient => Decision::Wait(patient_pause(policy, need)),
        Priority::Urgent => {
            Decision::Refuse { reason: Refusal::NotResident, retry_after: RETRY_AFTER_MIN }
        }
    }
}

/// Patient work waits here rather than at an engine, where it would count as load for urgent work.
/// When fresh it leaves room for urgent work; as it ages it takes any free place; after its patience
/// it queues at the engines, so that it is sent in the end however busy they are.
fn admit_patient(
    routes: &RouteTable,
    policy: &RoutingPolicy,
    need: &RequestSpec<'_>,
    engine: usize,
    predicted: Duration,
) -> Decision {
    let entry = &routes.engines[engine];
    let ageing = policy.ageing_time.as_secs_f64();
    let earned = (need.waited.as_secs_f64() / ageing).min(1.0);
    let overdue = need.waited.saturating_sub(policy.patient_queue_after).as_secs_f64() / ageing;
    let ceiling = 1.0 - policy.urgent_reserve_fraction * (1.0 - earned) + overdue;
    let places = f64::from(entry.slots) * ceiling;
    let load = expected_load(entry, routes.entry_count, policy);
    if f64::from(load + 1) <= places.max(1.0) {
        return Decision::Send { engine, predicted };
    }
    Decision::Wait(patient_pause(policy, need))
}

/// A tenth of the time waited, so that a long queue of patient work costs little to keep.
fn patient_pause(policy: &RoutingPolicy, need: &RequestSpec<'_>) -> Duration {
    (need.waited / 10).clamp(policy.patient_retry_min, policy.patient_retry_max)
}

/// Requests at the engine now: those reported, and those sent since the report.
fn expected_load(engine: &EngineEntry, entries: u32, policy: &RoutingPolicy) -> u32 {
    let own = engine.counters.in_flight();
    let since = f64::from(own) - f64::from(engine.in_flight_at_report);
    // Other entries have seen the same report and have acted on it too.
    let others = f64::from(entries.saturating_sub(1)) * policy.other_entries_weight;
    let load = f64::from(engine.reported_requests) + since * (1.0 + others);
    (load.max(0.0).round() as u32).max(own)
}

/// Predicted time to the first token, in seconds.
fn predict(engine: &EngineEntry, load: u32, policy: &RoutingPolicy, cached: bool) -> f64 {
    let slots = engine.slots.max(1);
    let queued = (load + 1).saturating_sub(slots);
    // Plain seconds: multiplying durations was two thirds of the time of a decision.
    let wait_s = engine.mean_request.as_secs_f64() * f64::from(queued) / f64::from(slots);
    let saving = if cached { policy.cached_prefill_saving } else { 0.0 };
    let crowding = f64::from(load.min(slots)) / f64::from(slots);
    let prefill_s = policy.prefill_time.as_secs_f64() * (1.0 - saving) * (1.0 + crowding);
    engine.one_way_latency.as_secs_f64() * 2.0 + wait_s + prefill_s
}

/// Picks a server of the plain service `name`: the nearest data centre that has one, and there the
/// one with the fewest requests of this VM under way.
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

    fn ask(routes: &RouteTable, priority: Priority, waited: Duration) -> Decision {
        let model = ModelName::new("m");
        let need = RequestSpec {
            model: &model,
            priority,
            first_token_within: Duration::from_secs(1),
            prefix_hash: 1,
            waited,
            avoided_engine: None,
        };
        let (policy, prefixes) = (RoutingPolicy::default(), PrefixAffinity::default());
        let mut rng = fastrand::Rng::with_seed(1);
        decide(routes, &policy, &prefixes, &need, Duration::ZERO, &mut rng)
    }

    #[test]
    fn the_shorter_queue_wins_and_own_sends_since_the_report_count() {
        let routes = routes(vec![engine(0, 4), engine(1, 8)]);
        let chosen = |routes| match ask(routes, Priority::Urgent, Duration::ZERO) {
            Decision::Send { engine, .. } => engine,
            other => panic!("{other:?}"),
        };
        assert_eq!(chosen(&routes), 0);
        let _sent: Vec<_> = (0..6).map(|_| routes.engines[0].counters.begin_request()).collect();
        assert_eq!(chosen(&routes), 1);
    }

    #[test]
    fn urgent_work_that_cannot_be_met_is_refused_at_once() {
        let routes = routes(vec![engine(0, 40)]);
        let decision = ask(&routes, Priority::Urgent, Duration::ZERO);
        let Decision::Refuse { reason, retry_after } = decision else { panic!("{decision:?}") };
        assert_eq!(reason, Refusal::Overloaded);
        assert!(retry_after >= Duration::from_secs(3), "{retry_after:?}");
    }

    #[test]
    fn patient_work_leaves_headroom_and_is_sent_in_the_end() {
        let routes = routes(vec![engine(0, 7)]);
        let minutes = |waited: u64| Duration::from_secs(waited * 60);
        let patient = |waited| ask(&routes, Priority::Patient, minutes(waited));
        assert!(matches!(patient(0), Decision::Wait(_)));
        assert!(matches!(ask(&routes, Priority::Urgent, Duration::ZERO), Decision::Send { .. }));
        assert!(matches!(patient(5), Decision::Send { .. }));
        let full = self::routes(vec![engine(0, 20)]);
        let patient = |waited| ask(&full, Priority::Patient, minutes(waited));
        assert!(matches!(patient(10), Decision::Wait(_)));
        assert!(matches!(patient(20), Decision::Send { .. }));
    }

    /// Found by the policy bench: patient work whose only engine had failed once waited for ever.
    #[test]
    fn an_engine_that_failed_is_avoided_only_while_there_is_another() {
        let model = ModelName::new("m");
        let need = RequestSpec {
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
            let decision = decide(&routes, &policy, &prefixes, &need, Duration::ZERO, &mut rng);
            let Decision::Send { engine, .. } = decision else { panic!("{decision:?}") };
            assert_eq!(engine, expected);
        }
    }

    #[test]
    fn a_leaving_engine_is_never_chosen() {
        let mut leaving = engine(0, 0);
        leaving.usable = false;
        let routes = routes(vec![leaving]);
        let decision = ask(&routes, Priority::Urgent, Duration::ZERO);
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
            let need = RequestSpec {
                model: &model,
                priority: Priority::Urgent,
                first_token_within: Duration::from_secs(1),
                prefix_hash: 1,
                waited: Duration::ZERO,
                avoided_engine: None,
            };
            let decision = decide(&routes, &policy, &prefixes, &need, Duration::ZERO, &mut rng);
            let Decision::Send { engine, .. } = decision else { panic!("{decision:?}") };
            counts[engine] += 1;
        }
        assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
    }
}
