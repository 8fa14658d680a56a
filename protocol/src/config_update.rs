//! Updates that deliver a configuration to routers: the whole configuration or the changes since another revision.
//! The size of the latter depends on what changed, not on the length of the configuration.
//!
//! The encoding is the compressed rkyv archive of the update, preceded by `FORMAT_MAGIC`. Bytes without this prefix are
//! in the format for routers that do not support tenants ([`legacy_format`]).

use std::collections::{HashMap, HashSet};

use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

use crate::compression;
use crate::config::{Config, Limits, Route, Service, Tenant};

pub mod legacy_format;

/// The prefix of the current format. The legacy format begins with the uncompressed length, which is never as large as
/// this value.
const FORMAT_MAGIC: [u8; 4] = [b't', b'd', 2, 0xff];

/// The change from one revision to another. Invariant: `from` is 0 for a whole configuration; otherwise the update
/// applies only to the revision `from`. The controller that created the update has checked the result.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The revision that the update applies to; 0 for any.
    pub from: u64,
    /// The revision that the update results in.
    pub to: u64,
    /// Routes that are added, or that replace the one with the same name.
    pub routes: Vec<Route>,
    /// The names of the routes that are removed.
    pub removed_routes: Vec<String>,
    /// Services that are added, or that replace the one with the same name.
    pub services: Vec<Service>,
    /// The names of the services that are removed.
    pub removed_services: Vec<String>,
    /// All limits, including unchanged ones.
    pub limits: Limits,
    /// Tenants that are added, or that replace the one with the same name.
    pub tenants: Vec<Tenant>,
    /// The names of the tenants that are removed.
    pub removed_tenants: Vec<String>,
    /// Whether requests need an API key after the update.
    pub requires_keys: bool,
}

impl ConfigUpdate {
    /// Returns an update to `config` that applies to any revision.
    pub fn full(config: &Config) -> ConfigUpdate {
        ConfigUpdate {
            from: 0,
            to: config.revision,
            routes: config.route_table.clone(),
            removed_routes: Vec::new(),
            services: config.service_table.clone(),
            removed_services: Vec::new(),
            limits: config.limits.clone(),
            tenants: config.tenant_table.clone(),
            removed_tenants: Vec::new(),
            requires_keys: config.requires_keys,
        }
    }

    /// Returns the update from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> ConfigUpdate {
        let (routes, removed_routes) = difference(&old.route_table, &new.route_table, |route| route.name.as_str());
        let (services, removed_services) =
            difference(&old.service_table, &new.service_table, |service| service.name.as_str());
        let (tenants, removed_tenants) =
            difference(&old.tenant_table, &new.tenant_table, |tenant| tenant.name.as_str());
        ConfigUpdate {
            from: old.revision,
            to: new.revision,
            routes,
            removed_routes,
            services,
            removed_services,
            limits: new.limits.clone(),
            tenants,
            removed_tenants,
            requires_keys: new.requires_keys,
        }
    }

    /// Decodes an update in either format. Returns `None` if the bytes are truncated or not an update.
    pub fn decode(encoded: &[u8]) -> Option<ConfigUpdate> {
        let Some(compressed) = encoded.strip_prefix(&FORMAT_MAGIC[..]) else { return legacy_format::decode(encoded) };
        rkyv::from_bytes::<ConfigUpdate, rancor::Error>(&compression::decompress(compressed)?).ok()
    }

    /// Encodes the update. It is compressed because after a fleet-wide power loss all routers of a controller request
    /// the whole configuration at once.
    ///
    /// # Panics
    ///
    /// Never for an update that fits into memory.
    pub fn encode(&self) -> Vec<u8> {
        let body = rkyv::to_bytes::<rancor::Error>(self).expect("an update can always be encoded");
        [&FORMAT_MAGIC[..], &compression::compress(&body)].concat()
    }
}

/// Returns the items that were added or replaced, and the names of those that were removed.
fn difference<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> (Vec<T>, Vec<String>) {
    let old_items: HashMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let new_names: HashSet<&str> = new.iter().map(&name).collect();
    let changed = new.iter().filter(|item| old_items.get(name(item)) != Some(item)).cloned().collect();
    let removed = old.iter().map(&name).filter(|name| !new_names.contains(name)).map(str::to_string).collect();
    (changed, removed)
}

#[cfg(test)]
#[path = "config_update_tests.rs"]
mod tests;
