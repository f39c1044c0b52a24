//! Configurations, registry entries, reports and headers with odd numbers, through their decoders and the state
//! that consumes them.

use {
    fastrand::Rng,
    glade_adapter::{config, engine, platform_dialect::PlatformDialect, registry},
    glade_catalog::{
        Catalog, DemandReport, ModelDemand, OrderAnswer, RequestMetadata, ServerRecord,
        ServerState, WantedModel,
    },
    glade_dispatch::{ClusterView, Dispatcher, Load, RequestSpec, RetryLimit, ServerView, Verdict},
    glade_relay::Dialect,
    glade_residency::{Action, LeaseTerm, OrderWaits, PlacementController},
    glade_types::{ModelName, ServiceName, VmId},
    hyper::{HeaderMap, header::HeaderValue},
    quickcheck::{Gen, QuickCheck},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Size and seed of the generated cases. They are fixed, so that every run gives the same result.
const CASES_SIZE: usize = 100;
const CASES_SEED: u64 = 1;
const CASES: u64 = 1500;

const CONFIG: &str = r#"{"Version":7,"Routes":[
    {"Name":"r-1","Host":"h","Prefix":"/a/","Kind":"streaming","TimeoutMs":20000,"SloMs":400,
     "Priority":1,"Service":"pool","Attempts":2,"Resumable":true,"GapTargetMs":300}],
   "Services":[
    {"Name":"pool","MaxConns":360,"Engine":{"Slots":64,"KvCapacity":149031,"KvTokenBytes":163840,
      "Stride":5,"HostMb":150000.0,"DiskMb":440000.0,"HoldMs":2000.0,"Models":[
       {"Name":"m","WeightsMb":72700.0,"LoadS":3.2,"Adapters":2,"AdapterMb":66.0,"WarmS":0.47,
        "DiskS":0.64},
       {"Name":"n","WeightsMb":72700.0,"LoadS":3.2,"Adapters":2,"AdapterMb":66.0}],
      "WeightsMb":230000.0,"AdapterSlots":8,"LoadsPerS":2.0}}],
   "Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":1,"Unit":"tokens","PlainTokens":200,
     "RatePerS":4200,"Burst":4200.5}],
   "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000}}"#;
const ENTRY: &str = r#"{"Service":"pool","Address":"10.1.0.9:8080","Zone":"dc-1","Version":"v1","Slots":64,
    "State":"ready","ColdLeftMs":0,"RemainingMs":1500,"born":17,"Seq":4,
    "Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],"AtHand":{"InMemory":["m"],"OnDisk":["n"]}}"#;
const REPORT: &str = r#"{"born":17,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],
    "Busy":false,"Seq":2,"Queued":1,"Running":12,"KvUsed":41000,"KvTotal":90000,"Handles":0,
    "Coming":["m/a2@1"]}"#;
const HEADERS: [(&str, &str); 7] = [
    ("request-id", "r"),
    ("deadline-ms", "1500"),
    ("model", "m/a1"),
    ("token-counts", "1460,80"),
    ("length-hint", "30"),
    ("prompt-prefix", "5c:800,e4:250"),
    ("last-event-id", "12"),
];
const ODD_NUMBERS: [&str; 22] = [
    "0",
    "-0",
    "-1",
    "0.5",
    "1e-300",
    "1e6",
    "1e18",
    "9.3e18",
    "1e19",
    "1.8e19",
    "1e22",
    "1e308",
    "1e400",
    "-1e308",
    "2147483648",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "null",
    "[]",
];

/// Replaces some of the numbers of `text` by odd ones.
fn garbled(rng: &mut Rng, text: &str) -> String {
    let is_digit = |c: char| c.is_ascii_digit();
    let mut result = text.to_owned();
    for _ in 0..rng.usize(0..3) {
        let starts: Vec<usize> = result
            .char_indices()
            .filter(|(at, c)| {
                is_digit(*c) && !result[..*at].ends_with(|c: char| is_digit(c) || c == '.')
            })
            .map(|(at, _)| at)
            .collect();
        let Some(start) = rng.choice(starts) else { return result };
        let length =
            result[start..].find(|c| !is_digit(c) && c != '.').unwrap_or(result.len() - start);
        let odd = rng.choice(ODD_NUMBERS).unwrap_or("0");
        result.replace_range(start..start + length, odd);
    }
    result
}

fn decoded_catalog(rng: &mut Rng) -> Catalog {
    let sound = || config::decode(CONFIG.as_bytes()).expect("a configuration");
    config::decode(garbled(rng, CONFIG).as_bytes()).unwrap_or_else(|_err| sound())
}

fn decoded_records(rng: &mut Rng) -> Vec<Arc<ServerRecord>> {
    let entries = (0..4).map(|number| (format!("e{number}"), garbled(rng, ENTRY)));
    let decoded = entries.filter_map(|(id, text)| registry::decode(&id, text.as_bytes()).ok());
    decoded.map(Arc::new).collect()
}

fn decoded_terms(rng: &mut Rng) -> RequestMetadata {
    let mut headers = HeaderMap::new();
    for (name, value) in HEADERS {
        if let Ok(value) = HeaderValue::from_str(&garbled(rng, value)) {
            headers.insert(name, value);
        }
    }
    PlatformDialect.read_caller_terms(&headers).unwrap_or_default()
}

/// A number as another node may send it.
fn odd_number(rng: &mut Rng) -> u64 {
    rng.choice([0, 1, 100, 1 << 31, u64::from(u32::MAX), 1 << 63, u64::MAX]).unwrap_or(0)
}

