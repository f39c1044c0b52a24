//! Serde schema of the settings file. [`crate::Settings`] validates the values.

use {
    serde::Deserialize,
    std::net::{IpAddr, SocketAddr},
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    pub(crate) vm: RawVm,
    pub(crate) platform: RawPlatform,
    pub(crate) operator: RawOperator,
    #[serde(default)]
    pub(crate) timing: RawTiming,
    #[serde(default)]
    pub(crate) pacing: RawPacing,
    #[serde(default)]
    pub(crate) objective: RawObjective,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawVm {
    pub(crate) name: String,
    pub(crate) data_centre: String,
    pub(crate) address: IpAddr,
    pub(crate) caller_port: u16,
    pub(crate) operator_port: u16,
    pub(crate) entry_peer_port: u16,
    pub(crate) planner_peer_port: u16,
    pub(crate) planner_metrics_port: u16,
    pub(crate) memory_mb: Option<f64>,
    pub(crate) max_descriptors: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPlatform {
    pub(crate) table_service: SocketAddr,
    pub(crate) object_store: SocketAddr,
    pub(crate) vm_list: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOperator {
    pub(crate) credential: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawTiming {
    pub(crate) lease_ms: u64,
    pub(crate) lease_renew_ms: u64,
    pub(crate) report_poll_ms: u64,
    pub(crate) head_poll_ms: u64,
    pub(crate) peer_silent_ms: u64,
    pub(crate) isolated_after_ms: u64,
    pub(crate) stream_silent_ms: u64,
    pub(crate) order_timeout_ms: u64,
    pub(crate) directory_ttl_ms: u64,
    pub(crate) token_ttl_ms: u64,
}

impl Default for RawTiming {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            lease_renew_ms: 1_000,
            report_poll_ms: 500,
            head_poll_ms: 2_000,
            peer_silent_ms: 3_000,
            isolated_after_ms: 15_000,
            stream_silent_ms: 2_000,
            order_timeout_ms: 30_000,
            directory_ttl_ms: 5_000,
            token_ttl_ms: 600_000,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawPacing {
    pub(crate) loads_per_s: f64,
    pub(crate) loads_at_once: u32,
    pub(crate) body_limit_bytes: usize,
}

impl Default for RawPacing {
    fn default() -> Self {
        Self { loads_per_s: 2.0, loads_at_once: 6, body_limit_bytes: 4 << 20 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawObjective {
    pub(crate) attainment_weight: f64,
    pub(crate) move_weight: f64,
}

impl Default for RawObjective {
    fn default() -> Self {
        Self { attainment_weight: 1.0, move_weight: 0.1 }
    }
}
