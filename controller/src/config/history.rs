//! The configuration in force: as it is stored, as a value, and in the form in which routers take it: frames encoded once
//! and sent to many.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use protocol::config::{ConfigDocument, Tenant};
use protocol::config_update::{legacy_format, ConfigUpdate};
use protocol::frame::{self, Kind, HEADER_BYTES};
use protocol::message::{Message, TENANTS};
use quota::Quota;

/// How many changes are kept, and how many bytes of them.
const MOST_CHANGES: usize = 64;
const MOST_BYTES: usize = 1 << 20;

/// The layouts of packed changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layout {
    /// For routers that know no tenants.
    BeforeTenants,
    Current,
}

impl Layout {
    /// The layout for a router that reads messages of this version.
    pub fn of(reads: u64) -> Layout {
        match reads >= TENANTS {
            true => Layout::Current,
            false => Layout::BeforeTenants,
        }
    }
}

/// A change from the revision `from` to the next one that was in force here.
struct EncodedChange {
    from: u64,
    /// What it leads to can be told to routers that know no tenants.
    for_all: bool,
    frame: Bytes,
    /// In the layout before tenants, made when it is first needed.
    before_tenants: Option<Bytes>,
}

/// Why a configuration is not taken for the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotNewer {
    pub held: u64,
    pub found: u64,
}

/// Invariants: `current` never goes back to a lower revision, nor to another text under the same one; `changes` is a
/// chain, each from the revision before it to the next, the last one ending at `current`; `whole` and
/// `whole_before_tenants` are of `current`. What is kept is bounded by count and by bytes.
#[derive(Default)]
pub struct ConfigHistory {
    current: Option<Arc<ConfigDocument>>,
    whole: Option<Bytes>,
    whole_before_tenants: Option<Bytes>,
    changes: VecDeque<EncodedChange>,
    changes_bytes: usize,
    /// Limits by tenant.
    quotas: HashMap<String, Quota>,
}

fn quotas(config: &ConfigDocument) -> HashMap<String, Quota> {
    let limit = |tenant: &Tenant| Quota { rate_per_s: tenant.rate_per_s, burst: tenant.burst_size };
    config.config().tenant_table.iter().map(|tenant| (tenant.name.clone(), limit(tenant))).collect()
}

fn seal(msg: &Message) -> Option<Bytes> {
    frame::encode(Kind::Notification, 0, msg).ok().map(Bytes::from)
}

fn encode(change: &ConfigUpdate, layout: Layout) -> Option<Bytes> {
    seal(&match layout {
        Layout::Current => Message::TenantConfigUpdate(Box::new(change.encode())),
        Layout::BeforeTenants => Message::ConfigUpdate(Box::new(legacy_format::encode(change))),
    })
}

impl EncodedChange {
    fn new(old: &ConfigDocument, new: &ConfigDocument) -> Option<EncodedChange> {
        let frame = encode(&ConfigUpdate::between(old.config(), new.config()), Layout::Current)?;
        let for_all = legacy_format::can_encode(new.config());
        Some(EncodedChange { from: old.revision(), for_all, frame, before_tenants: None })
    }

    fn bytes(&self) -> usize {
        self.frame.len() + self.before_tenants.as_ref().map_or(0, Bytes::len)
    }

    /// The frame in the layout before tenants, which routers of earlier versions read.
    fn older_frame(&mut self) -> Option<Bytes> {
        if self.before_tenants.is_none() {
            let Ok(Message::TenantConfigUpdate(packed)) = frame::decode_body(&self.frame[HEADER_BYTES..]) else {
                return None;
            };
            self.before_tenants = encode(&ConfigUpdate::decode(&packed)?, Layout::BeforeTenants);
        }
        self.before_tenants.clone()
    }
}

