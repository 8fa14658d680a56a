//! A configuration as routers take it: whole, or what changed since the one before. What it costs goes
//! by what changed, not by how long the configuration has become.

/// Invariants: `from` is 0 for a whole one; otherwise it counts only on top of the revision `from`. What
/// it names was checked by the keeper that made it.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Change {
    pub from: u64,
    pub to: u64,
    /// Added or replaced, by name.
    pub routes: Vec<crate::config::Route>,
    pub gone: Vec<String>,
    pub services: Vec<crate::config::Service>,
    pub lost: Vec<String>,
    pub limits: crate::config::Limits,
}

impl Change {
    pub fn whole(config: &crate::config::Config) -> Change {
        Change {
            from: 0,
            to: config.revision,
            routes: config.route_table.clone(),
            gone: Vec::new(),
            services: config.service_table.clone(),
            lost: Vec::new(),
            limits: config.limits.clone(),
        }
    }

    pub fn between(old: &crate::config::Config, new: &crate::config::Config) -> Change {
        let (routes, gone) = apart(&old.route_table, &new.route_table, |route| route.name.as_str());
        let (services, lost) = apart(&old.service_table, &new.service_table, |service| service.name.as_str());
        Change { from: old.revision, to: new.revision, routes, gone, services, lost, limits: new.limits.clone() }
    }

    /// None: it is not whole, or of another shape.
    pub fn read(packed: &[u8]) -> Option<Change> {
        let size = u32::from_le_bytes(*packed.first_chunk::<4>()?) as usize;
        if size > crate::frame::MOST {
            return None;
        }
        let body = lz4_flex::decompress_size_prepended(packed).ok()?;
        let mut room = rkyv::util::AlignedVec::<16>::with_capacity(body.len());
        room.extend_from_slice(&body);
        rkyv::from_bytes::<Change, rkyv::rancor::Error>(&room).ok()
    }

    /// Packed: after a fall of everything all routers of a keeper ask for the whole at once.
    pub fn write(&self) -> Vec<u8> {
        let body = rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|body| body.to_vec()).unwrap_or_default();
        lz4_flex::compress_prepend_size(&body)
    }
}

/// What is new or other, and the names of what is gone.
fn apart<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> (Vec<T>, Vec<String>) {
    let held: std::collections::HashMap<&str, &T> = old.iter().map(|item| (name(item), item)).collect();
    let kept: std::collections::HashSet<&str> = new.iter().map(&name).collect();
    let fresh = new.iter().filter(|item| held.get(name(item)) != Some(item)).cloned().collect();
    let gone = old.iter().map(&name).filter(|name| !kept.contains(name)).map(str::to_string).collect();
    (fresh, gone)
}

#[cfg(test)]
#[path = "change_tests.rs"]
mod tests;