fn decoded_load(rng: &mut Rng) -> Load {
    Load {
        in_flight: odd_number(rng) as u32,
        outstanding_prefill_us: odd_number(rng),
        held_tokens: odd_number(rng),
        waiting_hundredths: odd_number(rng) as u32,
    }
}

fn request_spec(now: Instant, catalog: &Catalog, terms: &RequestMetadata) -> Option<RequestSpec> {
    let route = catalog.route("h", "/a/1")?;
    let class = catalog.service("pool")?.engine_class.as_ref()?;
    let spec = class.model("m")?;
    let wait = terms.deadline.unwrap_or(route.time_limit).min(route.time_limit);
    Some(RequestSpec {
        service: ServiceName::new("pool"),
        model: terms.model.clone(),
        prompt_tokens: terms.prompt_tokens,
        output_tokens: terms.expected_output_tokens(),
        output_tokens_max: terms.output_tokens_max,
        tokens_per_event: class.tokens_per_event,
        prompt_prefix_id: terms.prompt_parts.last().map(|part| part.hash),
        team: None,
        rank: route.rank,
        objective: route.objective,
        pause_limit: route.pause_limit,
        arrived_at: now,
        model_load: spec.load_from_store,
        model_load_min: spec.min_load_time(),
        first_byte_deadline: now + wait,
        seed: 1,
        is_continuation: false,
        software_version: None,
    })
}

fn dispatch(rng: &mut Rng, now: Instant, catalog: &Arc<Catalog>, records: &[Arc<ServerRecord>]) {
    let limit = RetryLimit { share: 0.2, window: Duration::from_secs(10), reserve: 56.0 };
    let mut dispatcher = Dispatcher::new(limit, 1);
    let mut server = |record: &Arc<ServerRecord>| ServerView {
        usable: record.state == ServerState::Ready,
        same_data_centre: true,
        resident_models: Arc::new(["m", "m/a1", "n"].into_iter().map(ModelName::new).collect()),
        other_vms_load: decoded_load(rng).bounded().plus(&decoded_load(rng).bounded()),
        record: Arc::clone(record),
        limit: None,
    };
    let servers = records.iter().map(&mut server).collect();
    let view = ClusterView {
        catalog: Some(Arc::clone(catalog)),
        servers,
        live_vms: odd_number(rng) as u32,
        vm_position: odd_number(rng) as u32,
        ..ClusterView::default()
    };
    dispatcher.update_view(now, &view);
    for step in 0..4_u64 {
        let now = now + Duration::from_millis(step * 300);
        let Some(request) = request_spec(now, catalog, &decoded_terms(rng)) else { return };
        dispatcher.record_arrival(&request);
        dispatcher.longest_duration(now, &request);
        dispatcher.enqueue(&request, &[]);
        if let Verdict::Send(server) = dispatcher.decide(now, &request, &[]) {
            let id = dispatcher.begin_request(now, &request, server);
            dispatcher.back_off(now, server, Duration::from_secs(odd_number(rng)));
            dispatcher.record_first_byte(now + Duration::from_millis(10), id);
            let step = Duration::from_millis(8);
            dispatcher.record_generation(id, request.output_tokens, step, Some(step));
            dispatcher.end_request(id);
        }
        dispatcher.poll_waiting(now);
        dispatcher.loads();
        dispatcher.take_demand(now);
    }
}

fn place(rng: &mut Rng, mut now: Instant, catalog: &Catalog, records: &[Arc<ServerRecord>]) {
    let valid_until = now + Duration::from_secs(3600);
    let term = LeaseTerm {
        holder: VmId::new("vm-1"),
        fence: odd_number(rng),
        valid_until,
        waits: OrderWaits::default(),
    };
    let mut controller = PlacementController::begin(now, term);
    for step in 0..40 {
        now += Duration::from_millis(250);
        controller.on_records(now, catalog, records.iter().map(|record| (record, true)));
        let demand = |model: &str, rng: &mut Rng| ModelDemand {
            model: ModelName::new(model),
            requests: odd_number(rng) as u32,
            prompt_tokens: odd_number(rng),
            in_flight: odd_number(rng) as u32,
        };
        let models = vec![demand("m/a2", rng), demand("n", rng)];
        let interval = Duration::from_secs(odd_number(rng));
        for vm in ["a", "b"] {
            let report = DemandReport { interval, models: models.clone() };
            controller.on_demand(now, &VmId::new(vm), &report);
        }
        controller.on_model_wanted(
            now,
            WantedModel { name: ModelName::new("n"), software_version: None },
        );
        for action in controller.tick(now, catalog) {
            match action {
                Action::RequestReport { server, .. } => {
                    let report = engine::decode_report(garbled(rng, REPORT).as_bytes()).ok();
                    controller.on_report(now, &server, report.as_ref());
                }
                Action::Order(order) => {
                    let answers =
                        [OrderAnswer::Accepted, OrderAnswer::Unclear, OrderAnswer::Conflict];
                    controller.on_answer(
                        now,
                        &order,
                        rng.choice(answers).unwrap_or(OrderAnswer::Accepted),
                    );
                }
            }
        }
        if step % 8 == 0 {
            controller.digests(now);
        }
    }
}

/// Guards against panics and overflows, which end a node or a part of it.
#[test]
fn no_number_from_outside_overflows_where_it_is_used() {
    fn survives(seed: u64) -> bool {
        let mut rng = Rng::with_seed(seed);
        let now = Instant::now();
        let (catalog, records) = (Arc::new(decoded_catalog(&mut rng)), decoded_records(&mut rng));
        dispatch(&mut rng, now, &catalog, &records);
        place(&mut rng, now, &catalog, &records);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(CASES_SIZE, CASES_SEED))
        .tests(CASES)
        .quickcheck(survives as fn(u64) -> bool);
}
