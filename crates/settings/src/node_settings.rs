//! Validated settings of the node daemon, and the rules that validate them.

use {
    crate::{
        error::SettingsError,
        raw_node_settings::{RawNodeSettings, RawNodeTiming, RawRetryLimits},
        read_file::{read_file, read_regular_file},
        vm_limits::VmLimits,
    },
    glade_types::{DataCentre, VmId, is_valid_name},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Longest accepted interval or timeout.
const MAX_DURATION: Duration = Duration::from_secs(3600);

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeListen {
    /// Address to which callers send requests.
    pub callers: SocketAddr,
    /// Address at which the platform probes whether the VM is ready.
    pub readiness: SocketAddr,
    /// Address of the directory, from which callers get the VMs to use.
    pub directory: SocketAddr,
    /// Address to which other nodes send their messages.
    pub peers: SocketAddr,
    /// Address at which metrics are scraped.
    pub metrics: SocketAddr,
}

/// Intervals and timeouts of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTiming {
    /// Validity of the lease under which a node sends orders to engines. It counts from the clock
    /// reading taken before the renewal was sent.
    pub lease_duration: Duration,
    /// Time from the termination signal until the process is killed.
    pub grace_period: Duration,
    /// How long callers may cache an answer of the directory.
    pub directory_ttl: Duration,
    /// Time limit after which a server that is known to be leaving must get no more requests.
    pub leaving_server_timeout: Duration,
    /// Interval at which backend servers renew their entries in the registry.
    pub registry_heartbeat_interval: Duration,
}

/// Retry budget over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each first attempt.
    pub share: f64,
    /// Window over which retries and first attempts are counted.
    pub window: Duration,
    /// Retries allowed in each window in addition to `share`.
    pub reserve: f64,
}

/// All settings of a node daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the VM.
    pub region: String,
    /// Share of a processor core that the node may use.
    pub cpu_share: f64,
    /// Memory and descriptors that the VM allows.
    pub vm_limits: VmLimits,
    /// Whether the whole deployment is starting for the first time, with all VMs almost at once.
    pub first_start: bool,
    /// Addresses that the node listens on.
    pub listen: NodeListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses of some other nodes, as of the time when this node was started.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: NodeTiming,
    /// Whether engines reject orders with a lower fencing token than one they have accepted.
    pub engines_check_fences: bool,
    /// Retry budget.
    pub retry_limits: RetryLimits,
    /// Hedges allowed for each first attempt; 0 turns hedging off.
    pub hedge_share: f64,
    /// Window over which model loads from the weight store are counted.
    pub loads_window: Duration,
}

impl NodeSettings {
    /// True if `text` looks like settings of a node daemon rather than of the daemons of other
    /// deployments. Only the settings of a node have a readiness address.
    pub fn is_node_settings(text: &str) -> bool {
        let value: Result<serde_yaml_ng::Value, _> = serde_yaml_ng::from_str(text);
        value.is_ok_and(|value| value["listen"].get("readiness").is_some())
    }

