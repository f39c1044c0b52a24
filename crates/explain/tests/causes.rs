//! Causes found in lines as nodes write them.

use glade_explain::{Cause, LogLine, Story};

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

fn cause(text: &str) -> String {
    Story::gather("r1", &lines(text)).expect("lines of r1").cause().to_string()
}

const SENT: &str = r#"{"t_ms":100,"level":"INFO","vm":"vm-1","event":"request_sent","id":"r1","route":"chat","config":3,"model":"m0","server":"e1","attempt":1,"after_ms":0,"own":2,"others":5}"#;

#[test]
fn a_line_is_found_behind_what_a_collector_puts_before_it() {
    let line = LogLine::parse(&format!("   0.1121 vm-1 {SENT}")).expect("a line");
    assert_eq!((line.t_ms, line.vm.as_str(), line.event.as_str()), (100, "vm-1", "request_sent"));
    assert_eq!((line.text("server"), line.number("others")), ("e1", 5));
    for other in ["", "no json", "{\"t_ms\":1}", "{\"t_ms\":1,\"vm\":\"a\",\"event\":"] {
        assert_eq!(LogLine::parse(other), None, "{other}");
    }
}

#[test]
fn a_refused_request_is_told_from_one_that_may_have_run() {
    let refused = format!(
        "{SENT}\n{}\n{}",
        r#"{"t_ms":104,"vm":"vm-1","event":"attempt_failed","id":"r1","server":"e1","failure":"refused","may_have_run":false,"after_ms":4}"#,
        r#"{"t_ms":105,"vm":"vm-1","event":"request_given_up","id":"r1","status":503,"cause":"overloaded","retry_after_ms":700,"model":"m0","attempts":1,"after_ms":5}"#,
    );
    assert_eq!(
        cause(&refused),
        "given up with 503 after 1 attempts: every server was too busy to answer in time \
         (overloaded); the last attempt, at e1, failed: it stated that it didn't run the \
         request (refused)"
    );
    let unknown = r#"{"t_ms":900,"vm":"vm-1","event":"repeat_budget_used_up","id":"r1"}
{"t_ms":901,"vm":"vm-1","event":"request_given_up","id":"r1","status":502,"cause":"no_answer","attempts":1}"#;
    assert_eq!(
        cause(unknown),
        "given up with 502 after 1 attempts: it may have run, and no answer can be had \
         (no_answer); the bound on repeats was reached"
    );
}

#[test]
fn a_rejected_request_was_never_sent() {
    let text = r#"{"t_ms":1,"vm":"vm-1","event":"request_rejected","id":"r1","status":404,"cause":"no_route","config_version":7}"#;
    let expected = "answered 404 before it was sent anywhere: no route leads there in the \
                    configuration in force (no_route)";
    assert_eq!(cause(text), expected);
}

#[test]
fn a_request_without_a_valid_key_is_told_with_the_cause() {
    let causes = [
        "no_key",
        "several_keys",
        "other_scheme",
        "empty_key",
        "key_too_long",
        "unknown_key",
        "key_revoked",
    ];
    for name in causes {
        let text = format!(
            r#"{{"t_ms":1,"vm":"vm-1","event":"request_rejected","id":"r1","status":401,"cause":"{name}"}}"#
        );
        let told = cause(&text);
        assert!(told.starts_with("answered 401 before it was sent anywhere: "), "{told}");
        assert!(told.contains(" key") || told.contains("Authorization"), "{told}");
        assert!(told.ends_with(&format!("({name})")), "{told}");
    }
}

#[test]
fn a_stream_that_is_refused_for_its_software_version_is_told_so() {
    let text = r#"{"t_ms":1,"vm":"vm-1","event":"request_given_up","id":"r1","status":503,"cause":"version_unknown","attempts":0}"#;
    assert_eq!(
        cause(text),
        "given up with 503 after 0 attempts: it isn't known which software version began its \
         stream (version_unknown)"
    );
}

#[test]
fn a_stream_cut_after_a_hand_over_names_the_server_that_was_left() {
    let text = format!(
        "{SENT}\n{}\n{}\n{}",
        r#"{"t_ms":1910,"vm":"vm-1","event":"server_left","id":"r1","server":"e1","other":"e2","proof":"not_rejected","after_ms":1810}"#,
        r#"{"t_ms":1950,"vm":"vm-1","event":"attempt_failed","id":"r1","server":"e2","failure":"refused","may_have_run":false,"after_ms":1850}"#,
        r#"{"t_ms":1954,"vm":"vm-1","event":"stream_ended","id":"r1","outcome":"broken_off","cause":"overloaded","pause_ms":1700,"attempts":4,"after_ms":1854}"#,
    );
    assert_eq!(
        cause(&text),
        "the stream was cut: e2 failed midway: it stated that it didn't run the request \
         (refused); e1 was silent and was left for e2; it couldn't be resumed: every server was \
         too busy to answer in time (overloaded)"
    );
}

