//! Arguments, first as flags and then as one checked value.

use {
    crate::error::CliError,
    bpaf::Bpaf,
    std::{net::SocketAddr, path::PathBuf},
};

/// Environment variable with the operators' addresses, separated by commas.
const ADDRESS_VARIABLE: &str = "PERSIMMONGLADE_ADDRESS";
/// Environment variable with the operators' credential.
const CREDENTIAL_VARIABLE: &str = "PERSIMMONGLADE_CREDENTIAL";

/// Operate persimmonglade: edit its table, read its state, drain VMs.
///
/// The addresses of operators' ports are taken from PERSIMMONGLADE_ADDRESS (several separated by
/// commas) and the credential from PERSIMMONGLADE_CREDENTIAL, unless given as flags.
///
/// Examples:
///   persimmonglade table get > table.csv
///   persimmonglade table apply --based-on 7 table.csv
///   persimmonglade table set chat weight=5
///   persimmonglade drain vm-2
///   persimmonglade explain 5f0c2a7e logs/vm-*.log
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct Options {
    /// Operators' port of a VM; may be given several times
    #[bpaf(argument("IP:PORT"), many)]
    address: Vec<SocketAddr>,
    /// File with the operators' credential
    #[bpaf(argument("FILE"), optional)]
    credential_file: Option<PathBuf>,
    /// Print JSON
    #[bpaf(switch)]
    pub(crate) json: bool,
    #[bpaf(external)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Command {
    /// Read or edit the table
    #[bpaf(command)]
    Table {
        #[bpaf(external)]
        table_command: TableCommand,
    },
    /// List the daemons of all VMs
    #[bpaf(command)]
    Vms,
    /// List the backend servers
    #[bpaf(command)]
    Backends,
    /// Take a VM out of service without cutting off a request
    #[bpaf(command)]
    Drain {
        /// Name of the VM
        #[bpaf(positional("VM"))]
        vm: String,
    },
    /// Show how fast each row uses up its error budget
    #[bpaf(command)]
    Burn {
        /// Show only this row
        #[bpaf(positional("ROW"), optional)]
        row: Option<String>,
    },
    /// Check a settings file, of a VM or of its node daemon, or a platform's configuration, without starting anything
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show from the logs of all VMs what became of a request, and why
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs of VMs; - or none for standard input
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
}

/// What to do with the table.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum TableCommand {
    /// Print the table in force as CSV; its version goes to standard error
    #[bpaf(command)]
    Get,
    /// Show what applying a file would change
    #[bpaf(command)]
    Diff {
        /// CSV file, or - for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Make a file the table, and wait until it is in force everywhere
    #[bpaf(command)]
    Apply {
        /// Version that the file was made from; 0 for the first table
        #[bpaf(argument("VERSION"))]
        based_on: u64,
        /// Check and compare only
        #[bpaf(switch)]
        dry_run: bool,
        /// Who makes the edit, for the history
        #[bpaf(argument("NAME"), fallback(String::new()))]
        author: String,
        /// CSV file, or - for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Change cells of one row
    #[bpaf(command)]
    Set {
        /// Who makes the edit, for the history
        #[bpaf(argument("NAME"), fallback(String::new()))]
        author: String,
        /// Name of the row
        #[bpaf(positional("ROW"))]
        row: String,
        /// New values of cells
        #[bpaf(positional("COLUMN=VALUE"), some("give at least one COLUMN=VALUE"))]
        cells: Vec<String>,
    },
    /// Print every row with its residences, loads in doubt and attainment
    #[bpaf(command)]
    State,
    /// Print who made which version
    #[bpaf(command)]
    History,
}

/// Where to connect, checked.
#[derive(Clone, Debug)]
pub(crate) struct Access {
    pub(crate) addrs: Vec<SocketAddr>,
    pub(crate) credential: String,
}

impl Options {
    /// Works out where to connect, from flags and environment.
    pub(crate) fn access(&self) -> Result<Access, CliError> {
        let usage = |reason: String| CliError::Usage { reason };
        let mut addrs = self.address.clone();
        if addrs.is_empty() {
            let text = std::env::var(ADDRESS_VARIABLE).unwrap_or_default();
            for part in text.split(',').filter(|part| !part.is_empty()) {
                let addr = part.trim().parse().map_err(|_| {
                    usage(format!("{ADDRESS_VARIABLE}: {part:?} is not an IP:PORT"))
                })?;
                addrs.push(addr);
            }
        }
        if addrs.is_empty() {
            return Err(usage(format!("give --address IP:PORT or set {ADDRESS_VARIABLE}")));
        }
        let credential = match &self.credential_file {
            Some(path) => std::fs::read_to_string(path).map_err(|err| {
                usage(format!("can't read credential file {}: {err}", path.display()))
            })?,
            None => std::env::var(CREDENTIAL_VARIABLE).map_err(|_| {
                usage(format!("give --credential-file FILE or set {CREDENTIAL_VARIABLE}"))
            })?,
        };
        Ok(Access { addrs, credential: credential.trim().to_owned() })
    }
}