    /// Reads, parses and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error found; see [`SettingsError`].
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Reads, parses and validates the regular file at `path` in a running process, which mustn't wait
    /// for it.
    ///
    /// # Errors
    ///
    /// Returns the first error found; see [`SettingsError`].
    pub fn reopen(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_regular_file(path)?)
    }

    /// Parses and validates settings given as YAML.
    ///
    /// # Errors
    ///
    /// Returns the first error found; see [`SettingsError`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawNodeSettings = serde_yaml_ng::from_str(text)
            .map_err(|err| SettingsError::Malformed { reason: err.to_string() })?;
        for (key, name) in [("vm.name", &raw.vm.name), ("vm.data_centre", &raw.vm.data_centre)] {
            if !is_valid_name(name) {
                return Err(invalid(key, "must be 1 to 128 letters, digits or . _ - : /"));
            }
        }
        let positive = raw.vm.cpu_share.is_finite() && raw.vm.cpu_share > 0.0;
        if !positive {
            return Err(invalid("vm.cpu_share", "must be a number above 0"));
        }
        let metrics = SocketAddr::new(raw.listen.callers.ip(), raw.listen.metrics_port);
        let listen = NodeListen {
            callers: raw.listen.callers,
            readiness: raw.listen.readiness,
            directory: raw.listen.directory,
            peers: raw.listen.peers,
            metrics,
        };
        check_addrs(&listen)?;
        Ok(Self {
            vm: VmId::new(&raw.vm.name),
            data_centre: DataCentre::new(&raw.vm.data_centre),
            region: raw.vm.region,
            cpu_share: raw.vm.cpu_share,
            vm_limits: VmLimits::parse(raw.vm.memory_mb, raw.vm.max_descriptors)?,
            first_start: raw.vm.first_start,
            listen,
            store: raw.platform.store,
            seeds: raw.seeds.unwrap_or_default(),
            timing: convert_timing(&raw.timing)?,
            engines_check_fences: raw.engines.check_fences,
            retry_limits: convert_retry_limits(&raw.repeats)?,
            hedge_share: share("hedging.share", raw.hedging.share)?,
            loads_window: seconds("loads.window_s", raw.loads.window_s)?,
        })
    }
}

fn check_addrs(listen: &NodeListen) -> Result<(), SettingsError> {
    let addrs = [
        ("listen.callers", listen.callers),
        ("listen.readiness", listen.readiness),
        ("listen.directory", listen.directory),
        ("listen.peers", listen.peers),
        ("listen.metrics_port", listen.metrics),
    ];
    for (idx, (key, addr)) in addrs.iter().enumerate() {
        if addr.port() == 0 {
            return Err(invalid(key, "needs a port other than 0"));
        }
        if let Some((other, _)) = addrs[..idx].iter().find(|(_, earlier)| earlier == addr) {
            return Err(invalid(key, &format!("{addr} is taken by {other}; choose another port")));
        }
    }
    Ok(())
}

fn convert_timing(raw: &RawNodeTiming) -> Result<NodeTiming, SettingsError> {
    let directory_ttl = Duration::from_secs(raw.directory_ttl_s);
    Ok(NodeTiming {
        lease_duration: millis("timing.lease_ms", raw.lease_ms)?,
        grace_period: seconds("timing.grace_s", raw.grace_s)?,
        directory_ttl: check_duration("timing.directory_ttl_s", directory_ttl)?,
        leaving_server_timeout: millis("timing.leaving_server_ms", raw.leaving_server_ms)?,
        registry_heartbeat_interval: millis("timing.registry_beat_ms", raw.registry_beat_ms)?,
    })
}

fn convert_retry_limits(raw: &RawRetryLimits) -> Result<RetryLimits, SettingsError> {
    let non_negative = |key, value: f64| {
        let valid = value.is_finite() && value >= 0.0;
        valid.then_some(value).ok_or_else(|| invalid(key, "must be a number, 0 or more"))
    };
    Ok(RetryLimits {
        share: non_negative("repeats.share", raw.share)?,
        window: seconds("repeats.window_s", raw.window_s)?,
        reserve: non_negative("repeats.reserve", raw.reserve)?,
    })
}

fn share(key: &'static str, value: f64) -> Result<f64, SettingsError> {
    let is_valid = (0.0..=1.0).contains(&value);
    is_valid.then_some(value).ok_or_else(|| invalid(key, "must be a number from 0 to 1"))
}

fn millis(key: &'static str, ms: u64) -> Result<Duration, SettingsError> {
    check_duration(key, Duration::from_millis(ms))
}

fn seconds(key: &'static str, s: f64) -> Result<Duration, SettingsError> {
    let time = Duration::try_from_secs_f64(s).map_err(|err| invalid(key, &err.to_string()))?;
    check_duration(key, time)
}

fn check_duration(key: &'static str, time: Duration) -> Result<Duration, SettingsError> {
    if time.is_zero() || time > MAX_DURATION {
        return Err(invalid(key, "must be above 0 and at most an hour"));
    }
    Ok(time)
}

fn invalid(key: &'static str, reason: &str) -> SettingsError {
    SettingsError::Invalid { key, reason: reason.to_owned() }
}
