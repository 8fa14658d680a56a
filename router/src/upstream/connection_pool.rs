//! Connections to engines: kept while the engine keeps them, never more than this router's slice.

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
use protocol::socket::{self, IO_TIMEOUT_MS};

pub type Connection = SendRequest<Full<Bytes>>;

/// Where an engine is reached. An address may pass to another engine; what was kept to the one before is of no
/// use to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    pub addr: String,
    /// The engine's id.
    pub engine: String,
}

/// A connection that waits to be used again.
struct Idle {
    connection: Connection,
    /// Its engine may close it after this.
    until: u64,
    engine: String,
}

/// Invariant: `count` is the number of connections to one address that are open or being opened.
#[derive(Default)]
struct EndpointPool {
    idle: Vec<Idle>,
    count: Arc<AtomicUsize>,
}

#[derive(Default)]
pub struct ConnectionPools(Mutex<HashMap<String, EndpointPool>>);

/// An idle connection whose engine named no time is used again only this soon.
const DEFAULT_KEEP_ALIVE_MS: u64 = 700;
/// How much sooner than its engine a router gives a connection up.
const KEEP_ALIVE_MARGIN_MS: u64 = 300;
const CONNECT_TIMEOUT_MS: u64 = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The slice of connections is in use.
    PoolExhausted,
    /// Refused or silent.
    Unreachable,
    /// The limit on stale weights rose, or its lease lapsed, before anything was written.
    TooStale,
    /// The key of the request was revoked, or passed to another tenant, before anything was written.
    Unauthorized,
}

impl ConnectionPools {
    /// A kept connection to this very engine. Those that are of no use any more are dropped on the way.
    pub fn take_idle(&self, to: &Endpoint) -> Option<Connection> {
        let now = clock::now();
        let mut pools = self.0.lock();
        let pool = pools.get_mut(&to.addr)?;
        while let Some(idle) = pool.idle.pop() {
            if now < idle.until && idle.engine == to.engine && idle.connection.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }

    pub async fn dial(&self, to: &Endpoint, max_connections: usize) -> Result<Connection, SendError> {
        let count = self.0.lock().entry(to.addr.clone()).or_default().count.clone();
        if count.load(Ordering::Relaxed) >= max_connections.max(1) {
            return Err(SendError::PoolExhausted);
        }
        count.fetch_add(1, Ordering::Relaxed);
        let slot = ConnectionSlot(count);
        let stream =
            socket::connect(&to.addr, CONNECT_TIMEOUT_MS, IO_TIMEOUT_MS).await.map_err(|_| SendError::Unreachable)?;
        let io = TokioIo::new(stream);
        let (connection, conn) = http1::handshake(io).await.map_err(|_| SendError::Unreachable)?;
        tokio::spawn(async move {
            let _ = conn.await;
            drop(slot);
        });
        Ok(connection)
    }

    /// Takes a connection back once its answer was read whole. `keep` is what the engine named, in
    /// whole seconds cut down; None when it named nothing.
    pub fn release(&self, to: &Endpoint, connection: Connection, keep_alive_s: Option<u64>) {
        let now = clock::now();
        let span =
            keep_alive_s.map_or(DEFAULT_KEEP_ALIVE_MS, |seconds| (seconds * 1000).saturating_sub(KEEP_ALIVE_MARGIN_MS));
        let mut pools = self.0.lock();
        let pool = pools.entry(to.addr.clone()).or_default();
        pool.idle.retain(|idle| now < idle.until && !idle.connection.is_closed());
        if span > 0 {
            pool.idle.push(Idle { connection, until: now + span, engine: to.engine.clone() });
        }
    }

    /// Kept connections that may still be used.
    #[cfg(test)]
    pub fn ready_count(&self) -> usize {
        let pools = self.0.lock();
        pools.values().flat_map(|pool| &pool.idle).filter(|idle| idle.connection.is_ready()).count()
    }

    pub fn forget(&self, addr: &str) {
        if let Some(pool) = self.0.lock().get_mut(addr) {
            pool.idle.clear();
        }
    }
}

struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// `Keep-Alive: timeout=N`
pub fn keep_alive_seconds(head: &HeaderMap) -> Option<u64> {
    let text = head.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|piece| piece.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

pub fn requests_close(head: &HeaderMap) -> bool {
    let list = head.get_all(CONNECTION);
    list.iter().any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")))
}
