//! `persimmonglade-fuzz`: runs the fuzzing worlds.

use {
    bpaf::Bpaf,
    glade_fuzz::{CallWorld, FuzzReport, PlannerWorld, TableWorld, fuzz},
    std::process::ExitCode,
};

/// Fuzz the decision cores against their oracles.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Seed of the run
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Operations to carry out, divided over the worlds
    #[bpaf(argument("N"), fallback(200_000))]
    steps: u64,
    /// Only this world: planners, calls or tables
    #[bpaf(argument("NAME"), optional)]
    world: Option<String>,
    /// Remove a guard, to show that the oracles notice: in-doubt, insert or version. Needs a build
    /// with the sabotage feature
    #[bpaf(argument("GUARD"), optional)]
    without: Option<String>,
}

/// Runs one world with a seed for a number of steps.
type Run = fn(u64, u64) -> FuzzReport;

fn main() -> ExitCode {
    let args = args().run();
    if let Some(guard) = &args.without
        && let Err(err) = remove_guard(guard)
    {
        eprintln!("persimmonglade-fuzz: {err}");
        return ExitCode::FAILURE;
    }
    let worlds: [(&str, Run); 3] = [
        ("planners", fuzz::<PlannerWorld>),
        ("calls", fuzz::<CallWorld>),
        ("tables", fuzz::<TableWorld>),
    ];
    let chosen: Vec<_> = worlds
        .into_iter()
        .filter(|(name, _)| args.world.as_ref().is_none_or(|world| world == name))
        .collect();
    if chosen.is_empty() {
        eprintln!("persimmonglade-fuzz: unknown world; known are planners, calls and tables");
        return ExitCode::FAILURE;
    }
    println!("seed: {}", args.seed);
    let share = args.steps.div_ceil(chosen.len() as u64);
    let mut violations = 0;
    for (name, run) in chosen {
        let report = run(args.seed, share);
        violations += u32::from(report.violation.is_some());
        print_report(name, &report);
    }
    println!("violations: {violations}");
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

#[cfg(feature = "sabotage")]
fn remove_guard(guard: &str) -> Result<(), String> {
    match guard {
        "in-doubt" => glade_ledger::sabotage::remove_guard(true),
        "insert" => glade_once::sabotage::remove_guard(true),
        "version" => glade_membership::sabotage::remove_guard(true),
        _ => return Err(format!("unknown guard {guard:?}; known are in-doubt, insert, version")),
    }
    Ok(())
}

#[cfg(not(feature = "sabotage"))]
fn remove_guard(_: &str) -> Result<(), String> {
    Err("--without needs a build with --features sabotage".to_owned())
}

fn print_report(name: &str, report: &FuzzReport) {
    println!("{name}: {} steps in {} sequences", report.steps, report.sequences);
    for (kind, count) in report.counts.iter() {
        println!("  {kind}: {count}");
    }
    if let Some(violation) = &report.violation {
        println!("{name}: violated with world seed {}:", violation.world_seed);
        println!("  {}", violation.message);
        for op in &violation.ops {
            println!("    {op}");
        }
    }
}
