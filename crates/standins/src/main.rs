//! `persimmonglade-standins`: runs the stand-ins, or prints what goes with them.

use {
    bpaf::Bpaf,
    glade_standins::{Deployment, Layout, Standins},
    std::process::ExitCode,
};

/// Stand-ins for the platform, engines and plain services, for trying persimmonglade on one machine.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Whose sizes: kalahari or jef-jel
    #[bpaf(argument("NAME"), fallback(Deployment::Kalahari))]
    deployment: Deployment,
    /// First of about 400 ports
    #[bpaf(argument("PORT"), fallback(7100))]
    base_port: u16,
    /// Number of entry VMs
    #[bpaf(argument("N"), fallback(3))]
    vms: u16,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Run all stand-ins until stopped
    #[bpaf(command)]
    Run,
    /// Print the settings file of a VM, numbered from 1
    #[bpaf(command)]
    Settings {
        /// Operators' credential
        #[bpaf(argument("TEXT"))]
        credential: String,
        /// Number of the VM
        #[bpaf(positional("N"))]
        vm: u16,
    },
    /// Print a table of the deployment's size
    #[bpaf(command)]
    Table,
}

fn main() -> ExitCode {
    let args = args().run();
    let layout = Layout { deployment: args.deployment, vms: args.vms, base_port: args.base_port };
    match args.command {
        Command::Run => run(&layout),
        Command::Settings { credential, vm } if (1..=args.vms).contains(&vm) => {
            print!("{}", layout.settings_yaml(vm - 1, &credential));
            ExitCode::SUCCESS
        }
        Command::Settings { vm, .. } => {
            eprintln!("persimmonglade-standins: there is no VM {vm}, they are 1 to {}", args.vms);
            ExitCode::FAILURE
        }
        Command::Table => {
            print!("{}", layout.table_csv());
            ExitCode::SUCCESS
        }
    }
}

fn run(layout: &Layout) -> ExitCode {
    glade_observe::start_logging("standins");
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("persimmonglade-standins: {err}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        match Standins::spawn(layout).await {
            Ok(_standins) => {
                log::info!("stand-ins are up, control port {}", layout.control());
                std::future::pending::<()>().await;
                ExitCode::SUCCESS
            }
            Err(err) => {
                eprintln!("persimmonglade-standins: {err}");
                ExitCode::FAILURE
            }
        }
    })
}
