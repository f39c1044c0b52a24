//! Serde schema of the node's settings file. [`crate::NodeSettings`] validates the values.

use {serde::Deserialize, std::net::SocketAddr};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNodeSettings {
    pub(crate) vm: RawNodeVm,
    pub(crate) listen: RawListen,
    pub(crate) platform: RawNodePlatform,
    pub(crate) seeds: Option<Vec<SocketAddr>>,
    pub(crate) timing: RawNodeTiming,
    pub(crate) engines: RawEngines,
    pub(crate) repeats: RawRetryLimits,
    #[serde(default)]
    pub(crate) hedging: RawHedging,
    pub(crate) loads: RawLoads,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNodeVm {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) region: String,
    pub(crate) cpu_share: f64,
    #[serde(default)]
    pub(crate) first_start: bool,
    pub(crate) memory_mb: Option<f64>,
    pub(crate) max_descriptors: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawListen {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) directory: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) metrics_port: u16,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNodePlatform {
    pub(crate) store: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawNodeTiming {
    pub(crate) lease_ms: u64,
    pub(crate) grace_s: f64,
    pub(crate) directory_ttl_s: u64,
    pub(crate) leaving_server_ms: u64,
    pub(crate) registry_beat_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawEngines {
    pub(crate) check_fences: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRetryLimits {
    pub(crate) share: f64,
    pub(crate) window_s: f64,
    pub(crate) reserve: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawHedging {
    pub(crate) share: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawLoads {
    pub(crate) window_s: f64,
}
