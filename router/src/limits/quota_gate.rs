//! Rate limits of tenants: a token is requested before a request is sent to any engine.
//!
//! A tenant's token bucket is divided into shards, each owned by one controller. The owners are called one after the
//! other, starting with a random one so that the shards empty evenly. While none of them responds, the router grants
//! tokens from a small allowance of its own.

use std::collections::HashMap;
use std::sync::Arc;

use kernel::settings::Settings;
use kernel::{clock, hashing};
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelValue;
use protocol::link::PeerClient;
use protocol::message::Message;
use protocol::quota::{shard_owners_fingerprint, to_milli, ShardOwner, TokenRequest, TokenResponse};
use protocol::Dialer;
use quota::{Allowances, Bounds, EligibleOwner, Quota};

use crate::frontend::error_response::Failure;
use crate::metrics::QuotaLabels;
use crate::proxy::exchange::Exchange;

const MS_PER_S: f64 = 1000.0;
/// Timeout for a response of a shard owner, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 60;
/// Backoff of a shard owner that did not respond, in milliseconds.
const BACKOFF_MS: u64 = 500;
/// Maximum time for which a tenant whose shards were all empty is rejected without a call, in milliseconds.
const EMPTY_CACHE_MS: u64 = 30;
/// Retry delay of a tenant over its limit, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;
/// Retry delay when no shard owner responded and the allowance is used up, in milliseconds.
const LOCAL_RETRY_AFTER_MS: u64 = 200;

/// The decision about a request of a tenant with a limit. The names of the variants are label values of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Decision {
    /// A shard owner issued a token.
    Granted,
    /// All shards whose owners responded are empty.
    Denied,
    /// All shards were empty a moment ago, so no owner was called.
    Remembered,
    /// No shard owner responded; the request is within this router's allowance.
    GrantedAlone,
    /// No shard owner responded, and the allowance is used up.
    RefusedAlone,
}

impl Decision {
    /// Returns why the request may not be sent; `None` if it may.
    fn failure(self) -> Option<Failure> {
        match self {
            Decision::Granted | Decision::GrantedAlone => None,
            Decision::Denied | Decision::Remembered => Some(Failure::QuotaExceeded(RETRY_AFTER_MS)),
            // The tenant is not known to be over its limit: another router may reach a shard owner.
            Decision::RefusedAlone => Some(Failure::Unavailable(LOCAL_RETRY_AFTER_MS)),
        }
    }
}

/// The result of calling the shard owners in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenOutcome {
    Granted,
    Empty { retry_after_ms: u64 },
    Unanswered,
}

/// The state behind the lock. Maps by owner are keyed by its IP address, `empty_until` by tenant; times are in
/// milliseconds of the steady clock.
struct Inner {
    shard_owners: Vec<EligibleOwner>,
    fingerprint: u64,
    clients: HashMap<String, Arc<PeerClient>>,
    backoff_until: HashMap<String, u64>,
    empty_until: HashMap<String, u64>,
    allowances: Allowances,
}

/// Enforces the rate limits of tenants at this router.
///
/// Invariant: the lock is never held over an await.
pub struct QuotaGate {
    dialer: Dialer,
    peer_port: u16,
    inner: Mutex<Inner>,
}

impl QuotaGate {
    /// Creates a gate that knows no shard owners yet.
    pub fn new(settings: &Settings) -> QuotaGate {
        let bounds = Bounds {
            window_ms: (settings.bounds.quota_window_s * MS_PER_S) as u64,
            overage: settings.bounds.quota_overage,
            slack: settings.bounds.quota_slack,
        };
        let node_seed = hashing::hash(settings.node_name.as_bytes());
        let inner = Inner {
            shard_owners: Vec::new(),
            fingerprint: 0,
            clients: HashMap::new(),
            backoff_until: HashMap::new(),
            empty_until: HashMap::new(),
            allowances: Allowances::new(bounds, node_seed),
        };
        QuotaGate {
            dialer: Dialer::new(settings.source_ip()),
            peer_port: settings.peer_port(),
            inner: Mutex::new(inner),
        }
    }

    /// Replaces the list of controllers that may own shards.
    pub fn set_shard_owners(&self, owners: &[ShardOwner]) {
        let mut inner = self.inner.lock();
        inner.fingerprint = shard_owners_fingerprint(owners);
        inner.shard_owners =
            owners.iter().map(|owner| EligibleOwner { ip: owner.ip.clone(), zone: owner.zone.clone() }).collect();
        let eligible = inner.shard_owners.clone();
        inner.clients.retain(|ip, _| eligible.iter().any(|owner| owner.ip == *ip));
        inner.backoff_until.retain(|ip, _| eligible.iter().any(|owner| owner.ip == *ip));
    }

