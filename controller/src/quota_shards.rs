//! The quota shards that this controller owns. The crate `quota` implements the rules; this module connects them to the
//! controller.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::clock;
use parking_lot::Mutex;
use protocol::message::{HiddenKey, Message, QUOTAS};
use protocol::quota::{
    from_milli, shard_owners_fingerprint, to_milli, ShardOwner, ShardUsage, TokenRequest, TokenResponse,
};
use quota::{EligibleOwner, Quota, Shards, TokenDecision, OWNER_EXPIRY_MS};
use serde_json::Value;

use crate::controller::Controller;
use crate::delivery::subscribers::Subscriber;
use crate::replication::committed_state::CommittedState;

/// Timeout of a usage request to another controller, in ms.
const USAGE_TIMEOUT_MS: u64 = 400;

/// The shards owned here, and the controllers that are eligible to own shards.
pub struct QuotaShards(Mutex<ShardTable>);

struct ShardTable {
    shards: Shards,
    eligible_owners: Vec<ShardOwner>,
    /// The fingerprint of `eligible_owners`, used to detect changes.
    owners_fingerprint: u64,
}

impl QuotaShards {
    /// Creates the shard table of a controller that has just started and owns no shards.
    pub fn new(ip: &str) -> QuotaShards {
        let table = ShardTable { shards: Shards::new(ip), eligible_owners: Vec::new(), owners_fingerprint: 0 };
        QuotaShards(Mutex::new(table))
    }
}

/// Updates the eligible owners. Returns whether they have changed and routers must be notified.
pub fn refresh_owners(controller: &Controller) -> bool {
    let now = clock::now();
    let is_shutting_down = controller.is_shutting_down();
    let confirmed_at = controller.committed.confirmed_at();
    let eligible = controller.peers.read(|view| view.eligible_owners(QUOTAS, OWNER_EXPIRY_MS, is_shutting_down, now));
    let owners: Vec<ShardOwner> =
        eligible.into_iter().map(|owner| ShardOwner { ip: owner.ip, zone: owner.zone }).collect();
    let fingerprint = shard_owners_fingerprint(&owners);
    let live = owners.iter().map(|owner| EligibleOwner { ip: owner.ip.clone(), zone: owner.zone.clone() }).collect();
    let mut table = controller.quotas.0.lock();
    table.shards.refresh(now, confirmed_at, live);
    let has_changed = table.owners_fingerprint != fingerprint;
    (table.eligible_owners, table.owners_fingerprint) = (owners, fingerprint);
    has_changed
}

/// Takes a token for a router's request.
pub fn acquire_token(controller: &Controller, request: &TokenRequest) -> TokenResponse {
    let now = clock::now();
    let (confirmed_at, committed) =
        controller.committed.read(|state| (state.confirmed_at, state.history.tenant_quota(&request.tenant)));
    // The router's configuration may be newer or older than this controller's.
    let requested = Quota { rate_per_s: from_milli(request.rate_milli), burst: from_milli(request.burst_milli) };
    let quota = committed.unwrap_or(requested);
    let Some(quota) = Quota::new(quota.rate_per_s, quota.burst) else { return TokenResponse::Granted };
    let decision = controller.quotas.0.lock().shards.try_acquire(&request.tenant, quota, now, confirmed_at);
    let response = match decision {
        TokenDecision::Granted => TokenResponse::Granted,
        TokenDecision::Denied { retry_after_ms } => TokenResponse::Denied { retry_after_ms },
        TokenDecision::NotOwner => TokenResponse::NotHeld,
    };
    controller.metrics.record_token_response(response);
    response
}

/// Sends a router the eligible owners, unless it already has the current list.
pub fn send_owners(controller: &Controller, subscriber: &mut Subscriber) {
    let table = controller.quotas.0.lock();
    let sent_fingerprint = subscriber.list_versions.entry(HiddenKey::ShardOwners.into()).or_default();
    if sent_fingerprint.0 == table.owners_fingerprint {
        return;
    }
    match subscriber.responder.notify(&Message::ShardOwners(Box::new(table.eligible_owners.clone()))) {
        true => sent_fingerprint.0 = table.owners_fingerprint,
        false => subscriber.is_behind = true,
    }
}

/// Returns the usage counters of the shards owned here.
pub fn usage(controller: &Controller) -> Vec<ShardUsage> {
    let counters = controller.quotas.0.lock().shards.counters();
    let usage = counters.into_iter().map(|shard| ShardUsage {
        tenant: shard.tenant,
        granted: shard.granted,
        denied: shard.denied,
        tokens_milli: to_milli(shard.tokens),
    });
    usage.collect()
}

/// Returns the usage of all shards by tenant, and the controllers that did not respond.
pub async fn fleet_usage(controller: &Arc<Controller>) -> Value {
    let owners = controller.quotas.0.lock().eligible_owners.clone();
    let mut sums = BTreeMap::<String, TenantUsage>::new();
    let mut silent = Vec::new();
    for owner in &owners {
        let usage = match owner.ip == controller.own_ip() {
            true => Some(usage(controller)),
            false => request_usage(controller, &owner.ip).await,
        };
        match usage {
            Some(shards) => shards.iter().for_each(|shard| sums.entry(shard.tenant.clone()).or_default().add(shard)),
            None => silent.push(owner.ip.clone()),
        }
    }
    let mut tenants: Vec<_> = sums.iter().collect();
    tenants.sort_by_key(|(_, usage)| Reverse(usage.granted + usage.denied));
    let tenants: Vec<Value> = controller
        .committed
        .read(|state| tenants.into_iter().map(|(name, usage)| tenant_usage(state, name, usage)).collect());
    serde_json::json!({"tenants": tenants, "silent_keepers": silent})
}

fn tenant_usage(state: &CommittedState, name: &str, usage: &TenantUsage) -> Value {
    let quota = state.history.tenant_quota(name);
    serde_json::json!({
        "name": name, "granted": usage.granted, "denied": usage.denied, "tokens": usage.tokens.floor(),
        "shards": usage.shards, "rate_per_s": quota.map(|quota| quota.rate_per_s),
        "burst_size": quota.map(|quota| quota.burst),
    })
}

async fn request_usage(controller: &Controller, ip: &str) -> Option<Vec<ShardUsage>> {
    match controller.peers.client(ip).call(Message::UsageRequest(Box::new(0)), USAGE_TIMEOUT_MS).await {
        Some(Message::UsageResponse(usage)) => Some(*usage),
        _ => None,
    }
}

/// The usage of one tenant, summed over all its shards.
#[derive(Default)]
struct TenantUsage {
    granted: u64,
    denied: u64,
    tokens: f64,
    shards: u32,
}

impl TenantUsage {
    fn add(&mut self, shard: &ShardUsage) {
        self.granted += shard.granted;
        self.denied += shard.denied;
        self.tokens += from_milli(shard.tokens_milli);
        self.shards += 1;
    }
}
