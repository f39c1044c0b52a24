//! Logs of programs that end by a fault.

use std::process::Command;

/// Set for the process whose thread panics.
const PANICS: &str = "PERSIMMONGLADE_TEST_PANICS";

/// Runs the test `name` of this program as a process of its own and returns what it printed.
fn output_of(name: &str) -> String {
    let program = std::env::current_exe().expect("the test has a program");
    let output =
        Command::new(program).args([name, "--exact", "--nocapture"]).env(PANICS, "1").output();
    String::from_utf8_lossy(&output.expect("the test can be started").stdout).into_owned()
}

#[test]
fn the_log_of_a_thread_that_panics_ends_with_its_place_and_reason() {
    if std::env::var_os(PANICS).is_some() {
        glade_observe::start_logging("vm-1");
        let thread = std::thread::Builder::new().name("control".to_owned());
        let ended = thread.spawn(|| panic!("a broken invariant")).expect("a thread");
        assert!(ended.join().is_err());
        std::process::abort();
    }
    let printed = output_of("the_log_of_a_thread_that_panics_ends_with_its_place_and_reason");
    let line = printed.lines().find(|line| line.contains(r#""event":"panicked""#));
    let line = line.unwrap_or_else(|| panic!("no line in {printed}"));
    for part in [r#""vm":"vm-1""#, r#""thread":"control""#, "last_words.rs", "a broken invariant"] {
        assert!(line.contains(part), "{part} in {line}");
    }
}
