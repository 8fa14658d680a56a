//! The settings of a process. Unknown fields are passed over; a missing or unusable one is named.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::str::FromStr;
use std::{env, error, fs};

use error_stack::Report;
use toml::{de, Deserializer};

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

/// A port of the own machine and a path on it, written `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(try_from = "String")]
pub struct MetricsEndpoint {
    pub port: u16,
    /// With a slash at its beginning.
    pub path: String,
}

/// A metrics endpoint that is not written `PORT/PATH`.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidMetricsEndpoint(String);

impl std::fmt::Display for InvalidMetricsEndpoint {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "`{}` is not PORT/PATH", self.0)
    }
}

impl error::Error for InvalidMetricsEndpoint {}

impl TryFrom<String> for MetricsEndpoint {
    type Error = InvalidMetricsEndpoint;

    fn try_from(text: String) -> Result<MetricsEndpoint, InvalidMetricsEndpoint> {
        text.parse()
    }
}

impl FromStr for MetricsEndpoint {
    type Err = InvalidMetricsEndpoint;

    fn from_str(text: &str) -> Result<MetricsEndpoint, InvalidMetricsEndpoint> {
        let bad = || InvalidMetricsEndpoint(text.to_string());
        let (port, path) = text.split_once('/').ok_or_else(bad)?;
        let port = port.parse().ok().filter(|port| *port > 0).ok_or_else(bad)?;
        if path.contains(|sign: char| sign.is_whitespace() || sign == '?') {
            return Err(bad());
        }
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
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

/// What stops a start: the field, what stood there, what is allowed.
#[derive(Debug, PartialEq)]
pub struct SettingsError {
    pub field: String,
    pub found: String,
    pub allowed: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "settings: field `{}`: found {}, allowed: {}", self.field, self.found, self.allowed)
    }
}

impl error::Error for SettingsError {}

fn bad(field: &str, found: impl std::fmt::Display, allowed: &str) -> Report<SettingsError> {
    Report::new(SettingsError { field: field.into(), found: found.to_string(), allowed: allowed.into() })
}

/// The path from TIDEPOINT_CONFIG, or the usual place.
pub fn path() -> String {
    env::var("TIDEPOINT_CONFIG").unwrap_or_else(|_| "/etc/tidepoint/settings.toml".into())
}

pub fn load(path: &str) -> Result<Settings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).map_err(|error| bad("(file)", format!("{path}: {error}"), "a readable file"))?;
    parse(&text)
}

/// Reads and checks a settings text.
pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
    let source = Deserializer::new(text);
    let settings: Settings = serde_path_to_error::deserialize(source).map_err(|error| unreadable(text, &error))?;
    check(&settings)?;
    Ok(settings)
}

/// Names the field of an error by its path: a missing one by the name that the error gives.
fn unreadable(text: &str, error: &serde_path_to_error::Error<de::Error>) -> Report<SettingsError> {
    let cause = error.inner();
    let missing = cause.message().strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    let path = Some(error.path().to_string()).filter(|path| path != "." && path != "?");
    let field = match (path, missing) {
        (Some(path), Some(missing)) => format!("{path}.{missing}"),
        (None, Some(missing)) => missing.into(),
        (Some(path), None) => path,
        (None, None) => "(text)".into(),
    };
    let line = cause.span().map_or("", |span| text.get(span).unwrap_or(""));
    bad(&field, format!("{} ({})", line.trim(), cause.message()), "as the deployment page lists it")
}

fn check(settings: &Settings) -> Result<(), Report<SettingsError>> {
    if settings.ip.parse::<Ipv4Addr>().is_err() {
        return Err(bad("ip", &settings.ip, "an IPv4 address"));
    }
    if settings.internal_ports[0] == 0 || settings.internal_ports[0] > settings.internal_ports[1] {
        return Err(bad(
            "internal_ports",
            format!("{:?}", settings.internal_ports),
            "two ports, the first not above the second",
        ));
    }
    if !settings.zones.contains_key(&settings.zone) {
        return Err(bad("zone", &settings.zone, "a name listed under zones"));
    }
    let binds = &settings.bind_addresses;
    let named = [
        ("bind_addresses.frontend", &binds.frontend),
        ("bind_addresses.readiness", &binds.readiness),
        ("bind_addresses.control_plane", &binds.control_plane),
    ];
    for (field, value) in named {
        let Some(value) = value else { continue };
        if value.parse::<SocketAddrV4>().is_err() {
            return Err(bad(field, value, "IP:PORT"));
        }
    }
    for seed in &settings.seed_peers {
        if seed.parse::<SocketAddrV4>().is_err() {
            return Err(bad("seed_peers", seed, "a list of IP:PORT"));
        }
    }
    if settings.cloud_api.address.parse::<SocketAddrV4>().is_err() {
        return Err(bad("cloud_api.address", &settings.cloud_api.address, "IP:PORT"));
    }
    if settings.cloud_api.rate_per_s <= 0.0 || settings.cloud_api.rate_per_s.is_nan() {
        return Err(bad("cloud_api.rate_per_s", settings.cloud_api.rate_per_s, "a number above 0"));
    }
    if settings.limits.memory_mb < 16 {
        return Err(bad("limits.memory_mb", settings.limits.memory_mb, "16 or more"));
    }
    if settings.limits.fd_limit < 64 {
        return Err(bad("limits.fd_limit", settings.limits.fd_limit, "64 or more"));
    }
    Ok(())
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
#[path = "settings_tests.rs"]
mod tests;
