//! `persimmonglade-planner`: runs the planner daemon of one VM.

use {
    bpaf::Bpaf,
    glade_clock::SystemClock,
    glade_observe::print_error,
    glade_planner::Planner,
    glade_process::{EndSignals, ignore_stray_signals},
    glade_settings::Settings,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Watches engines, holds leases and carries out the placement of models and adapters.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file of this VM
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args = args().run();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            glade_observe::flush_logs();
            print_error(&format!("persimmonglade-planner: {err}"));
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("planner-io")
        .enable_all()
        .build()?;
    // Comes before all else: until then a signal ends the process.
    let mut end = runtime.block_on(async {
        ignore_stray_signals()?;
        EndSignals::open()
    })?;
    let settings = Settings::open(&args.settings)?;
    glade_observe::start_logging(settings.vm.name.as_str());
    runtime.block_on(async {
        let planner = Planner::spawn(&settings, Arc::new(SystemClock)).await?;
        tokio::select! {
            () = end.recv() => {}
            // Other planners take its leases over once they have expired.
            () = planner.panicked() => return Err("the control thread panicked; see the log".into()),
        }
        planner.stop();
        Ok(())
    })
}
