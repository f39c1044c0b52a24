//! A load of a given rate over several models.

use {
    crate::{
        caller::{Outcome, call_chat},
        directory::Directory,
    },
    glade_http::Pool,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval},
};

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Callers' ports that are asked for the directory first.
    pub seeds: Vec<SocketAddr>,
    /// Sends to `seeds` themselves and asks for no directory.
    pub direct: bool,
    /// Models and adapters, used in turn.
    pub models: Vec<String>,
    /// Requests started per second.
    pub rate_per_s: u32,
    /// How long requests are started.
    pub duration: Duration,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Priority of the requests.
    pub priority: String,
}

/// What came back.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Errors that the system reported.
    pub failed: u64,
    /// Cut answers, or another request's.
    pub wrong: u64,
    /// Median time to the first token, or to the answer, in microseconds.
    pub first_token_p50_us: u64,
    /// 99th percentile of the same.
    pub first_token_p99_us: u64,
    /// The first refusals and errors.
    pub reasons: Vec<String>,
}

/// Reasons kept in the report.
const MAX_REASONS: usize = 5;
/// Longest time that the histogram can hold, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;

/// Runs the load to its end.
pub async fn run_load(config: &LoadConfig) -> LoadReport {
    let directory = Arc::new(Directory::new(config.seeds.clone()));
    let pool = Arc::new(Pool::new());
    let mut ticks = interval(Duration::from_secs(1) / config.rate_per_s.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let until = Instant::now() + config.duration;
    let mut tasks = Vec::new();
    while Instant::now() < until {
        ticks.tick().await;
        let number = tasks.len();
        let model = config.models[number % config.models.len()].clone();
        let (directory, pool) = (Arc::clone(&directory), Arc::clone(&pool));
        let (tokens, stream, priority) = (config.tokens, config.stream, config.priority.clone());
        let direct = config.direct.then(|| config.seeds[number % config.seeds.len()]);
        tasks.push(tokio::spawn(async move {
            let addr = match (direct, directory.addrs()) {
                (Some(addr), _) => addr,
                (None, asked) => match asked.await {
                    Ok(addrs) => addrs[number % addrs.len()],
                    Err(err) => return Outcome::Failed { reason: err.to_string() },
                },
            };
            call_chat(&pool, addr, &model, tokens, stream, &priority).await
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.unwrap_or_else(|err| Outcome::Wrong { reason: err.to_string() }));
    }
    summarise(outcomes)
}

fn summarise(outcomes: Vec<Outcome>) -> LoadReport {
    let mut times = Histogram::<u64>::new_with_max(MAX_TIME_US, 3).expect("valid bounds");
    let mut report = LoadReport::default();
    for outcome in outcomes {
        report.requests += 1;
        let reason = match outcome {
            Outcome::Whole { first_token } => {
                report.whole += 1;
                times.saturating_record(u64::try_from(first_token.as_micros()).unwrap_or(0));
                continue;
            }
            Outcome::NotRun { reason } => {
                report.not_run += 1;
                reason
            }
            Outcome::Failed { reason } => {
                report.failed += 1;
                reason
            }
            Outcome::Wrong { reason } => {
                report.wrong += 1;
                reason
            }
        };
        if report.reasons.len() < MAX_REASONS {
            report.reasons.push(reason);
        }
    }
    report.first_token_p50_us = times.value_at_quantile(0.5);
    report.first_token_p99_us = times.value_at_quantile(0.99);
    report
}
