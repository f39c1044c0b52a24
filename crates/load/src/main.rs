//! `persimmonglade-load`: checked requests against callers' ports on loopback.

use {
    bpaf::Bpaf,
    glade_http::Pool,
    glade_load::{LoadConfig, call_service, run_load},
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

/// Longest load, in seconds.
const MAX_SECONDS: u64 = 600;

/// Send checked requests to callers' ports on loopback.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Callers' port of a VM; may be given several times
    #[bpaf(argument("IP:PORT"), some("give at least one --seed IP:PORT"))]
    seed: Vec<SocketAddr>,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Chat requests at a steady rate; fails unless every answer is whole
    #[bpaf(command)]
    Chat {
        /// Requests started per second
        #[bpaf(argument("N"), fallback(50))]
        rate: u32,
        /// How long requests are started
        #[bpaf(argument("N"), fallback(5))]
        seconds: u64,
        /// Tokens of each answer
        #[bpaf(argument("N"), fallback(8))]
        tokens: u32,
        /// Stream the answers
        #[bpaf(switch)]
        stream: bool,
        /// urgent or patient
        #[bpaf(argument("NAME"), fallback("urgent".to_owned()))]
        priority: String,
        /// Models and adapters, used in turn
        #[bpaf(positional("MODEL"), some("give at least one MODEL"))]
        models: Vec<String>,
    },
    /// What an entry adds to calls that aren't streamed: the same load straight to an engine and
    /// through the first seed, in turn
    #[bpaf(command)]
    Overhead {
        /// Requests started per second
        #[bpaf(argument("N"), fallback(500))]
        rate: u32,
        /// Length of each of the four rounds
        #[bpaf(argument("N"), fallback(5))]
        seconds: u64,
        /// The engine
        #[bpaf(argument("IP:PORT"))]
        engine: SocketAddr,
        /// A model that only this engine holds
        #[bpaf(positional("MODEL"))]
        model: String,
    },
    /// A call to a plain service, made twice under one key; fails unless both answers are the same
    #[bpaf(command)]
    Claim {
        /// Path, as /services/market/claims
        #[bpaf(positional("PATH"))]
        path: String,
        /// Key of the call
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args().run();
    if let Some(addr) = args.seed.iter().find(|addr| !addr.ip().is_loopback()) {
        eprintln!("persimmonglade-load: {addr} isn't on loopback");
        return ExitCode::FAILURE;
    }
    match args.command {
        Command::Chat { rate, seconds, tokens, stream, priority, models } => {
            let config = LoadConfig {
                seeds: args.seed,
                direct: false,
                models,
                rate_per_s: rate,
                duration: Duration::from_secs(seconds.min(MAX_SECONDS)),
                tokens,
                stream,
                priority,
            };
            let report = run_load(&config).await;
            println!("{}", serde_json::to_string(&report).expect("plain structure"));
            if report.whole == report.requests { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Overhead { rate, seconds, engine, model } => {
            let duration = Duration::from_secs(seconds.min(MAX_SECONDS));
            overhead(args.seed[0], engine, &model, rate, duration).await
        }
        Command::Claim { path, key } => claim(&args.seed, &path, &key).await,
    }
}

/// Measures an engine and an entry before it in turn, twice.
async fn overhead(
    entry: SocketAddr,
    engine: SocketAddr,
    model: &str,
    rate_per_s: u32,
    duration: Duration,
) -> ExitCode {
    let mut whole = true;
    for (name, addr) in [("engine", engine), ("entry", entry), ("engine", engine), ("entry", entry)]
    {
        let config = LoadConfig {
            seeds: vec![addr],
            direct: true,
            models: vec![model.to_owned()],
            rate_per_s,
            duration,
            tokens: 1,
            stream: false,
            priority: "urgent".to_owned(),
        };
        let report = run_load(&config).await;
        whole &= report.whole == report.requests;
        println!("{name}: {}", serde_json::to_string(&report).expect("plain structure"));
    }
    if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Makes the same call through two VMs.
async fn claim(seeds: &[SocketAddr], path: &str, key: &str) -> ExitCode {
    let pool = Pool::new();
    let mut answers = Vec::new();
    for idx in 0..2 {
        let addr = seeds[idx % seeds.len()];
        match call_service(&pool, addr, path, Some(key), key).await {
            Ok((status, body)) => {
                println!("{addr}: status {status}, {body}");
                answers.push((status, body));
            }
            Err(err) => {
                eprintln!("persimmonglade-load: {err}");
                return ExitCode::FAILURE;
            }
        }
    }
    let same = answers[0] == answers[1] && answers[0].0 == 200;
    if same { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
