//! A tenant's limit at this router: a token is asked for before a request is sent to any engine.
//!
//! The holders of the shards of the tenant's bucket are asked one after the other, the first of them by chance so that
//! their shards empty evenly. While none of them answers, the router has a small allowance of its own.

use kernel::clock;
use kernel::hashing;
use std::collections::HashMap;
use std::sync::Arc;

use kernel::settings::Settings;
use parking_lot::Mutex;
use protocol::link::PeerClient;
use protocol::message::Message;
use protocol::quota::{shard_owners_fingerprint, to_milli, ShardOwner, TokenRequest, TokenResponse};
use quota::{Allowances, Bounds, EligibleOwner, Quota};

use crate::frontend::error_response::Failure;
use crate::metrics::QuotaLabels;
use crate::proxy::exchange::Exchange;

/// How long a holder may take to answer.
const RESPONSE_TIMEOUT_MS: u64 = 60;
/// A holder that gave no answer is passed over for so long.
const BACKOFF_MS: u64 = 500;
/// A tenant whose shards were all empty is refused without asking for at most so long.
const EMPTY_CACHE_MS: u64 = 30;
/// When a client that was refused may come back.
const RETRY_AFTER_MS: u64 = 500;
const LOCAL_RETRY_AFTER_MS: u64 = 200;

/// What a request of a tenant with a limit came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prometheus_client::encoding::EncodeLabelValue)]
pub enum Decision {
    /// A holder gave a token.
    Granted,
    /// All shards that answered are empty.
    Denied,
    /// They were empty a moment ago.
    Remembered,
    /// No holder answered; it is within this router's own allowance.
    GrantedAlone,
    /// No holder answered, and the allowance is used up.
    RefusedAlone,
}

impl Decision {
    /// Why a request may not be sent. None: it may.
    fn failure(self) -> Option<Failure> {
        match self {
            Decision::Granted | Decision::GrantedAlone => None,
            Decision::Denied | Decision::Remembered => Some(Failure::QuotaExceeded(RETRY_AFTER_MS)),
            // Not known to be over its limit: another router may reach a holder.
            Decision::RefusedAlone => Some(Failure::Unavailable(LOCAL_RETRY_AFTER_MS)),
        }
    }
}

/// What a round of asking came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenOutcome {
    Granted,
    Empty { retry_after_ms: u64 },
    Unanswered,
}

struct Inner {
    shard_owners: Vec<EligibleOwner>,
    fingerprint: u64,
    clients: HashMap<String, Arc<PeerClient>>,
    backoff_until: HashMap<String, u64>,
    empty_until: HashMap<String, u64>,
    allowances: Allowances,
}

/// Invariant: no lock is held over an await.
pub struct QuotaGate {
    peer_port: u16,
    inner: Mutex<Inner>,
}

impl QuotaGate {
    /// One that knows no holders yet.
    pub fn new(settings: &Settings) -> QuotaGate {
        let bounds = Bounds {
            window_ms: (settings.bounds.quota_window_s * 1000.0) as u64,
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
        QuotaGate { peer_port: settings.peer_port(), inner: Mutex::new(inner) }
    }

    /// Takes a list of controllers that may hold shards.
    pub fn set_shard_owners(&self, list: &[ShardOwner]) {
        let mut inner = self.inner.lock();
        inner.fingerprint = shard_owners_fingerprint(list);
        inner.shard_owners =
            list.iter().map(|one| EligibleOwner { ip: one.ip.clone(), zone: one.zone.clone() }).collect();
        let known = inner.shard_owners.clone();
        inner.clients.retain(|ip, _| known.iter().any(|owner| owner.ip == *ip));
        inner.backoff_until.retain(|ip, _| known.iter().any(|owner| owner.ip == *ip));
    }

    /// What tells the list of holders from others.
    pub fn shard_owners_fingerprint(&self) -> u64 {
        self.inner.lock().fingerprint
    }

    /// Decides about one request of a tenant.
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
            TokenOutcome::Unanswered => {
                let now = clock::now();
                let mut inner = self.inner.lock();
                match inner.allowances.try_acquire(tenant, quota, router_count, now) {
                    true => Decision::GrantedAlone,
                    false => Decision::RefusedAlone,
                }
            }
        }
    }

    fn is_known_empty(&self, tenant: &str, now: u64) -> bool {
        let mut inner = self.inner.lock();
        inner.empty_until.retain(|_, until| now < *until);
        inner.empty_until.contains_key(tenant)
    }

    /// The holders of a tenant's shards in the order in which they are asked: those that answered lately.
    fn owners_in_order(&self, tenant: &str, random: u64) -> Vec<(String, Arc<PeerClient>)> {
        let now = clock::now();
        let mut inner = self.inner.lock();
        inner.backoff_until.retain(|_, until| now < *until);
        let owners = quota::shard_owners(tenant, &inner.shard_owners);
        let mut owners_in_order: Vec<String> = owners.into_iter().map(|owner| owner.ip.clone()).collect();
        let offset = random.checked_rem(owners_in_order.len() as u64).unwrap_or(0) as usize;
        owners_in_order.rotate_left(offset);
        owners_in_order.retain(|ip| !inner.backoff_until.contains_key(ip));
        let port = self.peer_port;
        let client = |ip: String| {
            let start = || Arc::new(PeerClient::start(format!("{ip}:{port}"), None));
            let client_of_owner = inner.clients.entry(ip.clone()).or_insert_with(start).clone();
            (ip, client_of_owner)
        };
        owners_in_order.into_iter().map(client).collect()
    }

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

    fn back_off(&self, ip: String) {
        let until = clock::now() + BACKOFF_MS;
        self.inner.lock().backoff_until.insert(ip, until);
    }
}

impl Exchange {
    /// Takes a token of the tenant's limit for this request, if its tenant has one.
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
