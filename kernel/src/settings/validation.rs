//! Checks of a settings file that was read.

use std::net::{Ipv4Addr, SocketAddrV4};

use error_stack::Report;

use super::error::bad;
use super::{Settings, SettingsError};

pub(super) fn check(settings: &Settings) -> Result<(), Report<SettingsError>> {
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
