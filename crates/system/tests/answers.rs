//! Whole answers, through cut, silent and crossed connections and bad input.

use {
    glade_http::Pool,
    glade_load::{Outcome, call_chat},
    glade_system::Cluster,
};

fn engines_of(cluster: &Cluster, model: &str) -> Vec<String> {
    let engines = cluster.shown("/engines");
    let holds = |engine: &&serde_json::Value| {
        engine["models"].as_array().is_some_and(|models| models.iter().any(|name| name == model))
    };
    let engines = engines.as_array().expect("a list of engines").iter().filter(holds);
    engines.filter_map(|engine| engine["name"].as_str().map(str::to_owned)).collect()
}

fn ask(cluster: &Cluster, stream: bool) -> Outcome {
    let (pool, addr) = (Pool::new(), cluster.layout.caller(0));
    cluster.block_on(call_chat(&pool, addr, "chat-wo", 12, stream, "urgent"))
}

#[test]
fn answers_are_whole_or_errors() {
    let cluster = Cluster::start(2);
    assert!(matches!(ask(&cluster, true), Outcome::Whole { .. }));
    assert!(matches!(ask(&cluster, false), Outcome::Whole { .. }));

    let cases = [
        (r#"{"cut_streams": 1}"#, true),
        (r#"{"silent_streams": 1}"#, true),
        (r#"{"crossed_answers": 1}"#, true),
        (r#"{"crossed_answers": 1}"#, false),
    ];
    for (faults, stream) in cases {
        let holders = engines_of(&cluster, "chat-wo");
        holders.iter().for_each(|engine| cluster.faults(engine, faults));
        let outcome = ask(&cluster, stream);
        assert!(matches!(outcome, Outcome::Whole { .. }), "{faults}: {outcome:?}");
        holders.iter().for_each(|engine| cluster.faults(engine, "{}"));
    }

    // More cuts than a stream is resumed: an error, never an answer that looks whole.
    let holders = engines_of(&cluster, "chat-wo");
    holders.iter().for_each(|engine| cluster.faults(engine, r#"{"cut_streams": 9}"#));
    let outcome = ask(&cluster, true);
    let honest = match &outcome {
        Outcome::Whole { .. } | Outcome::Failed { .. } => true,
        Outcome::NotRun { .. } | Outcome::Wrong { .. } => false,
    };
    assert!(honest, "{outcome:?}");
    holders.iter().for_each(|engine| cluster.faults(engine, "{}"));

    bad_input_gets_a_clear_error(&cluster);
}

/// The engines have `faults`, and a stream is whole all the same.
fn assert_whole_through(cluster: &Cluster, faults: &str) {
    let holders = engines_of(cluster, "chat-wo");
    holders.iter().for_each(|engine| cluster.faults(engine, faults));
    let outcome = ask(cluster, true);
    assert!(matches!(outcome, Outcome::Whole { .. }), "{faults}: {outcome:?}");
    holders.iter().for_each(|engine| cluster.faults(engine, "{}"));
}

#[test]
fn a_stream_that_pauses_goes_on_although_its_engine_doesn_t_resume_it() {
    let cluster = Cluster::start(1);
    assert_whole_through(&cluster, r#"{"paused_streams": 1, "refused_resumes": 9}"#);
    assert_whole_through(&cluster, r#"{"paused_streams": 1, "unanswered_resumes": 9}"#);
}

#[test]
fn a_cut_stream_is_resumed_although_its_engine_refuses_that_once() {
    let cluster = Cluster::start(1);
    assert_whole_through(&cluster, r#"{"cut_streams": 1, "refused_resumes": 1}"#);
}

fn bad_input_gets_a_clear_error(cluster: &Cluster) {
    let chat = "/v1/chat/completions";
    let valid = r#"{"model":"chat","max_tokens":1}"#;
    let large = format!(r#"{{"model":"chat","x":"{}"}}"#, "x".repeat(5 << 20));
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);
    let cases: [Case<'_>; 8] = [
        (chat, &[], r#"{"model":"nope"}"#, 404, "model_not_found"),
        (chat, &[], r#"{"model":"market"}"#, 404, "model_not_found"),
        (chat, &[], r#"{"model":"#, 400, "bad_request"),
        (chat, &[], r#"{"stream":true}"#, 400, "bad_request"),
        (chat, &[], &large, 413, "body_too_large"),
        (chat, &[("x-priority", "soon")], valid, 400, "bad_request"),
        (chat, &[("x-deadline-ms", "-1")], valid, 400, "bad_request"),
        ("/services/nowhere/x", &[], "", 404, "model_not_found"),
    ];
    for (path, headers, body, status, code) in cases {
        let reply = cluster.call(0, path, headers, body).expect("an answer");
        let value: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
        assert_eq!((reply.status, value["error"]["code"].as_str()), (status, Some(code)), "{path}");
    }
}
