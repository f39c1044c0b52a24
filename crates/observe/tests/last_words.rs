//! Logs of programs that end by a fault.

use std::{
    io::{PipeReader, PipeWriter, Write, pipe},
    process::{Command, Stdio},
    thread,
    time::Duration,
};

/// Set for the process whose thread panics.
const PANICS: &str = "PERSIMMONGLADE_TEST_PANICS";
/// Bytes that a pipe holds while nobody reads it.
const PIPE_BYTES: usize = 64 << 10;
/// Bytes that the test program itself prints.
const PRINTED_BYTES: usize = 4 << 10;
/// Lines of the log, more than the pipe takes.
const LINES: u32 = 200;

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

/// A pipe that nobody reads, with so many bytes in it.
fn pipe_with(bytes: usize) -> (PipeReader, PipeWriter) {
    let (reader, mut writer) = pipe().expect("a pipe");
    writer.write_all(&vec![b'\n'; bytes]).expect("the pipe holds that much");
    (reader, writer)
}

#[test]
fn a_panic_and_a_flush_dont_wait_for_whoever_reads_the_output() {
    let name = "a_panic_and_a_flush_dont_wait_for_whoever_reads_the_output";
    if std::env::var_os(PANICS).is_some() {
        glade_observe::start_logging("vm-1");
        for line in 0..LINES {
            log::warn!(line = line; "a line of the log");
        }
        let panics = || panic!("a broken invariant");
        assert!(thread::spawn(panics).join().is_err());
        glade_observe::flush_logs();
        glade_observe::print_error("last words");
        std::process::exit(7);
    }
    let (_stdout_reader, stdout) = pipe_with(PIPE_BYTES - PRINTED_BYTES);
    let (_stderr_reader, stderr) = pipe_with(PIPE_BYTES);
    let mut command = Command::new(std::env::current_exe().expect("the test has a program"));
    command.args([name, "--exact", "--nocapture", "--quiet"]).env(PANICS, "1");
    command.stdin(Stdio::null()).stdout(stdout).stderr(stderr);
    let mut child = command.spawn().expect("the test can be started");
    let mut ended = None;
    for _ in 0..6000 {
        ended = child.try_wait().expect("an own child");
        if ended.is_some() {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    // Fails only if it has ended.
    let _ = child.kill();
    assert_eq!(ended.and_then(|status| status.code()), Some(7));
}
