//! The operators' side: edits, conflicts, credentials, outages of the store, leaving and drain.

use {
    glade_system::{Cluster, run_program},
    std::fs,
};

#[test]
fn edits_are_applied_whole_or_not_at_all() {
    let mut cluster = Cluster::start(3);
    let folder = cluster.settings_path(0).parent().expect("a folder").to_owned();
    let file = folder.join("edited.csv");
    let path = file.to_string_lossy().into_owned();
    let table = cluster.cli(&["table", "get"]);
    assert_eq!((table.code, table.stderr.trim()), (0, "version 1"));

    // A bad cell is named, and nothing is applied.
    fs::write(&file, table.stdout.replace("chat,model,,20000000000", "chat,model,,none"))
        .expect("written");
    let bad = cluster.cli(&["table", "apply", "--based-on", "1", &path]);
    assert_eq!(bad.code, 2, "{bad:?}");
    assert!(bad.stderr.contains("row \"chat\", column \"memory_bytes\""), "{bad:?}");

    // A wrong credential changes nothing and isn't shown.
    let wrong = cluster.cli_as("wrong-credential-0123", &["table", "set", "chat", "weight=9"]);
    assert_eq!(wrong.code, 4, "{wrong:?}");
    assert!(!wrong.stderr.contains("wrong-credential"), "{wrong:?}");

    // Two operators who start from version 1: other rows merge, the same row conflicts by name.
    let set = cluster.cli(&["table", "set", "chat", "weight=9"]);
    assert_eq!(set.code, 0, "{set:?}");
    fs::write(&file, table.stdout.replace(",patient,1,", ",patient,7,")).expect("written");
    let merged = cluster.cli(&["table", "apply", "--based-on", "1", &path]);
    assert_eq!(merged.code, 0, "{merged:?}");
    let both = cluster.cli(&["table", "get"]).stdout;
    assert!(both.contains(",urgent,9,") && both.contains(",patient,7,"), "{both}");
    fs::write(
        &file,
        table
            .stdout
            .replace("chat,model,,20000000000,urgent,1,", "chat,model,,20000000000,urgent,3,"),
    )
    .expect("written");
    let conflict = cluster.cli(&["table", "apply", "--based-on", "1", &path]);
    assert_eq!(conflict.code, 5, "{conflict:?}");
    assert!(conflict.stderr.contains("chat"), "{conflict:?}");

    // The commit's answer is lost: the edit is settled by reading it back.
    cluster.faults("table", r#"{"lost_answers": 1}"#);
    let settled = cluster.cli(&["table", "set", "chat", "weight=4"]);
    assert!(settled.code == 0 || settled.code == 6, "{settled:?}");
    cluster.eventually("the edit is in force", || {
        cluster.cli(&["table", "get"]).stdout.contains("chat,model,,20000000000,urgent,4,")
    });

    // While the store is down edits are refused, work goes on, and a VM that starts meanwhile
    // gets the table from its peers.
    cluster.faults("table", r#"{"down": true}"#);
    cluster.faults("objects", r#"{"down": true}"#);
    assert_ne!(cluster.cli(&["table", "set", "chat", "weight=5"]).code, 0);
    cluster.kill_vm(2);
    cluster.start_vm(2);
    cluster.eventually("the new VM has the table", || {
        let reply =
            cluster.call(2, "/v1/chat/completions", &[], r#"{"model":"chat","max_tokens":1}"#);
        reply.is_some_and(|reply| reply.status == 200)
    });
    cluster.faults("table", "{}");
    cluster.faults("objects", "{}");

    leaving_engines_get_no_new_work(&cluster);
    a_drained_vm_ends_by_itself(&mut cluster);
    mistakes_are_named(&cluster);
}

fn leaving_engines_get_no_new_work(cluster: &Cluster) {
    let requests = || {
        let engines = cluster.shown("/engines");
        let count = |engine: &serde_json::Value| {
            let name = engine["name"].as_str().unwrap_or_default().to_owned();
            (name, engine["requests"].as_u64().unwrap_or(0))
        };
        engines.as_array().expect("engines").iter().map(count).collect::<Vec<_>>()
    };
    let ask = || {
        let body = r#"{"model":"chat","max_tokens":1}"#;
        let reply = cluster.call(0, "/v1/chat/completions", &[], body);
        reply.is_some_and(|reply| reply.status == 200)
    };
    let before = requests();
    assert!(ask());
    let after = requests();
    let used = before.iter().zip(&after).find(|(before, after)| before.1 < after.1);
    let (leaving, _) = used.expect("an engine served the request").0.clone();
    cluster.faults(&leaving, r#"{"leaving": true}"#);
    cluster.eventually("every VM knows of it", || {
        let lines = cluster.cli(&["--json", "backends"]).stdout;
        let lines: Vec<serde_json::Value> = serde_json::from_str(&lines).unwrap_or_default();
        lines.iter().any(|line| line["id"] == leaving.as_str() && line["leaving"] == true)
    });
    cluster.eventually("the model is resident elsewhere", ask);
    let count = |all: &[(String, u64)]| all.iter().find(|(name, _)| *name == leaving).map(|e| e.1);
    let at_rest = count(&requests());
    assert!((0..20).filter(|_| ask()).count() > 0);
    assert_eq!(count(&requests()), at_rest, "{leaving} got new work");
}

fn a_drained_vm_ends_by_itself(cluster: &mut Cluster) {
    let drained = cluster.cli(&["drain", "vm-2"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    assert_eq!(cluster.wait_entry(1), Some(0));
    let directory = cluster.get(cluster.layout.caller(0), "/v1/entries").expect("an answer");
    let left = cluster.layout.caller(1).to_string();
    assert!(!directory.body.contains(&left), "{}", directory.body);
}

fn mistakes_are_named(cluster: &Cluster) {
    let no_vm = cluster.cli(&["drain", "vm-9"]);
    assert!(no_vm.code == 4 && no_vm.stderr.contains("vm-9"), "{no_vm:?}");
    let no_row = cluster.cli(&["table", "set", "nope", "weight=1"]);
    assert!(no_row.code == 2 && no_row.stderr.contains("\"nope\""), "{no_row:?}");

    let path = cluster.settings_path(0);
    let text = fs::read_to_string(&path).expect("settings");
    let wrong = path.with_extension("wrong.yaml");
    fs::write(&wrong, text.replace("caller_port", "caller_prot")).expect("written");
    let wrong = wrong.to_string_lossy().into_owned();
    let checked = run_program("persimmonglade", &["check", &wrong], &[]);
    assert!(checked.code == 2 && checked.stderr.contains("caller_prot"), "{checked:?}");

    let taken = path.to_string_lossy().into_owned();
    let again = run_program("persimmonglade-entry", &["--settings", &taken], &[]);
    assert_eq!(again.code, 1);
    let port = cluster.layout.caller(0).port() + 2;
    assert!(again.stderr.contains(&format!("127.0.0.1:{port}")), "{again:?}");
}
