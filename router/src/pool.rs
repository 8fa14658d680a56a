//! Connections to engines: kept while the engine keeps them, never more than this router's slice.

pub type Wire = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Invariant: `count` is the number of connections to one address that are open or being opened.
#[derive(Default)]
struct Pool {
    idle: Vec<(Wire, u64)>,
    count: std::sync::Arc<std::sync::atomic::AtomicUsize>,
}

#[derive(Default)]
pub struct Pools(std::sync::Mutex<std::collections::HashMap<String, Pool>>);

/// An idle connection whose engine named no time is used again only this soon.
const SHORT_MS: u64 = 700;
const DIAL_MS: u64 = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hitch {
    /// The slice of connections is in use.
    Full,
    /// Refused or silent.
    Down,
    /// The limit on stale weights rose, or its lease lapsed, before anything was written.
    Behind,
}

impl Pools {
    pub fn idle(&self, addr: &str) -> Option<Wire> {
        let now = kernel::clock::now();
        let mut pools = self.0.lock().expect("pools");
        let pool = pools.get_mut(addr)?;
        while let Some((wire, until)) = pool.idle.pop() {
            if now < until && wire.is_ready() {
                return Some(wire);
            }
        }
        None
    }

    pub async fn dial(&self, addr: &str, most: usize) -> Result<Wire, Hitch> {
        let count = self.0.lock().expect("pools").entry(addr.to_string()).or_default().count.clone();
        if count.load(std::sync::atomic::Ordering::Relaxed) >= most.max(1) {
            return Err(Hitch::Full);
        }
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let hold = Hold(count);
        let stream = wire::sock::dial(addr, DIAL_MS, wire::sock::SILENCE_MS).await.map_err(|_| Hitch::Down)?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (wire, conn) = hyper::client::conn::http1::handshake(io).await.map_err(|_| Hitch::Down)?;
        tokio::spawn(async move {
            let _ = conn.await;
            drop(hold);
        });
        Ok(wire)
    }

    /// Takes a connection back once its answer was read whole. `keep` is what the engine named, in
    /// whole seconds cut down; None when it named nothing.
    pub fn put(&self, addr: &str, wire: Wire, keep: Option<u64>) {
        let now = kernel::clock::now();
        let span = keep.map_or(SHORT_MS, |keep| (keep * 1000).saturating_sub(300));
        let mut pools = self.0.lock().expect("pools");
        let pool = pools.entry(addr.to_string()).or_default();
        pool.idle.retain(|(wire, until)| now < *until && !wire.is_closed());
        pool.idle.push((wire, now + span));
    }

    pub fn forget(&self, addr: &str) {
        if let Some(pool) = self.0.lock().expect("pools").get_mut(addr) {
            pool.idle.clear();
        }
    }
}

struct Hold(std::sync::Arc<std::sync::atomic::AtomicUsize>);

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}

/// `Keep-Alive: timeout=N`
pub fn keep(head: &http::HeaderMap) -> Option<u64> {
    let text = head.get("keep-alive")?.to_str().ok()?;
    text.split(',').find_map(|piece| piece.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

pub fn closes(head: &http::HeaderMap) -> bool {
    let list = head.get_all(http::header::CONNECTION);
    list.iter().any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")))
}
