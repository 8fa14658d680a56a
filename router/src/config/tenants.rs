//! The tenants of the configuration in force, indexed by the digests of their API keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use http::HeaderValue;
use protocol::config;
use protocol::config_update::ConfigUpdate;
use quota::Quota;
use sha2::Sha256;

/// The digest of an API key. Keys are secrets: the clear text is not kept, and a digest is not shown either, since
/// a weak key can be guessed from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        use sha2::Digest;
        KeyDigest(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("KeyDigest(..)")
    }
}

/// A tenant, as far as it matters to its requests.
#[derive(Debug)]
pub struct Tenant {
    /// Its name, unique in the configuration.
    pub name: String,
    /// The value of the header that names it to engines. `None`: no header can carry the name.
    pub header: Option<HeaderValue>,
    /// Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// The regions to which its requests may go; empty: all.
    pub allowed_regions: Vec<String>,
    /// Its rate limit, over all routers.
    pub quota: Option<Quota>,
    keys: Vec<KeyDigest>,
}

impl Tenant {
    fn new(item: &config::Tenant) -> Tenant {
        Tenant {
            name: item.name.clone(),
            header: HeaderValue::from_bytes(item.name.as_bytes()).ok(),
            priority: item.priority,
            allowed_regions: item.allowed_regions.clone(),
            quota: Quota::new(item.rate_per_s, item.burst_size),
            keys: item.api_keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        }
    }
}

/// All tenants. Invariant: `by_key` holds the keys of those in `by_name` and no others.
#[derive(Debug, Default)]
pub struct Tenants {
    by_name: BTreeMap<String, Arc<Tenant>>,
    by_key: HashMap<KeyDigest, KeyOwner>,
    requires_keys: bool,
}

/// The tenant to which a key belongs.
#[derive(Debug)]
enum KeyOwner {
    /// Exactly one tenant has it.
    One(Arc<Tenant>),
    /// Several tenants have it, which no valid configuration allows: the key identifies nobody and counts as
    /// unknown.
    Ambiguous,
}

impl Tenants {
    /// Returns whether the configuration has a table of tenants, so that requests need a key.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the tenant that owns a key. `None`: the key is unknown.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        match self.by_key.get(key)? {
            KeyOwner::One(tenant) => Some(tenant),
            KeyOwner::Ambiguous => None,
        }
    }

    /// Returns the tenants after a change: those that it removes are gone, those that it names are as it has them.
    pub fn after(current: &Arc<Tenants>, change: &ConfigUpdate) -> Arc<Tenants> {
        let is_full = change.from == 0;
        let same_tenants = change.tenants.is_empty() && change.removed_tenants.is_empty();
        if !is_full && same_tenants && change.requires_keys == current.requires_keys {
            return current.clone();
        }
        let mut by_name = if is_full { Default::default() } else { current.by_name.clone() };
        for name in &change.removed_tenants {
            by_name.remove(name);
        }
        for item in &change.tenants {
            by_name.insert(item.name.clone(), Arc::new(Tenant::new(item)));
        }
        let by_key = index_keys(by_name.values());
        Arc::new(Tenants { by_name, by_key, requires_keys: change.requires_keys })
    }
}

/// Indexes the keys of all tenants. Rebuilt with each change of any tenant: a key that moves between tenants then
/// belongs to its new owner whatever the order in which a change names them.
fn index_keys<'a>(tenants: impl Iterator<Item = &'a Arc<Tenant>>) -> HashMap<KeyDigest, KeyOwner> {
    let mut by_key = HashMap::new();
    // Engines couldn't be told of a tenant whose name no header can carry: its keys stay unknown.
    for tenant in tenants.filter(|tenant| tenant.header.is_some()) {
        for key in &tenant.keys {
            let owner = by_key.entry(*key).or_insert_with(|| KeyOwner::One(tenant.clone()));
            if matches!(owner, KeyOwner::One(other) if !Arc::ptr_eq(other, tenant)) {
                *owner = KeyOwner::Ambiguous;
            }
        }
    }
    by_key
}

#[cfg(test)]
#[path = "tenants_tests.rs"]
mod tests;