    /// Returns the fingerprint of the list of shard owners, from which controllers see whether the list is current.
    pub fn shard_owners_fingerprint(&self) -> u64 {
        self.inner.lock().fingerprint
    }

    /// Decides on a request of a tenant. `router_count` routers share the allowance; `random` selects the first owner.
    pub async fn decide(&self, tenant: &str, quota: &Quota, router_count: u32, random: u64) -> Decision {
        let now = clock::now();
        if self.is_known_empty(tenant, now) {
            return Decision::Remembered;
        }
        match self.request_token(tenant, quota, random).await {
            TokenOutcome::Granted => Decision::Granted,
            TokenOutcome::Empty { retry_after_ms } => {
                let until = clock::now() + retry_after_ms.min(EMPTY_CACHE_MS);
                self.inner.lock().empty_until.insert(tenant.into(), until);
                Decision::Denied
            }
            TokenOutcome::Unanswered => self.decide_alone(tenant, quota, router_count),
        }
    }

    /// Decides from this router's own allowance.
    fn decide_alone(&self, tenant: &str, quota: &Quota, router_count: u32) -> Decision {
        let now = clock::now();
        match self.inner.lock().allowances.try_acquire(tenant, quota, router_count, now) {
            true => Decision::GrantedAlone,
            false => Decision::RefusedAlone,
        }
    }

    /// Returns whether all shards of a tenant were empty a moment ago.
    fn is_known_empty(&self, tenant: &str, now: u64) -> bool {
        let mut inner = self.inner.lock();
        inner.empty_until.retain(|_, until| now < *until);
        inner.empty_until.contains_key(tenant)
    }

    /// Returns the owners of a tenant's shards, without those in backoff, in the order in which they are called.
    fn owners_in_order(&self, tenant: &str, random: u64) -> Vec<(String, Arc<PeerClient>)> {
        let now = clock::now();
        let mut inner = self.inner.lock();
        inner.backoff_until.retain(|_, until| now < *until);
        let owners = quota::shard_owners(tenant, &inner.shard_owners);
        let mut owners_in_order: Vec<String> = owners.into_iter().map(|owner| owner.ip.clone()).collect();
        let offset = random.checked_rem(owners_in_order.len() as u64).unwrap_or(0) as usize;
        owners_in_order.rotate_left(offset);
        owners_in_order.retain(|ip| !inner.backoff_until.contains_key(ip));
        let (dialer, port) = (self.dialer, self.peer_port);
        let client = |ip: String| {
            let start = || Arc::new(PeerClient::start(dialer, format!("{ip}:{port}"), None));
            let client = inner.clients.entry(ip.clone()).or_insert_with(start).clone();
            (ip, client)
        };
        owners_in_order.into_iter().map(client).collect()
    }

    /// Calls the shard owners one after another until one issues a token.
    async fn request_token(&self, tenant: &str, quota: &Quota, random: u64) -> TokenOutcome {
        let request = TokenRequest {
            tenant: tenant.into(),
            rate_milli: to_milli(quota.rate_per_s),
            burst_milli: to_milli(quota.burst),
        };
        let mut result = TokenOutcome::Unanswered;
        for (ip, client) in self.owners_in_order(tenant, random) {
            let message = Message::TokenRequest(Box::new(request.clone()));
            match client.call(message, RESPONSE_TIMEOUT_MS).await {
                Some(Message::TokenResponse(response)) => match *response {
                    TokenResponse::Granted => return TokenOutcome::Granted,
                    TokenResponse::Denied { retry_after_ms } => result = TokenOutcome::Empty { retry_after_ms },
                    TokenResponse::NotHeld => {}
                },
                _ => self.back_off(ip),
            }
        }
        result
    }

    /// Starts the backoff of an owner that did not respond.
    fn back_off(&self, ip: String) {
        let until = clock::now() + BACKOFF_MS;
        self.inner.lock().backoff_until.insert(ip, until);
    }
}

impl Exchange {
    /// Acquires a token for this request, if its tenant has a rate limit.
    ///
    /// # Errors
    /// `QuotaExceeded` if the tenant is over its limit, `Unavailable` if that cannot be determined.
    pub async fn acquire_quota_token(&self) -> Result<(), Failure> {
        let Some(tenant) = self.request.authorization.tenant() else { return Ok(()) };
        let Some(quota) = tenant.quota else { return Ok(()) };
        let random = self.state.rng().next_u64();
        let decision = self.state.quota_gate.decide(&tenant.name, &quota, self.state.router_count(), random).await;
        self.state.metrics.quota_decisions.get_or_create(&QuotaLabels { decision }).inc();
        decision.failure().map_or(Ok(()), Err)
    }
}

#[cfg(test)]
#[path = "quota_gate_tests.rs"]
mod tests;
