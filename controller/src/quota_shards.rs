//! The shards of tenants' limits that this controller holds. The rules are in the crate `quota`; here they meet the controller.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::clock;
use parking_lot::Mutex;
use protocol::message::{HiddenKey, Message, QUOTAS};
use protocol::quota::{
    from_milli, shard_owners_fingerprint, to_milli, ShardOwner, ShardUsage, TokenRequest, TokenResponse,
};
use quota::{Holder, Quota, Shards, TAKE_OVER_MS};
use serde_json::Value;

use crate::controller::Controller;
use crate::delivery::subscribers::Follower;
use crate::replication::committed_state::CommittedState;

/// The shards held here, and who may hold others.
pub struct QuotaShards(Mutex<HeldShards>);

struct HeldShards {
    shards: Shards,
    holders: Vec<ShardOwner>,
    /// What tells this list of holders from others.
    mark: u64,
}

impl QuotaShards {
    /// Those of a controller that has just started: none.
    pub fn new(ip: &str) -> QuotaShards {
        QuotaShards(Mutex::new(HeldShards { shards: Shards::new(ip), holders: Vec::new(), mark: 0 }))
    }
}

/// Notes who may hold shards. True: that has changed, and routers are to hear of it.
pub fn beat(controller: &Controller) -> bool {
    let now = clock::now();
    let leaving = controller.leaving.load(Ordering::Relaxed);
    let confirmed_at = controller.committed.confirmed_at();
    let able = controller.peers.read(|view| view.eligible_owners(QUOTAS, TAKE_OVER_MS, leaving, now));
    let holders: Vec<ShardOwner> = able.into_iter().map(|one| ShardOwner { ip: one.ip, zone: one.zone }).collect();
    let mark = shard_owners_fingerprint(&holders);
    let live = holders.iter().map(|one| Holder { ip: one.ip.clone(), zone: one.zone.clone() }).collect();
    let mut held = controller.quotas.0.lock();
    held.shards.beat(now, confirmed_at, live);
    let is_new = held.mark != mark;
    (held.holders, held.mark) = (holders, mark);
    is_new
}

/// Takes a token for a router's request.
pub fn spend(controller: &Controller, spend: &TokenRequest) -> TokenResponse {
    let now = clock::now();
    let (confirmed_at, limit) =
        controller.committed.read(|state| (state.sure, state.history.tenant_quota(&spend.tenant)));
    // The router may know of a newer configuration than this controller, or of an older one.
    let (rate_per_s, burst) = (from_milli(spend.rate_milli), from_milli(spend.burst_milli));
    let limit = limit.unwrap_or(Quota { rate_per_s, burst });
    let Some(quota) = Quota::new(limit.rate_per_s, limit.burst) else { return TokenResponse::Granted };
    let spent = controller.quotas.0.lock().shards.spend(&spend.tenant, quota, now, confirmed_at);
    let spent = match spent {
        quota::TokenDecision::Granted => TokenResponse::Granted,
        quota::TokenDecision::Denied { retry_after_ms } => TokenResponse::Denied { retry_after_ms },
        quota::TokenDecision::NotHeld => TokenResponse::NotHeld,
    };
    controller.metrics.note_spent(spent);
    spent
}

/// Tells a router who may hold shards, where it has another list.
pub fn send_holders(controller: &Controller, follower: &mut Follower) {
    let held = controller.quotas.0.lock();
    let has = follower.sheets.entry(HiddenKey::ShardOwners.into()).or_default();
    if has.0 == held.mark {
        return;
    }
    match follower.mouth.notify(&Message::ShardOwners(Box::new(held.holders.clone()))) {
        true => has.0 = held.mark,
        false => follower.behind = true,
    }
}

/// What the shards held here have given.
pub fn usage(controller: &Controller) -> Vec<ShardUsage> {
    let told = controller.quotas.0.lock().shards.usage().into_iter();
    let shown = told.map(|one| ShardUsage {
        tenant: one.tenant,
        granted: one.granted,
        denied: one.denied,
        tokens_milli: to_milli(one.tokens),
    });
    shown.collect()
}

/// How long a controller may take to tell what its shards have given.
const USAGE_MS: u64 = 400;

/// What all shards have given, by tenant, and the controllers that did not answer.
pub async fn fleet_usage(controller: &Arc<Controller>) -> Value {
    let holders = controller.quotas.0.lock().holders.clone();
    let mut sums = BTreeMap::<String, TenantUsage>::new();
    let mut silent = Vec::new();
    for holder in &holders {
        let told = match holder.ip == controller.me() {
            true => Some(usage(controller)),
            false => ask_usage(controller, &holder.ip).await,
        };
        match told {
            Some(list) => list.into_iter().for_each(|one| sums.entry(one.tenant.clone()).or_default().add(&one)),
            None => silent.push(holder.ip.clone()),
        }
    }
    let shown = |state: &CommittedState, (name, sum): (&String, &TenantUsage)| {
        let limit = state.history.tenant_quota(name);
        serde_json::json!({"name": name, "granted": sum.granted, "denied": sum.denied, "tokens": sum.tokens.floor(),
            "shards": sum.shards, "rate_per_s": limit.map(|limit| limit.rate_per_s),
            "burst_size": limit.map(|limit| limit.burst)})
    };
    let mut tenants: Vec<_> = sums.iter().collect();
    tenants.sort_by_key(|(_, sum)| Reverse(sum.granted + sum.denied));
    let tenants: Vec<Value> =
        controller.committed.read(|state| tenants.into_iter().map(|tenant| shown(state, tenant)).collect());
    serde_json::json!({"tenants": tenants, "silent_keepers": silent})
}

async fn ask_usage(controller: &Controller, ip: &str) -> Option<Vec<ShardUsage>> {
    match controller.peers.client(ip).call(Message::UsageRequest(Box::new(0)), USAGE_MS).await {
        Some(Message::UsageResponse(list)) => Some(*list),
        _ => None,
    }
}

/// One tenant's use, over all its shards.
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
