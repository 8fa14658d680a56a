//! The tenants of the configuration in force, found by the digests of their keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use http::HeaderValue;
use protocol::config;
use protocol::config_update::ConfigUpdate;
use quota::Quota;
use sha2::Sha256;

/// The digest of an API key. Keys are secrets: the clear text is not held, and a digest is not shown either,
/// since a weak key can be guessed from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
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

/// One tenant, as far as requests are served by it.
#[derive(Debug)]
pub struct Tenant {
    pub name: String,
    /// Its name as engines are told. None: no header can carry it.
    pub header: Option<HeaderValue>,
    /// Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// The regions that its requests may go to; empty: all.
    pub allowed_regions: Vec<String>,
    /// What it may send, over all routers.
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

/// Who holds a key.
#[derive(Debug)]
enum KeyOwner {
    One(Arc<Tenant>),
    /// Several tenants do, which no valid configuration has: the key tells nobody apart and counts as unknown.
    Ambiguous,
}

impl Tenants {
    /// Does the configuration have a table of tenants, so that requests need a key?
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// The tenant that holds a key. None: the key is unknown.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        match self.by_key.get(key)? {
            KeyOwner::One(tenant) => Some(tenant),
            KeyOwner::Ambiguous => None,
        }
    }

    /// The tenants after a change: those that it removes are gone, those that it names stand as it has them.
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

/// The holder of each key. Made anew from all tenants with each change of one: a key that moves from one tenant to
/// another is then its new holder's whatever the order in which a change names them.
fn index_keys<'a>(tenants: impl Iterator<Item = &'a Arc<Tenant>>) -> HashMap<KeyDigest, KeyOwner> {
    let mut by_key = HashMap::new();
    // A tenant whose name no header can carry can't be named to engines: its keys stay unknown.
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
