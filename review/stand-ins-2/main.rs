//! Stand-ins and scenarios of the second review: `stand-ins-2 engine ...`, or
//! `stand-ins-2 SCENARIO PROGRAM REPOSITORY WORK RECORD` with `TROUBLE=0` for a run without the disruption.

mod deployment;
mod early_end;
mod engine;
mod http;
mod json;
mod late_readers;
mod store;

use std::{
    env,
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    process::exit,
    sync::Mutex,
    time::{Duration, Instant},
};

/// How a scenario ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

/// What a scenario is given.
pub struct Context {
    pub program: PathBuf,
    pub repository: PathBuf,
    pub work: PathBuf,
    pub has_trouble: bool,
    record: Mutex<File>,
    began_at: Instant,
}

impl Context {
    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().expect("lock");
        let at = self.began_at.elapsed().as_secs_f64();
        let _ = writeln!(record, "{at:8.3} {line}");
    }
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|name| name == "engine") {
        return engine::run(&args[1..]);
    }
    let [scenario, program, repository, work, record] = &args[..] else {
        eprintln!("usage: stand-ins-2 SCENARIO PROGRAM REPOSITORY WORK RECORD");
        exit(2);
    };
    let Ok(record) = File::create(record) else {
        eprintln!("the record can't be written");
        exit(2);
    };
    let context = Context {
        program: Path::new(program).to_owned(),
        repository: Path::new(repository).to_owned(),
        work: Path::new(work).to_owned(),
        has_trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        record: Mutex::new(record),
        began_at: Instant::now(),
    };
    deployment::watch(Duration::from_secs(116));
    let outcome = match scenario.as_str() {
        "early-end" => early_end::play(&context),
        "late-readers" => late_readers::play(&context),
        _ => Outcome::NotRun,
    };
    context.note(&format!("outcome: {outcome:?}"));
    println!("{outcome:?}");
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun => 2,
    });
}
