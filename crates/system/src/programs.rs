//! Finds and runs the workspace's programs.

use {
    crate::ports,
    std::{
        fs,
        path::PathBuf,
        process::{Child, Command, Stdio},
    },
};

/// What a program that has ended printed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Path of the program called `name`: beside the running program, or beside the folder of the running
/// test.
pub fn program(name: &str) -> PathBuf {
    let running = std::env::current_exe().expect("the running program's own path is known");
    let folder = running.parent().expect("a program lies in a folder");
    let is_test = folder.file_name().is_some_and(|name| name == "deps");
    let folder = if is_test { folder.parent().unwrap_or(folder) } else { folder };
    let path = folder.join(name);
    assert!(path.exists(), "{name} isn't built; run `make test`, or `cargo build --workspace`");
    path
}

/// Runs a program to its end.
pub fn run_program(name: &str, args: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(program(name));
    command.args(args).envs(variables.iter().copied()).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = ports::spawn(&mut command).expect("the program can be started");
    let output = child.wait_with_output().expect("an own child can be waited for");
    Output {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Most memory that a process has had so far, in kB; 0 if it has ended.
pub(crate) fn peak_memory_kb(child: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Number of descriptors that a process has open; 0 if it has ended.
pub(crate) fn open_descriptors(child: &Child) -> usize {
    fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count)
}
