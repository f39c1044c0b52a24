//! `persimmonglade-node`: the node daemon, which serves callers on one VM of the platform.

use {
    bpaf::Bpaf,
    glade_node::{Node, Signals},
    glade_observe::print_error,
    glade_settings::NodeSettings,
    std::{path::PathBuf, process::ExitCode},
};

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Serves callers on one VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file of this VM
    #[bpaf(argument("FILE"), env("PERSIMMONGLADE_BOOT"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    // Comes first: until then a signal ends the process.
    let signals = match Signals::open() {
        Ok(signals) => signals,
        Err(err) => return failure(&err, ExitCode::FAILURE),
    };
    let args = args().run();
    let settings = match NodeSettings::open(&args.settings) {
        Ok(settings) => settings,
        Err(err) => return failure(&err, ExitCode::from(INVALID_SETTINGS)),
    };
    glade_observe::start_logging(settings.vm.as_str());
    let ended = Node::run(signals, settings, args.settings);
    glade_observe::flush_logs();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => failure(&err, ExitCode::FAILURE),
    }
}

fn failure(err: &dyn std::error::Error, code: ExitCode) -> ExitCode {
    print_error(&format!("persimmonglade-node: {err}"));
    code
}
