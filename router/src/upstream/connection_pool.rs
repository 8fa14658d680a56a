//! Connections to engines: reused while the engine keeps them open, and limited to this router's share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http::header::CONNECTION;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use kernel::clock;
use parking_lot::Mutex;
use protocol::socket::IO_TIMEOUT_MS;
use protocol::Dialer;

/// An HTTP/1.1 connection to an engine.
pub type Connection = SendRequest<Full<Bytes>>;

/// The address and id of an engine. An address may be reassigned to another engine; connections to the previous one are
/// not reused then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address, `ip:port`.
    pub addr: String,
    /// The engine's id.
    pub engine: String,
}

/// A connection that may be reused.
struct IdleConnection {
    connection: Connection,
    /// When its engine may close it, in milliseconds of the steady clock.
    expires_at_ms: u64,
    engine: String,
}

/// The connections to one address. Invariant: `count` is the number of those that are open or being opened.
#[derive(Default)]
struct EndpointPool {
    idle: Vec<IdleConnection>,
    count: Arc<AtomicUsize>,
}

/// The pools of all addresses.
#[derive(Default)]
pub struct ConnectionPools(Mutex<HashMap<String, EndpointPool>>);

/// Keep-alive timeout of connections whose engine names none, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 700;
/// How long before its engine's keep-alive timeout a connection is no longer reused, in milliseconds.
const KEEP_ALIVE_MARGIN_MS: u64 = 300;
/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Capacity of the buffers of a connection, and so the maximum length of a response head, in bytes.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// All connections of this router's share are in use.
    PoolExhausted,
    /// The connection was refused or not established in time.
    Unreachable,
    /// The required weight version rose, or the lease of the staleness limit expired, before anything was written.
    TooStale,
    /// The API key of the request was revoked, or assigned to another tenant, before anything was written.
    Unauthorized,
    /// The engine's zone was evacuated, or excluded by the route's regions, before anything was written.
    ZoneExcluded,
}

impl ConnectionPools {
    /// Takes an idle connection to exactly this engine, and drops unusable ones that it finds first.
    pub fn take_idle(&self, to: &Endpoint) -> Option<Connection> {
        let now = clock::now();
        let mut pools = self.0.lock();
        let pool = pools.get_mut(&to.addr)?;
        while let Some(idle) = pool.idle.pop() {
            if now < idle.expires_at_ms && idle.engine == to.engine && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// `PoolExhausted` if `max_connections` to the address are open already, `Unreachable` if the connection cannot be
    /// established.
    pub async fn dial(&self, dialer: Dialer, to: &Endpoint, max_connections: usize) -> Result<Connection, SendError> {
        let count = self.0.lock().entry(to.addr.clone()).or_default().count.clone();
        if count.load(Ordering::Relaxed) >= max_connections.max(1) {
            return Err(SendError::PoolExhausted);
        }
        count.fetch_add(1, Ordering::Relaxed);
        let slot = ConnectionSlot(count);
        let stream =
            dialer.connect(&to.addr, CONNECT_TIMEOUT_MS, IO_TIMEOUT_MS).await.map_err(|_| SendError::Unreachable)?;
        let io = TokioIo::new(stream);
        let (connection, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|_| SendError::Unreachable)?;
        tokio::spawn(async move {
            let _ = driver.await;
            drop(slot);
        });
        Ok(connection)
    }

    /// Returns a connection to its pool after its response was read completely. `keep_alive_s` is the keep-alive
    /// timeout that the engine named, in whole seconds rounded down; `None` if it named none.
    pub fn release(&self, to: &Endpoint, connection: Connection, keep_alive_s: Option<u64>) {
        let now = clock::now();
        let keep_alive_ms =
            keep_alive_s.map_or(DEFAULT_KEEP_ALIVE_MS, |seconds| (seconds * 1000).saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let mut pools = self.0.lock();
        let pool = pools.entry(to.addr.clone()).or_default();
        pool.idle.retain(|idle| now < idle.expires_at_ms && !idle.connection.is_closed());
        if keep_alive_ms > 0 {
            pool.idle.push(IdleConnection {
                connection,
                expires_at_ms: now + keep_alive_ms,
                engine: to.engine.clone(),
            });
        }
    }

    /// Returns the number of idle connections that may still be reused.
    #[cfg(test)]
    pub fn ready_count(&self) -> usize {
        let pools = self.0.lock();
        pools.values().flat_map(|pool| &pool.idle).filter(|idle| idle.connection.is_ready()).count()
    }

    /// Drops the idle connections to an address.
    pub fn forget(&self, addr: &str) {
        if let Some(pool) = self.0.lock().get_mut(addr) {
            pool.idle.clear();
        }
    }
}

/// Counts one connection until it is dropped.
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the number of seconds in a header `Keep-Alive: timeout=N`.
pub fn keep_alive_seconds(head: &HeaderMap) -> Option<u64> {
    let text = head.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|parameter| parameter.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

/// Returns whether a `Connection` header contains the text `close`, in upper or lower case.
pub fn requests_close(head: &HeaderMap) -> bool {
    let list = head.get_all(CONNECTION);
    list.iter().any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")))
}
