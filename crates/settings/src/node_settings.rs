//! Checked settings of the node daemon.

use {
    crate::{
        error::SettingsError,
        raw_node_settings::{RawNodeSettings, RawNodeTiming, RawRetryLimits},
        read_file::read_file,
    },
    glade_types::{DataCentre, VmId, is_valid_name},
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// Largest accepted period or timeout.
const MAX_TIME: Duration = Duration::from_secs(3600);

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeListen {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether the VM is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which VMs to use.
    pub directory: SocketAddr,
    /// Where other nodes send their messages.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
}

/// Periods and timeouts of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTiming {
    /// How long the lease for giving orders is valid after the clock reading before its renewal.
    pub lease_duration: Duration,
    /// Time from the signal to end until the process is killed.
    pub grace_period: Duration,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// Time after which a server that is known to leave must get no more work.
    pub leaving_server_timeout: Duration,
    /// Period at which backend servers renew their entries in the registry.
    pub registry_heartbeat_interval: Duration,
}

/// Bound on repeated sends, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each first send.
    pub share: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed in any window besides.
    pub reserve: f64,
}

/// All settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: String,
    /// Its share of a processor core.
    pub cpu_share: f64,
    /// The whole deployment starts for the first time, all VMs within a moment.
    pub first_start: bool,
    /// Addresses that the node listens on.
    pub listen: NodeListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Where some other nodes listened for peers when this one was started.
    pub seeds: Vec<SocketAddr>,
    /// Periods and timeouts.
    pub timing: NodeTiming,
    /// Whether engines refuse orders with an earlier fencing token.
    pub engines_check_fences: bool,
    /// Bound on repeated sends.
    pub retry_limits: RetryLimits,
    /// Window over which loads from the weight store are counted.
    pub loads_window: Duration,
}

impl NodeSettings {
    /// True if `text` looks like settings of a node daemon rather than of the daemons of other
    /// deployments: it says where the platform asks whether the VM is ready.
    pub fn is_node_settings(text: &str) -> bool {
        let value: Result<serde_yaml_ng::Value, _> = serde_yaml_ng::from_str(text);
        value.is_ok_and(|value| value["listen"].get("readiness").is_some())
    }

    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// The first fault found; see [`SettingsError`].
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Checks settings given as YAML.
    ///
    /// # Errors
    ///
    /// The first fault found; see [`SettingsError`].
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
        check_listen(&listen)?;
        Ok(Self {
            vm: VmId::new(&raw.vm.name),
            data_centre: DataCentre::new(&raw.vm.data_centre),
            region: raw.vm.region,
            cpu_share: raw.vm.cpu_share,
            first_start: raw.vm.first_start,
            listen,
            store: raw.platform.store,
            seeds: raw.seeds.unwrap_or_default(),
            timing: timing(&raw.timing)?,
            engines_check_fences: raw.engines.check_fences,
            retry_limits: retry_limits(&raw.repeats)?,
            loads_window: seconds("loads.window_s", raw.loads.window_s)?,
        })
    }
}

fn check_listen(listen: &NodeListen) -> Result<(), SettingsError> {
    let all = [
        ("listen.callers", listen.callers),
        ("listen.readiness", listen.readiness),
        ("listen.directory", listen.directory),
        ("listen.peers", listen.peers),
        ("listen.metrics_port", listen.metrics),
    ];
    for (position, (key, addr)) in all.iter().enumerate() {
        if addr.port() == 0 {
            return Err(invalid(key, "needs a port other than 0"));
        }
        if let Some((other, _)) = all[..position].iter().find(|(_, earlier)| earlier == addr) {
            return Err(invalid(key, &format!("{addr} is taken by {other}; choose another port")));
        }
    }
    Ok(())
}

fn timing(raw: &RawNodeTiming) -> Result<NodeTiming, SettingsError> {
    let directory_ttl = Duration::from_secs(raw.directory_ttl_s);
    Ok(NodeTiming {
        lease_duration: millis("timing.lease_ms", raw.lease_ms)?,
        grace_period: seconds("timing.grace_s", raw.grace_s)?,
        directory_ttl: in_range("timing.directory_ttl_s", directory_ttl)?,
        leaving_server_timeout: millis("timing.leaving_server_ms", raw.leaving_server_ms)?,
        registry_heartbeat_interval: millis("timing.registry_beat_ms", raw.registry_beat_ms)?,
    })
}

fn retry_limits(raw: &RawRetryLimits) -> Result<RetryLimits, SettingsError> {
    let not_negative = |key, value: f64| {
        let fits = value.is_finite() && value >= 0.0;
        fits.then_some(value).ok_or_else(|| invalid(key, "must be a number, 0 or more"))
    };
    Ok(RetryLimits {
        share: not_negative("repeats.share", raw.share)?,
        window: seconds("repeats.window_s", raw.window_s)?,
        reserve: not_negative("repeats.reserve", raw.reserve)?,
    })
}

fn millis(key: &'static str, ms: u64) -> Result<Duration, SettingsError> {
    in_range(key, Duration::from_millis(ms))
}

fn seconds(key: &'static str, s: f64) -> Result<Duration, SettingsError> {
    let time = Duration::try_from_secs_f64(s).map_err(|err| invalid(key, &err.to_string()))?;
    in_range(key, time)
}

fn in_range(key: &'static str, time: Duration) -> Result<Duration, SettingsError> {
    if time.is_zero() || time > MAX_TIME {
        return Err(invalid(key, "must be above 0 and at most an hour"));
    }
    Ok(time)
}

fn invalid(key: &'static str, reason: &str) -> SettingsError {
    SettingsError::Invalid { key, reason: reason.to_owned() }
}
