//! Calls that may run at most once, through the real daemons.

use {
    glade_catalog::RequestMetadata,
    glade_http::Pool,
    glade_load::call_service,
    glade_standins::site::Caller,
    glade_system::{Cluster, Reply},
    std::{
        net::TcpStream,
        thread::{scope, sleep},
        time::Duration,
    },
};

/// Time after which a VM that drains waits only for what is still to be done.
const DRAIN_TIME: Duration = Duration::from_secs(9);
/// Length of an answer that a slow caller's connection doesn't take at once.
const LONG_ANSWER_BYTES: usize = 600_000;

const CLAIMS: &str = "/services/market/claims";

fn claim(cluster: &Cluster, vm: u16, key: Option<&str>, body: &str) -> Reply {
    let headers: Vec<(&str, &str)> = key.map(|key| ("idempotency-key", key)).into_iter().collect();
    cluster.call(vm, CLAIMS, &headers, body).expect("the VM answers")
}

fn run_field(reply: &Reply) -> String {
    let value: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
    value["error"]["run"].as_str().unwrap_or_default().to_owned()
}

fn token(cluster: &Cluster, vm: u16) -> String {
    let reply = cluster.call(vm, "/v1/call-tokens", &[], "").expect("the VM answers");
    let value: serde_json::Value = serde_json::from_str(&reply.body).expect("JSON");
    value["token"].as_str().expect("a token").to_owned()
}

