//! Normalization of host names for route lookup.

/// Returns a host without its port. Routers serve requests to `h:80` by the routes of `h` too, so both are one host.
pub fn without_port(host: &str) -> &str {
    let Some((name, port)) = host.rsplit_once(':') else { return host };
    let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
    // A remaining colon belongs to an IPv6 address, after which a port can follow only if it is in brackets.
    let is_name = !name.contains(':') || name.ends_with(']');
    if is_port && is_name {
        name
    } else {
        host
    }
}

/// Returns the form in which hosts are compared: lower case and without a port.
pub fn normalize(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}
