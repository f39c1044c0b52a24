//! Settings of the node: what is accepted, and how faults are named.

use glade_settings::{NodeSettings, SettingsError};

const GOOD: &str = r#"
vm: { name: "vm-1", data_centre: "dc-1", region: "r-1", cpu_share: 0.25 }
listen:
  callers: "10.1.0.38:8149"
  readiness: "10.1.0.38:8141"
  directory: "10.1.0.38:8143"
  peers: "10.1.0.38:8144"
  metrics_port: 9464
platform: { store: "10.200.1.7:8142" }
seeds: ["10.2.0.40:8144"]
timing: { lease_ms: 3000, grace_s: 8, directory_ttl_s: 2, leaving_server_ms: 2000,
  registry_beat_ms: 1200 }
engines: { check_fences: true }
repeats: { share: 0.2, window_s: 10, reserve: 54 }
loads: { window_s: 5 }
"#;

#[test]
fn good_settings_are_accepted() {
    let settings = NodeSettings::parse(GOOD).expect("good settings");
    assert_eq!(settings.listen.metrics, "10.1.0.38:9464".parse().expect("an address"));
    assert_eq!(settings.seeds.len(), 1);
    assert!(settings.engines_check_fences);
}

#[test]
fn a_missing_list_of_seeds_is_an_empty_one() {
    let text = GOOD.replace("seeds: [\"10.2.0.40:8144\"]", "seeds: null");
    assert!(NodeSettings::parse(&text).expect("good settings").seeds.is_empty());
}

#[test]
fn a_start_isnt_the_first_one_unless_it_says_so() {
    assert!(!NodeSettings::parse(GOOD).expect("good settings").first_start);
    let text = GOOD.replace("cpu_share: 0.25", "cpu_share: 0.25, first_start: true");
    assert!(NodeSettings::parse(&text).expect("good settings").first_start);
}

#[test]
fn faults_are_named_by_key() {
    let faults = [
        ("name: \"vm-1\"", "name: \"vm 1\"", "vm.name"),
        ("cpu_share: 0.25", "cpu_share: 0", "vm.cpu_share"),
        ("10.1.0.38:8144", "10.1.0.38:8143", "listen.peers"),
        ("10.1.0.38:8141", "10.1.0.38:0", "listen.readiness"),
        ("lease_ms: 3000", "lease_ms: 0", "timing.lease_ms"),
        ("grace_s: 8", "grace_s: -1", "timing.grace_s"),
        ("{ share: 0.2", "{ share: -0.2", "repeats.share"),
        ("window_s: 5", "window_s: 99999", "loads.window_s"),
    ];
    for (good, bad, key) in faults {
        let found = NodeSettings::parse(&GOOD.replacen(good, bad, 1)).expect_err(key);
        assert!(
            matches!(&found, SettingsError::Invalid { key: named, .. } if *named == key),
            "{found}"
        );
    }
}

#[test]
fn unknown_and_missing_keys_are_refused() {
    for text in [GOOD.replace("loads:", "lodes:"), GOOD.replace("region: \"r-1\", ", "")] {
        let found = NodeSettings::parse(&text).expect_err("a fault");
        assert!(matches!(found, SettingsError::Malformed { .. }), "{found}");
        assert_eq!(found.to_string().lines().count(), 1, "{found}");
    }
}
