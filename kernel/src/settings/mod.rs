//! The settings of a daemon, read from one TOML file.
//!
//! Unknown fields are ignored, so that daemons of several versions can read the same file; the error for a missing or
//! invalid field names it. Field names are public and never change.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use serde::Deserialize;

mod error;
mod load;
mod metrics_endpoint;
mod validation;

pub use error::SettingsError;
pub use load::{load, parse, path};
pub use metrics_endpoint::{InvalidMetricsEndpoint, MetricsEndpoint};

/// The settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of the machine, unique in the deployment.
    pub node_name: String,
    /// The role of the machine in the deployment; informational.
    #[serde(default)]
    pub role: String,
    /// What the machine serves; informational.
    #[serde(default)]
    pub serves: Vec<String>,
    /// The machine's IPv4 address: its identity, and the address at which other daemons reach it.
    pub ip: String,
    /// The local address at which this daemon listens for other daemons and serves its metrics, if it differs from
    /// `ip`: behind address translation or in a second network.
    #[serde(default)]
    pub listen_ip: Option<String>,
    /// The local address from which this daemon connects to others; chosen by the operating system if omitted.
    #[serde(default)]
    pub source_ip: Option<String>,
    /// The zone of the machine; a key of `zones`.
    pub zone: String,
    /// The region of the machine; informational, because `zones` gives it too.
    #[serde(default)]
    pub region: String,
    /// The first and the last port of the range for traffic between daemons, the same on every machine of a deployment.
    pub internal_ports: [u16; 2],
    /// Addresses, each `IP:PORT`, that a daemon contacts at start-up to discover the others.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// Whether a controller without stored state may bootstrap a new core.
    #[serde(default)]
    pub bootstrap: bool,
    /// The names of the operating contracts in force.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// Whether a controller may become a voting member of the core.
    #[serde(default)]
    pub quorum_member: bool,
    /// The directory for persistent state; nothing is stored if omitted.
    pub data_dir: Option<String>,
    /// The deployment's keep-alive interval, in milliseconds. The daemons do not use it.
    #[serde(default = "default_keepalive_ms")]
    pub keepalive_ms: u64,
    /// The simultaneous failures under which all guarantees must hold.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// The zones of the deployment, each with its region.
    pub zones: BTreeMap<String, String>,
    /// The listen addresses for clients, probes and operators.
    #[serde(default)]
    pub bind_addresses: BindAddresses,
    /// The resource limits of the process.
    pub limits: Limits,
    /// The time limits, rates and tolerances that the deployment guarantees.
    #[serde(default)]
    pub bounds: Bounds,
    /// The API of the platform.
    pub cloud_api: CloudApi,
    /// The endpoint at which the process serves its metrics; none are served if omitted.
    #[serde(default)]
    pub metrics: Option<MetricsEndpoint>,
}

impl Settings {
    /// Returns the IP addresses of `seed_peers`, without the ports.
    pub fn seed_ips(&self) -> Vec<String> {
        let ips = self.seed_peers.iter().filter_map(|seed| seed.split(':').next());
        ips.map(str::to_string).collect()
    }

    /// Returns the address at which this daemon listens for other daemons and serves its metrics.
    pub fn listen_ip(&self) -> &str {
        self.listen_ip.as_deref().unwrap_or(&self.ip)
    }

    /// Returns the address from which this daemon connects to others; `None` if the operating system chooses it.
    pub fn source_ip(&self) -> Option<Ipv4Addr> {
        self.source_ip.as_ref()?.parse().ok()
    }

    /// Returns the port at which controllers listen for other daemons: the first of `internal_ports`.
    pub fn peer_port(&self) -> u16 {
        self.internal_ports[0]
    }
}

/// The listen addresses for clients, probes and operators, each `IP:PORT`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct BindAddresses {
    /// For client requests.
    pub frontend: Option<String>,
    /// For the platform's readiness probes.
    pub readiness: Option<String>,
    /// For the operators' API.
    pub control_plane: Option<String>,
}

/// The resource limits of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// The number of open file descriptors.
    pub fd_limit: u64,
    /// Disk space, in megabytes; zero if not specified.
    #[serde(default)]
    pub disk_mb: u64,
}

