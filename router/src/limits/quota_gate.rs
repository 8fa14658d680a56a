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
use crate::metrics::Quotas;
use crate::proxy::exchange::Exchange;

/// How long a holder may take to answer.
const ANSWER_MS: u64 = 60;
/// A holder that gave no answer is passed over for so long.
const REST_MS: u64 = 500;
/// A tenant whose shards were all empty is refused without asking for at most so long.
const MEMORY_MS: u64 = 30;
/// When a client that was refused may come back.
const RETRY_AFTER_MS: u64 = 500;
const RETRY_ALONE_MS: u64 = 200;

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
            Decision::Denied | Decision::Remembered => Some(Failure::OverQuota(RETRY_AFTER_MS)),
            // Not known to be over its limit: another router may reach a holder.
            Decision::RefusedAlone => Some(Failure::Refused(RETRY_ALONE_MS)),
        }
    }
}

/// What a round of asking came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Granted,
    Empty { retry_after_ms: u64 },
    Nobody,
}

struct Inner {
    holders: Vec<EligibleOwner>,
    mark: u64,
    links: HashMap<String, Arc<PeerClient>>,
    resting_until: HashMap<String, u64>,
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
        let mark = hashing::hash(settings.node_name.as_bytes());
        let inner = Inner {
            holders: Vec::new(),
            mark: 0,
            links: HashMap::new(),
            resting_until: HashMap::new(),
            empty_until: HashMap::new(),
            allowances: Allowances::new(bounds, mark),
        };
        QuotaGate { peer_port: settings.peer_port(), inner: Mutex::new(inner) }
    }

    /// Takes a list of controllers that may hold shards.
    pub fn set_holders(&self, list: &[ShardOwner]) {
        let mut inner = self.inner.lock();
        inner.mark = shard_owners_fingerprint(list);
        inner.holders = list.iter().map(|one| EligibleOwner { ip: one.ip.clone(), zone: one.zone.clone() }).collect();
        let known = inner.holders.clone();
        inner.links.retain(|ip, _| known.iter().any(|holder| holder.ip == *ip));
        inner.resting_until.retain(|ip, _| known.iter().any(|holder| holder.ip == *ip));
    }

    /// What tells the list of holders from others.
    pub fn mark(&self) -> u64 {
        self.inner.lock().mark
    }

    /// Decides about one request of a tenant.
    pub async fn decide(&self, tenant: &str, quota: &Quota, routers: u32, roll: u64) -> Decision {
        let now = clock::now();
        if self.is_known_empty(tenant, now) {
            return Decision::Remembered;
        }
        match self.ask(tenant, quota, roll).await {
            Asked::Granted => Decision::Granted,
            Asked::Empty { retry_after_ms } => {
                let until = clock::now() + retry_after_ms.min(MEMORY_MS);
                self.inner.lock().empty_until.insert(tenant.into(), until);
                Decision::Denied
            }
            Asked::Nobody => {
                let now = clock::now();
                let mut inner = self.inner.lock();
                match inner.allowances.try_acquire(tenant, quota, routers, now) {
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
    fn order(&self, tenant: &str, roll: u64) -> Vec<(String, Arc<PeerClient>)> {
        let now = clock::now();
        let mut inner = self.inner.lock();
        inner.resting_until.retain(|_, until| now < *until);
        let chosen = quota::shard_owners(tenant, &inner.holders);
        let mut order: Vec<String> = chosen.into_iter().map(|holder| holder.ip.clone()).collect();
        let first = roll.checked_rem(order.len() as u64).unwrap_or(0) as usize;
        order.rotate_left(first);
        order.retain(|ip| !inner.resting_until.contains_key(ip));
        let port = self.peer_port;
        let link = |ip: String| {
            let start = || Arc::new(PeerClient::start(format!("{ip}:{port}"), None));
            let caller = inner.links.entry(ip.clone()).or_insert_with(start).clone();
            (ip, caller)
        };
        order.into_iter().map(link).collect()
    }

    async fn ask(&self, tenant: &str, quota: &Quota, roll: u64) -> Asked {
        let spend = TokenRequest {
            tenant: tenant.into(),
            rate_milli: to_milli(quota.rate_per_s),
            burst_milli: to_milli(quota.burst),
        };
        let mut result = Asked::Nobody;
        for (ip, link) in self.order(tenant, roll) {
            let message = Message::TokenRequest(Box::new(spend.clone()));
            match link.call(message, ANSWER_MS).await {
                Some(Message::TokenResponse(spent)) => match *spent {
                    TokenResponse::Granted => return Asked::Granted,
                    TokenResponse::Denied { retry_after_ms } => result = Asked::Empty { retry_after_ms },
                    TokenResponse::NotHeld => {}
                },
                _ => self.rest(ip),
            }
        }
        result
    }

    fn rest(&self, ip: String) {
        let until = clock::now() + REST_MS;
        self.inner.lock().resting_until.insert(ip, until);
    }
}

impl Exchange {
    /// Takes a token of the tenant's limit for this request, if its tenant has one.
    pub async fn spend_quota(&self) -> Result<(), Failure> {
        let Some(tenant) = self.request.authorization.tenant() else { return Ok(()) };
        let Some(quota) = tenant.quota else { return Ok(()) };
        let roll = self.state.rng().next_u64();
        let decision = self.state.quota_gate.decide(&tenant.name, &quota, self.state.router_count(), roll).await;
        self.state.metrics.quota_decisions.get_or_create(&Quotas { decision }).inc();
        decision.failure().map_or(Ok(()), Err)
    }
}

#[cfg(test)]
#[path = "quota_gate_tests.rs"]
mod tests;
