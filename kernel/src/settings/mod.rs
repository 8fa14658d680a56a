//! The settings of a process. Unknown fields are passed over; a missing or unusable one is named.

use std::collections::BTreeMap;

mod error;
mod load;
mod metrics_endpoint;
mod validation;

pub use error::SettingsError;
pub use load::{load, parse, path};
pub use metrics_endpoint::{InvalidMetricsEndpoint, MetricsEndpoint};

#[derive(Clone, Debug, serde::Deserialize)]
pub struct Settings {
    pub node_name: String,
    #[serde(default)]
    pub role: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip: String,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    pub internal_ports: [u16; 2],
    #[serde(default)]
    pub seed_peers: Vec<String>,
    #[serde(default)]
    pub bootstrap: bool,
    /// The parts of the rules that are in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    #[serde(default)]
    pub quorum_member: bool,
    pub data_dir: Option<String>,
    #[serde(default = "beat")]
    pub keepalive_ms: u64,
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub bind_addresses: BindAddresses,
    pub limits: Limits,
    #[serde(default)]
    pub bounds: Bounds,
    pub cloud_api: CloudApi,
    /// Where the process tells its metrics; nowhere if left out.
    #[serde(default)]
    pub metrics: Option<MetricsEndpoint>,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct BindAddresses {
    pub frontend: Option<String>,
    pub readiness: Option<String>,
    pub control_plane: Option<String>,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub struct Limits {
    pub memory_mb: u64,
    pub fd_limit: u64,
    #[serde(default)]
    pub disk_mb: u64,
}

/// The figures of the rules; each has the usual value where a site leaves it out.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(default)]
pub struct Bounds {
    pub contact_ms: u64,
    pub ack_ms: u64,
    pub drain_ms: u64,
    pub grace_s: f64,
    pub converge_ms: u64,
    pub revert_slack_ms: u64,
    pub stretch_max_ms: u64,
    pub revoke_ms: u64,
    pub retry_budget: f64,
    pub budget_window_s: f64,
    pub budget_slack: f64,
    pub quota_window_s: f64,
    pub quota_overage: f64,
    pub quota_slack: f64,
    pub ramp_overage: f64,
    pub ramp_slack: f64,
    pub evacuate_ms: u64,
    pub reuse_hold_s: f64,
    pub fencing: bool,
    pub lease_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            contact_ms: 3000,
            ack_ms: 4000,
            drain_ms: 3000,
            grace_s: 8.0,
            converge_ms: 2000,
            revert_slack_ms: 250,
            stretch_max_ms: 5000,
            revoke_ms: 5000,
            retry_budget: 0.2,
            budget_window_s: 10.0,
            budget_slack: 0.0,
            quota_window_s: 5.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            ramp_overage: 1.0,
            ramp_slack: 0.0,
            evacuate_ms: 5000,
            reuse_hold_s: 2.0,
            fencing: false,
            lease_ms: 3000,
        }
    }
}

#[derive(Clone, Debug, serde::Deserialize)]
pub struct CloudApi {
    pub address: String,
    pub rate_per_s: f64,
    /// How far the list of engines lags behind.
    #[serde(default)]
    pub lag_ms: u64,
}

fn beat() -> u64 {
    1000
}

impl Settings {
    /// The addresses of controllers that the seeds name: their machine, at the first internal port.
    pub fn seed_ips(&self) -> Vec<String> {
        let ips = self.seed_peers.iter().filter_map(|seed| seed.split(':').next());
        ips.map(str::to_string).collect()
    }

    /// Where controllers listen for fellows, on every machine of a deployment.
    pub fn peer_port(&self) -> u16 {
        self.internal_ports[0]
    }
}

#[cfg(test)]
mod tests;
