//! Host names in the form in which routers look them up.

/// Returns a host without its port. A router finds the routes of `h` for a request to `h:80` too, so both are one host.
pub fn without_port(host: &str) -> &str {
    let Some((name, port)) = host.rsplit_once(':') else { return host };
    let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
    // A colon in what is left belongs to an address of version 6, which is complete only between brackets.
    let is_name = !name.contains(':') || name.ends_with(']');
    if is_port && is_name {
        name
    } else {
        host
    }
}

/// Returns the form in which hosts are compared.
pub fn normal(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}