impl ConfigHistory {
    /// The revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.revision())
    }

    /// Does the configuration in force have tenants?
    pub fn has_tenants(&self) -> bool {
        self.current.as_ref().is_some_and(|current| !current.config().tenant_table.is_empty())
    }

    /// A tenant's limit in the configuration in force; its rate is 0 where it has none.
    pub fn tenant_quota(&self, name: &str) -> Option<Quota> {
        self.quotas.get(name).copied()
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<&Arc<ConfigDocument>> {
        self.current.as_ref()
    }

    /// A newer configuration is in force. The one in force already may come again, maybe with other bytes around it; one
    /// that is not newer changes nothing, and is told.
    pub fn advance(&mut self, config: Arc<ConfigDocument>) -> Result<(), NotNewer> {
        let Some(old) = self.current.clone() else {
            self.quotas = quotas(&config);
            self.current = Some(config);
            return Ok(());
        };
        if config.revision() == old.revision() && config.text() == old.text() {
            return Ok(());
        }
        if config.revision() <= old.revision() {
            return Err(NotNewer { held: old.revision(), found: config.revision() });
        }
        match EncodedChange::new(&old, &config) {
            Some(change) => self.keep(change),
            None => {
                self.changes.clear();
                self.changes_bytes = 0;
            }
        }
        self.quotas = quotas(&config);
        (self.current, self.whole, self.whole_before_tenants) = (Some(config), None, None);
        Ok(())
    }

    fn keep(&mut self, change: EncodedChange) {
        self.changes_bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MOST_CHANGES || self.changes_bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.changes_bytes -= oldest.bytes();
        }
    }

    /// May the configuration in force be told to a router that reads messages of this version? One that knows no tenants
    /// would serve without keys.
    pub fn can_be_told(&self, reads: u64) -> bool {
        let current = self.current.as_ref();
        Layout::of(reads) == Layout::Current
            || current.is_none_or(|current| legacy_format::can_encode(current.config()))
    }

    /// Revision and text for a router of the first version that has the revision `has`, if that is older.
    pub fn text_after(&self, has: u64) -> Option<(u64, Vec<u8>)> {
        let newer = self.current.as_ref().filter(|current| current.revision() > has && self.can_be_told(1));
        newer.map(|current| (current.revision(), current.text().as_bytes().to_vec()))
    }

    /// What brings one that has the revision `has` up to date: the changes from there, or the whole where
    /// there are none or they come to more.
    pub fn frames(&mut self, has: u64, layout: Layout) -> Vec<Bytes> {
        if has >= self.revision() {
            return Vec::new();
        }
        let changes = self.changes_from(has, layout);
        // One change is as good as always the least: the whole need not be made to see it.
        if changes.len() == 1 {
            return changes;
        }
        let whole = self.whole(layout);
        let size: usize = changes.iter().map(Bytes::len).sum();
        match whole {
            Some(whole) if changes.is_empty() || size >= whole.len() => vec![whole],
            _ => changes,
        }
    }

    fn whole(&mut self, layout: Layout) -> Option<Bytes> {
        let kept = match layout {
            Layout::Current => &mut self.whole,
            Layout::BeforeTenants => &mut self.whole_before_tenants,
        };
        if kept.is_none() {
            *kept = self.current.as_ref().and_then(|current| encode(&ConfigUpdate::full(current.config()), layout));
        }
        kept.clone()
    }

    /// The chain from a revision on; empty where that revision is not known, or a part can't be told in this layout.
    fn changes_from(&mut self, has: u64, layout: Layout) -> Vec<Bytes> {
        let Some(first) = self.changes.iter().position(|change| change.from == has) else { return Vec::new() };
        let known = self.changes.iter_mut().skip(first);
        if layout == Layout::Current {
            return known.map(|change| change.frame.clone()).collect();
        }
        let frames = known.map(|change| change.for_all.then(|| change.older_frame()).flatten()).collect();
        self.changes_bytes = self.changes.iter().map(EncodedChange::bytes).sum();
        Option::unwrap_or_default(frames)
    }

    /// Sends what a follower lacks, in the layout for the version of messages that it reads. `has` rises only once all of
    /// it was taken by `send`; false: some was not, or it may not be told to this follower.
    pub fn send_missing(&mut self, reads: u64, has: &mut u64, mut send: impl FnMut(Bytes) -> bool) -> bool {
        if !self.can_be_told(reads) {
            return false;
        }
        for frame in self.frames(*has, Layout::of(reads)) {
            if !send(frame) {
                return false;
            }
        }
        *has = self.revision().max(*has);
        true
    }
}

#[cfg(test)]
#[path = "history_tests.rs"]
mod tests;