#[test]
fn calls_run_at_most_once_through_faults() {
    let mut cluster = Cluster::start(2);

    // The same answer through two VMs, one execution; another body under the key is refused.
    let (first, second) =
        (claim(&cluster, 0, Some("k1"), "load-1"), claim(&cluster, 1, Some("k1"), "load-1"));
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(second.headers.get("idempotent-replayed").map(String::as_str), Some("true"));
    assert_eq!(claim(&cluster, 0, Some("k1"), "load-other").status, 422);
    assert_eq!((cluster.executions("load-1"), cluster.executions("load-other")), (1, 0));

    // An answer that is lost after the call ran is never followed by a second run.
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, r#"{"lost_answers": 1}"#);
    }
    let lost = claim(&cluster, 0, Some("k2"), "load-2");
    assert_eq!((lost.status, run_field(&lost).as_str()), (502, "unknown"));
    let again = claim(&cluster, 1, Some("k2"), "load-2");
    assert_eq!((again.status, run_field(&again).as_str()), (502, "unknown"));
    assert_eq!(cluster.executions("load-2"), 1);
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, "{}");
    }

    // While the table service is down, the caller's own key is refused truthfully and a token
    // keeps claims going.
    cluster.faults("table", r#"{"down": true}"#);
    let refused = claim(&cluster, 0, Some("k3"), "load-3");
    assert_eq!((refused.status, run_field(&refused).as_str()), (503, "not_by_this_attempt"));
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(cluster.executions("load-3"), 0);
    let key = token(&cluster, 0);
    let first = claim(&cluster, 0, Some(&key), "load-4");
    let second = claim(&cluster, 0, Some(&key), "load-4");
    assert_eq!((first.status, &first.body), (200, &second.body));
    assert_eq!(claim(&cluster, 1, Some(&key), "load-4").status, 409, "only its VM may judge it");
    assert_eq!(cluster.executions("load-4"), 1);
    cluster.faults("table", "{}");
    cluster.eventually("the refused call can be made", || {
        claim(&cluster, 0, Some("k3"), "load-3").status == 200
    });
    assert_eq!(cluster.executions("load-3"), 1);

    // The insert's answer is lost: it is read back, and the call runs once.
    cluster.faults("table", r#"{"lost_answers": 1}"#);
    claim(&cluster, 0, Some("k5"), "load-5");
    cluster.eventually("the call has an answer", || {
        claim(&cluster, 1, Some("k5"), "load-5").status == 200
    });
    assert_eq!(cluster.executions("load-5"), 1);

    // A token doesn't outlive its VM, and is never run by the VM's next life.
    let key = token(&cluster, 1);
    cluster.kill_vm(1);
    cluster.start_vm(1);
    cluster.eventually("the VM is back", || {
        cluster.get(cluster.layout.caller(1), "/readyz").is_some_and(|reply| reply.status == 200)
    });
    let gone = claim(&cluster, 1, Some(&key), "load-6");
    assert_eq!((gone.status, run_field(&gone).as_str()), (502, "unknown"));
    assert_eq!(cluster.executions("load-6"), 0);

    // No server can be connected to: proved not run.
    let none = claim(&cluster, 0, None, "load-7");
    assert_eq!(none.status, 200);
}

#[test]
fn an_outcome_that_the_table_service_couldn_t_take_is_written_before_its_vm_ends() {
    let mut cluster = Cluster::start(2);
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, r#"{"slow_ms": 1500}"#);
    }
    scope(|threads| {
        let answered = threads.spawn(|| claim(&cluster, 1, Some("k1"), "load-1"));
        sleep(Duration::from_millis(700));
        cluster.faults("table", r#"{"down": true}"#);
        assert_eq!(answered.join().expect("the VM answers").status, 200);
    });
    let drained = cluster.cli(&["drain", "vm-2"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    sleep(DRAIN_TIME);
    cluster.faults("table", "{}");
    assert_eq!(cluster.wait_entry(1), Some(0));
    let again = claim(&cluster, 0, Some("k1"), "load-1");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.headers.get("idempotent-replayed").map(String::as_str), Some("true"));
    assert_eq!(cluster.executions("load-1"), 1);
}

#[test]
fn a_token_of_a_silent_vm_isn_t_called_gone_while_it_may_still_run() {
    let cluster = Cluster::start(2);
    let key = token(&cluster, 1);
    cluster.pause_entry(1);
    cluster.eventually("the VM counts as silent", || {
        let lines = cluster.cli(&["--json", "vms"]).stdout;
        let lines: Vec<serde_json::Value> = serde_json::from_str(&lines).unwrap_or_default();
        lines.iter().any(|line| line["vm"] == "vm-2" && line["live"] == false)
    });
    let elsewhere = claim(&cluster, 0, Some(&key), "load-1");
    cluster.resume_entry(1);
    assert_eq!(claim(&cluster, 1, Some(&key), "load-1").status, 200);
    assert_eq!(elsewhere.status, 409, "it still ran: {elsewhere:?}");
    assert!(elsewhere.headers.contains_key("retry-after"));
}

#[test]
fn a_vm_that_drains_stays_until_a_slow_caller_has_all_of_its_answer() {
    let mut cluster = Cluster::start(2);
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, &format!("{{\"answer_bytes\": {LONG_ANSWER_BYTES}}}"));
    }
    let (caller, terms) = (Caller::slow(DRAIN_TIME), RequestMetadata::default());
    let addr = cluster.layout.caller(1);
    // Connections without a request aren't waited for.
    let (pool, _unused) = (Pool::new(), TcpStream::connect(addr).expect("the VM takes it"));
    let used = cluster.block_on(call_service(&pool, addr, CLAIMS, None, "load-0"));
    assert!(used.is_ok(), "{used:?}");
    let reply = scope(|threads| {
        let sent = caller.send(addr, "POST", "market", CLAIMS, &terms, "load-1");
        let slow = threads.spawn(|| cluster.block_on(sent));
        cluster.eventually("it is answered", || cluster.executions("load-1") == 1);
        let drained = cluster.cli(&["drain", "vm-2"]);
        assert_eq!(drained.code, 0, "{drained:?}");
        slow.join().expect("the caller ends")
    });
    let reply = reply.expect("an answer");
    assert_eq!((reply.body.len(), reply.whole), (LONG_ANSWER_BYTES, true));
    assert_eq!(cluster.wait_entry(1), Some(0));
}
