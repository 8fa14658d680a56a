//! A configuration as routers take it: whole, or what changed since another revision. The size of a
//! change goes by what changed, not by the length of the configuration.
//!
//! The packed form tells its layout: `LAYOUT` stands before that of this version; without it the bytes are of the layout
//! that routers without tenants read (`before_tenants`).

use std::collections::{HashMap, HashSet};

use rkyv::rancor;
use rkyv::util::AlignedVec;

use crate::config::{Config, Limits, Route, Service, Tenant};

pub mod legacy_format;

/// Before the packed form of this layout. Without it the bytes begin with their unpacked length, which is never so long.
const LAYOUT: [u8; 4] = [b't', b'd', 2, 0xff];
/// The longest unpacked form that is read: the longest configuration comes to a third of it.
const UNPACKED_MOST: usize = 64 * 1024 * 1024;

/// The way from one revision to another. Invariants: `from` is 0 for a whole one; otherwise it applies only
/// to the revision `from`. What it names was checked by the controller that made it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ConfigUpdate {
    pub from: u64,
    pub to: u64,
    /// Added or replaced, by name.
    pub routes: Vec<Route>,
    pub removed_routes: Vec<String>,
    pub services: Vec<Service>,
    pub removed_services: Vec<String>,
    pub limits: Limits,
    /// Added or replaced, by name.
    pub tenants: Vec<Tenant>,
    pub removed_tenants: Vec<String>,
    /// As in the configuration that it leads to.
    pub requires_keys: bool,
}

impl ConfigUpdate {
    /// Everything that a configuration holds.
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

    /// What brings one that holds `old` to `new`.
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

    /// Decodes the packed form of either layout. None: it is cut short, or no change.
    pub fn decode(packed: &[u8]) -> Option<ConfigUpdate> {
        let Some(packed) = packed.strip_prefix(&LAYOUT[..]) else { return legacy_format::decode(packed) };
        rkyv::from_bytes::<ConfigUpdate, rancor::Error>(&unpack(packed)?).ok()
    }

    /// The packed form: after a loss of power everywhere all routers of a controller ask for the whole at once.
    pub fn encode(&self) -> Vec<u8> {
        let body = rkyv::to_bytes::<rancor::Error>(self).expect("a change can always be written");
        [&LAYOUT[..], &lz4_flex::compress_prepend_size(&body)].concat()
    }
}

/// Unpacks into a place where archived values may be read. None: no packed form, or longer than any.
fn unpack(packed: &[u8]) -> Option<AlignedVec<16>> {
    let size = u32::from_le_bytes(*packed.first_chunk::<4>()?) as usize;
    if size > UNPACKED_MOST {
        return None;
    }
    let body = lz4_flex::decompress_size_prepended(packed).ok()?;
    let mut room = AlignedVec::<16>::with_capacity(body.len());
    room.extend_from_slice(&body);
    Some(room)
}

/// The items that were added or replaced, and the names of those that were removed.
fn difference<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> (Vec<T>, Vec<String>) {
    let held: HashMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let kept: HashSet<&str> = new.iter().map(&name).collect();
    let changed = new.iter().filter(|item| held.get(name(item)) != Some(item)).cloned().collect();
    let removed = old.iter().map(&name).filter(|name| !kept.contains(name)).map(str::to_string).collect();
    (changed, removed)
}

#[cfg(test)]
#[path = "config_update_tests.rs"]
mod tests;
