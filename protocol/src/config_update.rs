//! A configuration as routers get it: whole, or what changed since another revision. The size of an update depends on
//! what changed, not on the length of the configuration.
//!
//! The encoding is the archived update, compressed. `FORMAT` stands before that of this version; without it the bytes are
//! in the format that routers without tenants read ([`legacy_format`]).

use std::collections::{HashMap, HashSet};

use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

use crate::compression;
use crate::config::{Config, Limits, Route, Service, Tenant};

pub mod legacy_format;

/// How an encoding in this format begins. One in the legacy format begins with its uncompressed length, which is never
/// so large.
const FORMAT: [u8; 4] = [b't', b'd', 2, 0xff];

/// What leads from one revision to another. Invariants: `from` is 0 for a whole configuration; otherwise the update
/// applies only to the revision `from`. The controller that made it checked the result.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The revision that it applies to; 0 for any.
    pub from: u64,
    /// The revision that it leads to.
    pub to: u64,
    /// Routes that are added, or that replace the one of their name.
    pub routes: Vec<Route>,
    /// The names of routes that are removed.
    pub removed_routes: Vec<String>,
    /// Services that are added, or that replace the one of their name.
    pub services: Vec<Service>,
    /// The names of services that are removed.
    pub removed_services: Vec<String>,
    /// All limits.
    pub limits: Limits,
    /// Tenants that are added, or that replace the one of their name.
    pub tenants: Vec<Tenant>,
    /// The names of tenants that are removed.
    pub removed_tenants: Vec<String>,
    /// Whether requests need a key, as in the configuration that it leads to.
    pub requires_keys: bool,
}

impl ConfigUpdate {
    /// Returns the update that leads from anything to a configuration.
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

    /// Returns the update that leads from `old` to `new`.
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

    /// Decodes an update in either format. Returns `None` if the bytes are cut short, or no update.
    pub fn decode(encoded: &[u8]) -> Option<ConfigUpdate> {
        let Some(compressed) = encoded.strip_prefix(&FORMAT[..]) else { return legacy_format::decode(encoded) };
        rkyv::from_bytes::<ConfigUpdate, rancor::Error>(&compression::decompress(compressed)?).ok()
    }

    /// Encodes the update, compressed: after a loss of power everywhere all routers of a controller ask for the whole
    /// configuration at once.
    ///
    /// # Panics
    ///
    /// Never for an update that fits into memory.
    pub fn encode(&self) -> Vec<u8> {
        let body = rkyv::to_bytes::<rancor::Error>(self).expect("an update can always be encoded");
        [&FORMAT[..], &compression::compress(&body)].concat()
    }
}

/// Returns the items that were added or replaced, and the names of those that were removed.
fn difference<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> (Vec<T>, Vec<String>) {
    let before: HashMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let kept: HashSet<&str> = new.iter().map(&name).collect();
    let changed = new.iter().filter(|item| before.get(name(item)) != Some(item)).cloned().collect();
    let removed = old.iter().map(&name).filter(|name| !kept.contains(name)).map(str::to_string).collect();
    (changed, removed)
}

#[cfg(test)]
#[path = "config_update_tests.rs"]
mod tests;
