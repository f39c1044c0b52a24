//! Validated settings of the entry and planner daemons, and the rules that validate them.

use {
    crate::{
        error::SettingsError, raw_settings::RawSettings, read_file::read_file, vm_limits::VmLimits,
    },
    glade_types::{DataCentre, VmId},
    std::{
        fmt,
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// Shortest accepted operator credential, in bytes.
const MIN_CREDENTIAL_LEN: usize = 16;

/// Addresses of the VM on which a daemon runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmAddrs {
    /// Name of the VM.
    pub name: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address to which callers connect.
    pub caller: SocketAddr,
    /// Address to which operators connect.
    pub operator: SocketAddr,
    /// Address at which the entry daemon receives messages from peers.
    pub entry_peer: SocketAddr,
    /// Address at which the planner daemon receives messages from peers.
    pub planner_peer: SocketAddr,
    /// Address at which the planner daemon serves its metrics and health.
    pub planner_metrics: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformAddrs {
    /// Address of the transactional table service.
    pub table_service: SocketAddr,
    /// Address of the object store.
    pub object_store: SocketAddr,
    /// Address of the service that lists VMs.
    pub vm_list: SocketAddr,
}

/// Intervals and timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a lease, counted from the clock reading taken before its renewal was sent.
    pub lease_duration: Duration,
    /// Interval between lease renewals.
    pub lease_renew_interval: Duration,
    /// Interval at which a watcher polls an engine's report.
    pub report_poll_interval: Duration,
    /// Interval at which the head of the table is polled from the store.
    pub head_poll_interval: Duration,
    /// Time without a message after which a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// Time without contact to the store and to peers after which a VM accepts no new requests.
    pub isolation_timeout: Duration,
    /// Time without data after which a stream is resumed on a new connection.
    pub stream_idle_timeout: Duration,
    /// Time after which the outcome of an unanswered order counts as unknown.
    pub order_timeout: Duration,
    /// How long callers may cache a directory answer.
    pub directory_ttl: Duration,
    /// How long an issued call token is accepted.
    pub token_ttl: Duration,
}

/// Limits on model loads from the weight store and on the size of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct PacingLimits {
    /// Maximum rate of loads started per second, over the whole deployment.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads, over the whole deployment.
    pub max_concurrent_loads: u32,
    /// Largest accepted request body.
    pub body_limit_bytes: usize,
}

/// Weights of the placement objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentWeights {
    /// Value of one request that meets its latency objective.
    pub attainment_weight: f64,
    /// Cost of one move, in the same unit as `attainment_weight`.
    pub move_weight: f64,
}

/// All settings of the entry and planner daemons of a VM.
#[derive(Clone, PartialEq)]
pub struct Settings {
    /// Addresses of this VM.
    pub vm: VmAddrs,
    /// Memory and descriptors that the VM allows.
    pub vm_limits: VmLimits,
    /// Addresses of the platform's services.
    pub platform: PlatformAddrs,
    /// Credential that operators present. `Debug` omits it.
    pub operator_credential: String,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Limits on loads and requests.
    pub pacing: PacingLimits,
    /// Weights of the placement objective.
    pub objective: DeploymentWeights,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings").field("vm", &self.vm).finish_non_exhaustive()
    }
}

impl Settings {
    /// Reads, parses and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error found; see [`SettingsError`].
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Parses and validates settings given as YAML.
    ///
    /// # Errors
    ///
    /// Returns the first error found; see [`SettingsError`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|err| SettingsError::Malformed { reason: err.to_string() })?;
        check(&raw)?;
        let vm_limits = VmLimits::parse(raw.vm.memory_mb, raw.vm.max_descriptors)?;
        Ok(convert(raw, vm_limits))
    }
}

fn invalid(key: &'static str, reason: impl Into<String>) -> SettingsError {
    SettingsError::Invalid { key, reason: reason.into() }
}

fn check(raw: &RawSettings) -> Result<(), SettingsError> {
    check_names(raw)?;
    check_ports(raw)?;
    check_timing(raw)?;
    if raw.operator.credential.len() < MIN_CREDENTIAL_LEN {
        let reason = format!("must have at least {MIN_CREDENTIAL_LEN} characters");
        return Err(invalid("operator.credential", reason));
    }
    if !(raw.pacing.loads_per_s.is_finite() && raw.pacing.loads_per_s > 0.0) {
        return Err(invalid("pacing.loads_per_s", "must be greater than 0"));
    }
    if raw.pacing.loads_at_once == 0 {
        return Err(invalid("pacing.loads_at_once", "must be at least 1"));
    }
    if raw.pacing.body_limit_bytes < 1024 {
        return Err(invalid("pacing.body_limit_bytes", "must be at least 1024"));
    }
    let weights = [
        ("objective.attainment_weight", raw.objective.attainment_weight),
        ("objective.move_weight", raw.objective.move_weight),
    ];
    for (key, weight) in weights {
        if !(weight.is_finite() && weight >= 0.0) {
            return Err(invalid(key, "must be 0 or greater"));
        }
    }
    Ok(())
}

fn check_names(raw: &RawSettings) -> Result<(), SettingsError> {
    let names = [("vm.name", &raw.vm.name), ("vm.data_centre", &raw.vm.data_centre)];
    for (key, name) in names {
        if !glade_types::is_valid_name(name) {
            return Err(invalid(key, "must be 1 to 128 letters, digits or . _ - : /"));
        }
    }
    Ok(())
}

