//! Validates settings after their types have been checked. The error names the first invalid field.

use std::net::{Ipv4Addr, SocketAddrV4};

use error_stack::Report;

use super::{BindAddresses, CloudApi, Limits, Settings, SettingsError};

const MIN_MEMORY_MB: u64 = 16;
const MIN_FD_LIMIT: u64 = 64;

type ValidationResult = Result<(), Report<SettingsError>>;

pub(super) fn validate(settings: &Settings) -> ValidationResult {
    validate_node(settings)?;
    validate_bind_addresses(&settings.bind_addresses)?;
    validate_seed_peers(&settings.seed_peers)?;
    validate_cloud_api(&settings.cloud_api)?;
    validate_limits(&settings.limits)
}

fn validate_node(settings: &Settings) -> ValidationResult {
    let own_addresses = [
        ("ip", Some(&settings.ip)),
        ("listen_ip", settings.listen_ip.as_ref()),
        ("source_ip", settings.source_ip.as_ref()),
    ];
    for (field, address) in own_addresses {
        if let Some(address) = address.filter(|address| address.parse::<Ipv4Addr>().is_err()) {
            return Err(SettingsError::report(field, address, "an IPv4 address"));
        }
    }
    let [first_port, last_port] = settings.internal_ports;
    if first_port == 0 || first_port > last_port {
        let found = format!("{:?}", settings.internal_ports);
        return Err(SettingsError::report(
            "internal_ports",
            found,
            "two ports above 0, the first not above the second",
        ));
    }
    if !settings.zones.contains_key(&settings.zone) {
        return Err(SettingsError::report("zone", &settings.zone, "a zone listed under `zones`"));
    }
    Ok(())
}

fn validate_bind_addresses(addresses: &BindAddresses) -> ValidationResult {
    let fields = [
        ("bind_addresses.frontend", &addresses.frontend),
        ("bind_addresses.readiness", &addresses.readiness),
        ("bind_addresses.control_plane", &addresses.control_plane),
    ];
    for (field, address) in fields {
        if let Some(address) = address {
            validate_address(field, address, "IP:PORT")?;
        }
    }
    Ok(())
}

fn validate_seed_peers(seed_peers: &[String]) -> ValidationResult {
    seed_peers.iter().try_for_each(|seed| validate_address("seed_peers", seed, "a list of IP:PORT"))
}

fn validate_cloud_api(cloud_api: &CloudApi) -> ValidationResult {
    validate_address("cloud_api.address", &cloud_api.address, "IP:PORT")?;
    if cloud_api.rate_per_s <= 0.0 || cloud_api.rate_per_s.is_nan() {
        return Err(SettingsError::report("cloud_api.rate_per_s", cloud_api.rate_per_s, "a number above 0"));
    }
    Ok(())
}

fn validate_limits(limits: &Limits) -> ValidationResult {
    validate_minimum("limits.memory_mb", limits.memory_mb, MIN_MEMORY_MB)?;
    validate_minimum("limits.fd_limit", limits.fd_limit, MIN_FD_LIMIT)
}

fn validate_address(field: &str, address: &str, allowed: &str) -> ValidationResult {
    match address.parse::<SocketAddrV4>() {
        Ok(_) => Ok(()),
        Err(_) => Err(SettingsError::report(field, address, allowed)),
    }
}

fn validate_minimum(field: &str, value: u64, minimum: u64) -> ValidationResult {
    if value < minimum {
        return Err(SettingsError::report(field, value, &format!("{minimum} or more")));
    }
    Ok(())
}
