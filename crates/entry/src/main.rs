//! `persimmonglade-entry`: runs the entry daemon of one VM.

use {
    bpaf::Bpaf,
    glade_clock::SystemClock,
    glade_entry::Entry,
    glade_observe::print_error,
    glade_process::{EndSignals, ignore_stray_signals},
    glade_settings::Settings,
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Serves callers and operators on one VM.
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
            print_error(&format!("persimmonglade-entry: {err}"));
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("traffic")
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
        let entry = Entry::spawn(&settings, Arc::new(SystemClock)).await?;
        let handle = entry.drain_handle();
        tokio::spawn(async move {
            end.recv().await;
            handle.drain();
        });
        entry.drained().await?;
        Ok(())
    })
}