fn check_ports(raw: &RawSettings) -> Result<(), SettingsError> {
    let ports = [
        ("vm.caller_port", raw.vm.caller_port),
        ("vm.operator_port", raw.vm.operator_port),
        ("vm.entry_peer_port", raw.vm.entry_peer_port),
        ("vm.planner_peer_port", raw.vm.planner_peer_port),
        ("vm.planner_metrics_port", raw.vm.planner_metrics_port),
    ];
    for (idx, (key, port)) in ports.iter().enumerate() {
        if *port == 0 {
            return Err(invalid(key, "must not be 0"));
        }
        if let Some((other, _)) = ports[..idx].iter().find(|(_, earlier)| earlier == port) {
            return Err(invalid(key, format!("{port} is taken by {other} already")));
        }
    }
    Ok(())
}

fn check_timing(raw: &RawSettings) -> Result<(), SettingsError> {
    let timing = &raw.timing;
    let periods = [
        ("timing.lease_ms", timing.lease_ms),
        ("timing.lease_renew_ms", timing.lease_renew_ms),
        ("timing.report_poll_ms", timing.report_poll_ms),
        ("timing.head_poll_ms", timing.head_poll_ms),
        ("timing.peer_silent_ms", timing.peer_silent_ms),
        ("timing.isolated_after_ms", timing.isolated_after_ms),
        ("timing.stream_silent_ms", timing.stream_silent_ms),
        ("timing.order_timeout_ms", timing.order_timeout_ms),
        ("timing.directory_ttl_ms", timing.directory_ttl_ms),
        ("timing.token_ttl_ms", timing.token_ttl_ms),
    ];
    if let Some((key, _)) = periods.iter().find(|(_, period)| *period == 0) {
        return Err(invalid(key, "must be at least 1"));
    }
    if timing.lease_renew_ms * 2 > timing.lease_ms {
        return Err(invalid("timing.lease_renew_ms", "must be at most half of timing.lease_ms"));
    }
    if timing.isolated_after_ms <= timing.peer_silent_ms {
        let reason = "must be greater than timing.peer_silent_ms";
        return Err(invalid("timing.isolated_after_ms", reason));
    }
    Ok(())
}

fn convert(raw: RawSettings, vm_limits: VmLimits) -> Settings {
    let socket_addr = |address: IpAddr, port: u16| SocketAddr::new(address, port);
    let ms = Duration::from_millis;
    let RawSettings { vm, platform, operator, timing, pacing, objective } = raw;
    Settings {
        vm: VmAddrs {
            name: VmId::new(&vm.name),
            data_centre: DataCentre::new(&vm.data_centre),
            caller: socket_addr(vm.address, vm.caller_port),
            operator: socket_addr(vm.address, vm.operator_port),
            entry_peer: socket_addr(vm.address, vm.entry_peer_port),
            planner_peer: socket_addr(vm.address, vm.planner_peer_port),
            planner_metrics: socket_addr(vm.address, vm.planner_metrics_port),
        },
        vm_limits,
        platform: PlatformAddrs {
            table_service: platform.table_service,
            object_store: platform.object_store,
            vm_list: platform.vm_list,
        },
        operator_credential: operator.credential,
        timing: Timing {
            lease_duration: ms(timing.lease_ms),
            lease_renew_interval: ms(timing.lease_renew_ms),
            report_poll_interval: ms(timing.report_poll_ms),
            head_poll_interval: ms(timing.head_poll_ms),
            peer_timeout: ms(timing.peer_silent_ms),
            isolation_timeout: ms(timing.isolated_after_ms),
            stream_idle_timeout: ms(timing.stream_silent_ms),
            order_timeout: ms(timing.order_timeout_ms),
            directory_ttl: ms(timing.directory_ttl_ms),
            token_ttl: ms(timing.token_ttl_ms),
        },
        pacing: PacingLimits {
            loads_per_s: pacing.loads_per_s,
            max_concurrent_loads: pacing.loads_at_once,
            body_limit_bytes: pacing.body_limit_bytes,
        },
        objective: DeploymentWeights {
            attainment_weight: objective.attainment_weight,
            move_weight: objective.move_weight,
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "
vm: {name: vm-1, data_centre: dc-1, address: 127.0.0.1, caller_port: 1, operator_port: 2,
     entry_peer_port: 3, planner_peer_port: 4, planner_metrics_port: 5}
platform: {table_service: 127.0.0.1:10, object_store: 127.0.0.1:11, vm_list: 127.0.0.1:12}
operator: {credential: 0123456789abcdef}
timing: {lease_ms: 4000, lease_renew_ms: 1000}
";

    #[test]
    fn valid_settings_are_parsed() {
        let settings = Settings::parse(VALID).expect("valid settings");
        assert_eq!(settings.timing.lease_duration, Duration::from_secs(4));
        assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    }

    #[test]
    fn errors_name_the_invalid_key() {
        let cases = [
            ("caller_port: 1", "caller_prot: 1", "caller_prot"),
            ("caller_port: 1, ", "", "caller_port"),
            ("caller_port: 1", "caller_port: 0", "vm.caller_port"),
            ("operator_port: 2", "operator_port: 1", "vm.operator_port"),
            ("lease_renew_ms: 1000", "lease_renew_ms: 3000", "timing.lease_renew_ms"),
            ("lease_ms: 4000", "lease_ms: 4s", "lease_ms"),
            ("credential: 0123456789abcdef", "credential: short", "operator.credential"),
            ("name: vm-1", "name: \"vm 1\"", "vm.name"),
        ];
        for (from, to, key) in cases {
            assert!(VALID.contains(from), "{from}");
            let err = Settings::parse(&VALID.replace(from, to)).expect_err(to);
            assert!(err.to_string().contains(key), "{to}: {err}");
        }
    }
}
