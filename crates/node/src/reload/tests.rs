//! Reloads of changed settings files.

use {super::*, std::time::Duration};

const SETTINGS: &str = "\
vm: { name: vm-1, data_centre: dc-1, region: dakar, cpu_share: 0.25 }
listen:
  callers: 10.0.0.1:80
  readiness: 10.0.0.1:81
  directory: 10.0.0.1:82
  peers: 10.0.0.1:83
  metrics_port: 9464
platform: { store: 10.0.0.9:1 }
seeds: ['10.0.0.2:83']
timing:
  lease_ms: 3000
  grace_s: 10
  directory_ttl_s: 2
  leaving_server_ms: 500
  registry_beat_ms: 1000
engines: { check_fences: true }
repeats: { share: 0.2, window_s: 10, reserve: 50 }
loads: { window_s: 5 }
";

fn settings(change: &[(&str, &str)]) -> NodeSettings {
    let mut text = SETTINGS.to_owned();
    for (from, to) in change {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    NodeSettings::parse(&text).expect("usable settings")
}

#[test]
fn limits_and_times_of_traffic_change_at_once() {
    let file = settings(&[("grace_s: 10", "grace_s: 20"), ("{ share: 0.2", "{ share: 0.1")]);
    let reload = Reload::new(&settings(&[]), &file);
    assert_eq!(reload.changed, ["repeats", "timing.grace_s"]);
    assert!(reload.needs_restart.is_empty());
    assert_eq!(reload.settings.timing.grace_period, Duration::from_secs(20));
    assert_eq!(*reload.settings, file);
}

#[test]
fn settings_fixed_for_the_life_of_a_process_stay_and_are_reported() {
    let present = settings(&[]);
    let file = settings(&[("10.0.0.1:83", "10.0.0.1:93"), ("lease_ms: 3000", "lease_ms: 5000")]);
    let reload = Reload::new(&present, &file);
    assert_eq!(reload.needs_restart, ["listen", "timing.lease_ms"]);
    assert_eq!(*reload.settings, present);
}

#[test]
fn the_same_file_changes_nothing() {
    let present = settings(&[]);
    let reload = Reload::new(&present, &present);
    assert!(reload.changed.is_empty() && reload.needs_restart.is_empty());
}
