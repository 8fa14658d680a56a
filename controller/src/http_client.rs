//! HTTP clients for calls to routers, engines and the platform.
//!
//! By default `reqwest` resends a request in two cases: when it follows a redirect, and when a pooled connection turns
//! out to be closed. Both are disabled here. A redirect could run a job twice or send a request to another engine, and
//! the caller must know the outcome of each request, since the caller alone decides whether to retry it.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use protocol::socket::IO_TIMEOUT_MS;
use reqwest::redirect::Policy;
use reqwest::{retry, Client, ClientBuilder};

/// Returns a builder of clients that send each request at most once, on its own connection, from the local address
/// `source` if it is set. `unacknowledged_timeout` is how long sent bytes may stay unacknowledged before the connection
/// is reset. The reset discards bytes queued behind a broken link, so that they cannot arrive long after their sender
/// has lost its lease.
pub fn at_most_once(
    source: Option<Ipv4Addr>,
    connect_timeout: Duration,
    unacknowledged_timeout: Duration,
) -> ClientBuilder {
    without_resending(source, connect_timeout, unacknowledged_timeout).pool_max_idle_per_host(0)
}

/// Returns a builder of clients for reads: connections are pooled, and one that closes while idle is replaced.
pub fn reads(source: Option<Ipv4Addr>, connect_timeout: Duration) -> ClientBuilder {
    without_resending(source, connect_timeout, Duration::from_millis(IO_TIMEOUT_MS)).tcp_nodelay(true)
}

fn without_resending(
    source: Option<Ipv4Addr>,
    connect_timeout: Duration,
    unacknowledged_timeout: Duration,
) -> ClientBuilder {
    Client::builder()
        .local_address(source.map(IpAddr::V4))
        .connect_timeout(connect_timeout)
        .tcp_user_timeout(unacknowledged_timeout)
        .redirect(Policy::none())
        .retry(retry::never())
        .no_proxy()
}

#[cfg(test)]
#[path = "http_client_tests.rs"]
mod tests;