/// The simultaneous failures under which all guarantees must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// The number of machines lost, of those that may be voting members.
    pub machine_loss: u32,
    /// The number of zones lost.
    pub zones: u32,
    /// The number of regions lost. The daemons do not use it.
    pub region_loss: u32,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { machine_loss: 1, zones: 1, region_loss: 0 }
    }
}

/// The time limits, rates and tolerances that the deployment guarantees. An omitted field has its usual value.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// The maximum time that a router may be without contact to the controllers, in milliseconds.
    pub contact_ms: u64,
    /// The deadline for acknowledging an operator's change, in milliseconds.
    pub ack_ms: u64,
    /// The time within which an engine that was removed from the platform's list stops receiving requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// The grace period within which a daemon exits after SIGTERM, in seconds.
    pub grace_s: f64,
    /// The time within which an acknowledged change is in force on every router that reaches the core, in milliseconds.
    pub converge_ms: u64,
    /// How long a request may still use a configuration that has been replaced, in milliseconds.
    pub revert_slack_ms: u64,
    /// Published for the deployment, in milliseconds. The daemons do not use it.
    pub stretch_max_ms: u64,
    /// Published for the deployment, in milliseconds. The daemons do not use it.
    pub revoke_ms: u64,
    /// The maximum ratio of retries to requests over `budget_window_s`.
    pub retry_budget: f64,
    /// The time window of `retry_budget`, in seconds.
    pub budget_window_s: f64,
    /// The number of retries allowed beyond `retry_budget`, over all routers.
    pub budget_slack: f64,
    /// The maximum share of a service's requests that a faulty version under rollout may receive.
    pub exposure_share: f64,
    /// The time window over which a tenant's requests are counted, in seconds.
    pub quota_window_s: f64,
    /// The fraction of a tenant's limit by which it may be exceeded in a window.
    pub quota_overage: f64,
    /// The number of requests by which a tenant's limit may be exceeded in a window.
    pub quota_slack: f64,
    /// The factor applied to the ramp-up rate of an engine that starts cold.
    pub ramp_overage: f64,
    /// Published for the deployment. The daemons do not use it.
    pub ramp_slack: f64,
    /// The time within which an evacuated zone stops receiving requests, in milliseconds. The daemons do not use it.
    pub evacuate_ms: u64,
    /// Published for the deployment, in seconds. The daemons do not use it.
    pub reuse_hold_s: f64,
    /// Whether engines check fencing epochs and reject orders from a previous owner of a role.
    pub fencing: bool,
    /// The lease of a singleton role: how long an unavailable owner keeps the role, in milliseconds.
    pub lease_ms: u64,
    /// The length of the windows in which requests are counted for usage reports to the platform, in seconds.
    pub report_window_s: f64,
    /// The deadline for reporting the counts of a window, in seconds after its end.
    pub usage_delay_s: f64,
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
            exposure_share: 0.1,
            quota_window_s: 5.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            ramp_overage: 1.0,
            ramp_slack: 0.0,
            evacuate_ms: 5000,
            reuse_hold_s: 2.0,
            fencing: false,
            lease_ms: 3000,
            report_window_s: 5.0,
            usage_delay_s: 10.0,
        }
    }
}

/// The API of the platform, from which controllers read the list of engines.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudApi {
    /// The address of the API, `IP:PORT`.
    pub address: String,
    /// The rate limit of the API for the whole deployment, in calls per second.
    pub rate_per_s: f64,
    /// How far the list of engines lags behind the actual state, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// The duties that the platform accepts from only one daemon at a time.
    #[serde(default)]
    pub duty_list: Vec<String>,
}

/// The platform's name for the duty of reporting how many requests of each tenant began in a window.
const USAGE_EXPORT: &str = "usage_export";

impl CloudApi {
    /// Returns whether the platform expects reports of how many requests of each tenant began in a window.
    pub fn takes_usage(&self) -> bool {
        self.duty_list.iter().any(|duty| duty == USAGE_EXPORT)
    }
}

fn default_keepalive_ms() -> u64 {
    1000
}

#[cfg(test)]
mod tests;
