//! The tenants of the configuration in force, indexed by the digests of their API keys.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use http::HeaderValue;
use protocol::config;
use protocol::config_update::ConfigUpdate;
use quota::Quota;
use sha2::Sha256;

/// The digest of an API key. Keys are secrets: the clear text is not kept, and the digest is not printed either, since
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

impl fmt::Debug for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("KeyDigest(..)")
    }
}

/// A tenant, as far as it concerns the handling of its requests.
#[derive(Debug)]
pub struct Tenant {
    /// The name, unique in the configuration.
    pub name: String,
    /// The value of the header that tells engines the tenant; `None` if the name is not a valid header value.
    pub header: Option<HeaderValue>,
    /// The priority of its requests, which takes precedence over that of a route.
    pub priority: Option<u32>,
    /// The regions to which its requests may be sent; empty: all.
    pub allowed_regions: Vec<String>,
    /// The rate limit, over all routers.
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

/// All tenants. Invariant: `by_key` holds only keys of the tenants in `by_name`.
#[derive(Debug, Default)]
pub struct Tenants {
    by_name: BTreeMap<String, Arc<Tenant>>,
    by_key: HashMap<KeyDigest, KeyOwner>,
    requires_keys: bool,
}

/// The owner of a key.
#[derive(Debug)]
enum KeyOwner {
    /// Exactly one tenant has the key.
    One(Arc<Tenant>),
    /// Several tenants have it, which no valid configuration allows: the key identifies none of them and is treated as
    /// unknown.
    Ambiguous,
}

impl Tenants {
    /// Returns whether requests need a key, because the configuration has a table of tenants.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the tenant that owns a key; `None` if the key is unknown.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        match self.by_key.get(key)? {
            KeyOwner::One(tenant) => Some(tenant),
            KeyOwner::Ambiguous => None,
        }
    }

    /// Returns the tenants after an update, which removes some tenants and adds or replaces others.
    pub fn apply(current: &Arc<Tenants>, update: &ConfigUpdate) -> Arc<Tenants> {
        let is_full = update.from == 0;
        let tenants_unchanged = update.tenants.is_empty() && update.removed_tenants.is_empty();
        if !is_full && tenants_unchanged && update.requires_keys == current.requires_keys {
            return current.clone();
        }
        let mut by_name = if is_full { Default::default() } else { current.by_name.clone() };
        for name in &update.removed_tenants {
            by_name.remove(name);
        }
        for item in &update.tenants {
            by_name.insert(item.name.clone(), Arc::new(Tenant::new(item)));
        }
        let by_key = index_keys(by_name.values());
        Arc::new(Tenants { by_name, by_key, requires_keys: update.requires_keys })
    }
}

/// Indexes the keys of all tenants. The index is rebuilt after each change of a tenant, so that a key that moves to
/// another tenant belongs to its new owner in whatever order the update lists the two.
fn index_keys<'a>(tenants: impl Iterator<Item = &'a Arc<Tenant>>) -> HashMap<KeyDigest, KeyOwner> {
    let mut by_key = HashMap::new();
    // A tenant whose name is not a valid header value could not be named to engines, so its keys stay unknown.
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
