//! `persimmonglade-soak`: faults from outside on real nodes, by a seed.

use {
    bpaf::Bpaf,
    glade_clock::SystemClock,
    glade_soak::{Releases, Series, Size, Soak, Stalls},
    std::{path::PathBuf, process::ExitCode, sync::Arc, time::Duration},
};

/// Plays faults from outside on real nodes and checks what callers and backend servers see.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Seeds to play, one after the other
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Nodes
    #[bpaf(argument("N"), fallback(5))]
    nodes: usize,
    /// Engines
    #[bpaf(argument("N"), fallback(4))]
    engines: usize,
    /// Seconds of faults for each seed
    #[bpaf(argument("S"), fallback(60))]
    time_s: u64,
    /// Mean milliseconds between two faults
    #[bpaf(argument("MS"), fallback(500))]
    gap_ms: u64,
    /// Mean milliseconds between two stalls of servers; 0 for none, as seeds were played before there
    /// were any
    #[bpaf(argument("MS"), fallback(300))]
    stall_gap_ms: u64,
    /// Engines run what they keep a place for
    keep_reservations: bool,
    /// Second from which requests with a part that crashes engines come; 0 for none
    #[bpaf(argument("S"), fallback(0))]
    crashing_from_s: u64,
    /// Second from which servers name limits on their requests; 0 for none
    #[bpaf(argument("S"), fallback(0))]
    limits_from_s: u64,
    /// Mean milliseconds between two requests
    #[bpaf(argument("MS"), fallback(5))]
    request_gap_ms: u64,
    /// Mean milliseconds between two series of restarts, reloads or configurations; 0 for none
    #[bpaf(argument("MS"), fallback(0))]
    series_gap_ms: u64,
    /// Callers that keep their connections, if there are series
    #[bpaf(argument("N"), fallback(24))]
    kept_callers: usize,
    /// Mean milliseconds between two odd rows or repeated answers; 0 for none
    #[bpaf(argument("MS"), fallback(0))]
    odd_gap_ms: u64,
    /// Mean milliseconds between two releases of the engines' software, or ends of all nodes; 0 for none.
    /// Engines that start again count as crashed by a part
    #[bpaf(argument("MS"), fallback(0))]
    release_gap_ms: u64,
    /// Callers that take their streams up, if there are releases
    #[bpaf(argument("N"), fallback(24))]
    resuming_callers: usize,
    /// Mean milliseconds between two losses of touch: the store turns nodes away while a server is removed, a
    /// node stands still while an engine is released, or open connections go silent for good; 0 for none
    #[bpaf(argument("MS"), fallback(0))]
    out_of_touch_gap_ms: u64,
    /// Teams with keys and quotas; one in twelve requests has an unknown key, and keys are revoked.
    /// No callers keep their connections then
    teams: bool,
    /// Nodes of small VMs, at which a crowd of callers holds bodies just short of their end
    hostile_clients: bool,
    /// Program of another version of the node, to which nodes change and back as they are started again
    #[bpaf(argument("PATH"), optional)]
    other_node: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = args().run();
    let size = Size {
        nodes: args.nodes.max(1),
        engines: args.engines.max(1),
        time: Duration::from_secs(args.time_s),
        gap: Duration::from_millis(args.gap_ms.max(1)),
        stalls: (args.stall_gap_ms > 0).then(|| Stalls {
            gap: Duration::from_millis(args.stall_gap_ms),
            reject_reserved: !args.keep_reservations,
        }),
        request_gap: Duration::from_millis(args.request_gap_ms.max(1)),
        crashing_from: (args.crashing_from_s > 0)
            .then(|| Duration::from_secs(args.crashing_from_s)),
        limits_from: (args.limits_from_s > 0).then(|| Duration::from_secs(args.limits_from_s)),
        series: (args.series_gap_ms > 0).then(|| Series {
            gap: Duration::from_millis(args.series_gap_ms),
            callers: args.kept_callers,
        }),
        odd_gap: (args.odd_gap_ms > 0).then(|| Duration::from_millis(args.odd_gap_ms)),
        releases: (args.release_gap_ms > 0).then(|| Releases {
            gap: Duration::from_millis(args.release_gap_ms),
            callers: args.resuming_callers,
        }),
        out_of_touch_gap: (args.out_of_touch_gap_ms > 0)
            .then(|| Duration::from_millis(args.out_of_touch_gap_ms)),
        teams: args.teams,
        hostile_clients: args.hostile_clients,
    };
    let mut broken = 0;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let report =
            Soak::start_with(seed, size, Arc::new(SystemClock), args.other_node.clone()).run();
        println!(
            "seed {seed}: {} requests, {} served, {} faults, violations: {}",
            report.requests,
            report.served,
            report.faults,
            report.violations.len()
        );
        if report.taken_up > 0 {
            println!("  {} streams taken up, {} went on", report.taken_up, report.went_on);
        }
        report.violations.iter().for_each(|violation| println!("  {violation}"));
        report.logs.iter().for_each(|folder| println!("  logs in {}", folder.display()));
        broken += report.violations.len();
    }
    println!("violations: {broken}");
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