#[test]
fn a_cut_stream_names_the_server() {
    let text = format!(
        "{SENT}\n{}\n{}\n{}",
        r#"{"t_ms":140,"vm":"vm-1","event":"request_answered","id":"r1","server":"e1","status":200,"after_ms":40}"#,
        r#"{"t_ms":300,"vm":"vm-1","event":"attempt_failed","id":"r1","server":"e1","failure":"broken","may_have_run":true,"after_ms":200}"#,
        r#"{"t_ms":301,"vm":"vm-1","event":"stream_ended","id":"r1","outcome":"broken_off","pause_ms":70,"attempts":1,"after_ms":201}"#,
    );
    assert_eq!(
        cause(&text),
        "the stream was cut: e1 failed midway: the connection broke, or the answer ended early \
         (broken); it couldn't be resumed"
    );
}

#[test]
fn a_late_answer_names_what_took_longest() {
    let answered = |after_ms| {
        let line =
            r#"{"vm":"vm-1","event":"request_answered","id":"r1","server":"e1","status":200,"#;
        format!("{line}\"t_ms\":{},\"after_ms\":{after_ms}}}", 100 + after_ms)
    };
    let slow = format!("{SENT}\n{}", answered(620));
    let expected = "served, first byte after 620 ms: e1 took 620 ms with 7 requests under way";
    assert_eq!(cause(&slow), expected);
    let waits = r#"{"t_ms":99,"vm":"vm-1","event":"request_waits","id":"r1","model":"m0/a1","missing":true,"after_ms":0}"#;
    let sent = SENT.replace("\"after_ms\":0", "\"after_ms\":450");
    let missing = format!("{waits}\n{sent}\n{}", answered(470));
    let expected = "served, first byte after 470 ms: it waited 450 ms until a server held m0/a1";
    assert_eq!(cause(&missing), expected);
    let crowded = missing.replace("true", "false");
    let expected = "served, first byte after 470 ms: it waited 450 ms for room on a server";
    assert_eq!(cause(&crowded), expected);
}

#[test]
fn a_stream_that_paused_says_so() {
    let text = format!(
        "{SENT}\n{}\n{}",
        r#"{"t_ms":140,"vm":"vm-1","event":"request_answered","id":"r1","server":"e1","status":200,"after_ms":40}"#,
        r#"{"t_ms":900,"vm":"vm-1","event":"stream_ended","id":"r1","outcome":"whole","pause_ms":412,"attempts":1,"after_ms":800}"#,
    );
    assert_eq!(
        cause(&text),
        "served, first byte after 40 ms: nothing held it up; then the stream paused for 412 ms"
    );
}

#[test]
fn missing_lines_are_not_guessed() {
    assert_eq!(Story::gather("r1", &lines(SENT)).expect("lines").cause(), Cause::Unfinished);
    assert_eq!(Story::gather("r2", &lines(SENT)), None);
}

#[test]
fn what_was_believed_of_its_server_and_ordered_for_its_model_is_shown() {
    let text = format!(
        "{SENT}\n{}\n{}\n{}\n{}",
        r#"{"t_ms":90,"vm":"vm-2","event":"server_gone","server":"e1","revision":5}"#,
        r#"{"t_ms":95,"vm":"vm-1","event":"server_set_aside","server":"e1","time_ms":500,"failure":"silent"}"#,
        r#"{"t_ms":96,"vm":"vm-1","event":"server_set_aside","server":"e2","time_ms":500,"failure":"silent"}"#,
        r#"{"t_ms":97,"vm":"vm-3","event":"move_decided","server":"e4","model":"m0","dropped":"m9","from_store":true}"#,
    );
    let story = Story::gather("r1", &lines(&text)).expect("lines");
    let around: Vec<&str> = story.around.iter().map(|line| line.text("server")).collect();
    assert_eq!(around, ["e1", "e4"]);
    let shown = story.to_string();
    assert!(shown.contains("     -5 ms ~ vm-1 server_set_aside"), "{shown}");
    assert!(shown.contains("      0 ms   vm-1 request_sent"), "{shown}");
}

#[test]
fn a_caller_that_left_is_told_with_what_its_request_did() {
    let waits = r#"{"t_ms":101,"vm":"vm-1","event":"request_waits","id":"r1","model":"m0","missing":true,"after_ms":1}
{"t_ms":780,"vm":"vm-1","event":"request_left","id":"r1","stage":"waiting_for_model","after_ms":680}"#;
    assert_eq!(
        cause(waits),
        "the caller left after 680 ms: it waited for its model, which no server held \
         (waiting_for_model)"
    );
}

#[test]
fn a_refusal_for_quarantined_parts_names_them_and_their_crashes() {
    let refused = r#"{"t_ms":101,"vm":"vm-1","event":"request_quarantined","id":"r1","parts":"f1,dead","crashes":5,"known_ms":900,"trial_in_ms":14100,"after_ms":0}
{"t_ms":101,"vm":"vm-1","event":"request_given_up","id":"r1","status":503,"cause":"quarantined","retry_after_ms":14100,"model":"m0","attempts":0,"after_ms":0}"#;
    assert_eq!(
        cause(refused),
        "given up with 503 after 0 attempts: its prompt holds parts that crash engines (quarantined): f1,dead, which \
         were at 5 crashes"
    );
}
