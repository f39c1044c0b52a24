//! `persimmonglade`: the operators' command line.

mod args;
mod client;
mod commands;
mod error;
mod print;

use {
    crate::{args::options, commands::run, error::CliError},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let args = options().run();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return report(&CliError::Local { reason: err.to_string() }),
    };
    match runtime.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => report(&err),
    }
}

fn report(err: &CliError) -> ExitCode {
    eprintln!("persimmonglade: {err}");
    err.exit_code()
}
