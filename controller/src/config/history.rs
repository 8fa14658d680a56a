//! The current configuration and its latest changes, encoded as frames for routers. A change is encoded once and sent
//! to many routers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use protocol::config::{ConfigDocument, Tenant};
use protocol::config_update::{legacy_format, ConfigUpdate};
use protocol::frame::{self, Kind, HEADER_BYTES};
use protocol::message::{Message, TENANTS};
use quota::Quota;

/// The maximum number of changes kept for routers that are behind.
const MAX_CHANGES: usize = 64;
/// The maximum total size of these changes, in bytes.
const MAX_CHANGES_BYTES: usize = 1 << 20;
/// The protocol version of routers that receive the configuration as text.
const TEXT_PROTOCOL_VERSION: u64 = 1;

/// The layouts of encoded changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeLayout {
    /// For routers without support for tenants.
    BeforeTenants,
    /// The layout of this protocol version.
    Current,
}

impl ChangeLayout {
    /// Returns the layout for a router of this protocol version.
    pub fn of(protocol_version: u64) -> ChangeLayout {
        match protocol_version >= TENANTS {
            true => ChangeLayout::Current,
            false => ChangeLayout::BeforeTenants,
        }
    }
}

/// A change from the revision `from` to the next one known to this controller.
struct EncodedChange {
    from: u64,
    /// Whether the configuration after the change may be sent to routers without support for tenants.
    is_valid_before_tenants: bool,
    frame: Bytes,
    /// The frame in the layout before tenants, encoded on first use.
    before_tenants: Option<Bytes>,
}

/// The error for a configuration that is not newer than the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionNotNewer {
    /// The current revision.
    pub current: u64,
    /// The revision of the rejected configuration.
    pub found: u64,
}

/// The current configuration and the latest changes that led to it.
///
/// Invariants: the revision of `current` never decreases, and its text never changes under the same revision; `changes`
/// is a chain in which each change starts at the revision where the one before it ends, and the last ends at `current`;
/// `full_frame` and `full_frame_before_tenants` encode `current`. `changes` is bounded by count and by bytes.
#[derive(Default)]
pub struct ConfigHistory {
    current: Option<Arc<ConfigDocument>>,
    full_frame: Option<Bytes>,
    full_frame_before_tenants: Option<Bytes>,
    changes: VecDeque<EncodedChange>,
    changes_bytes: usize,
    /// Rate limits by tenant.
    quotas: HashMap<String, Quota>,
}

fn quotas(config: &ConfigDocument) -> HashMap<String, Quota> {
    let quota = |tenant: &Tenant| Quota { rate_per_s: tenant.rate_per_s, burst: tenant.burst_size };
    config.config().tenant_table.iter().map(|tenant| (tenant.name.clone(), quota(tenant))).collect()
}

fn encode_frame(message: &Message) -> Option<Bytes> {
    frame::encode(Kind::Notification, 0, message).ok().map(Bytes::from)
}

fn encode_change(change: &ConfigUpdate, layout: ChangeLayout) -> Option<Bytes> {
    encode_frame(&match layout {
        ChangeLayout::Current => Message::TenantConfigUpdate(Box::new(change.encode())),
        ChangeLayout::BeforeTenants => Message::ConfigUpdate(Box::new(legacy_format::encode(change))),
    })
}

impl EncodedChange {
    fn new(old: &ConfigDocument, new: &ConfigDocument) -> Option<EncodedChange> {
        let frame = encode_change(&ConfigUpdate::between(old.config(), new.config()), ChangeLayout::Current)?;
        let is_valid_before_tenants = legacy_format::can_encode(new.config());
        Some(EncodedChange { from: old.revision(), is_valid_before_tenants, frame, before_tenants: None })
    }

    fn bytes(&self) -> usize {
        self.frame.len() + self.before_tenants.as_ref().map_or(0, Bytes::len)
    }

    /// Returns the frame in the layout before tenants, for routers of earlier versions. `None` if it cannot be encoded.
    fn frame_before_tenants(&mut self) -> Option<Bytes> {
        if self.before_tenants.is_none() {
            let Ok(Message::TenantConfigUpdate(encoded)) = frame::decode_body(&self.frame[HEADER_BYTES..]) else {
                return None;
            };
            self.before_tenants = encode_change(&ConfigUpdate::decode(&encoded)?, ChangeLayout::BeforeTenants);
        }
        self.before_tenants.clone()
    }
}

impl ConfigHistory {
    /// Returns the current revision; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.revision())
    }

    /// Returns whether the current configuration has tenants.
    pub fn has_tenants(&self) -> bool {
        self.current.as_ref().is_some_and(|current| !current.config().tenant_table.is_empty())
    }

    /// Returns the rate limit of a tenant in the current configuration; a rate of 0 means no limit.
    pub fn tenant_quota(&self, name: &str) -> Option<Quota> {
        self.quotas.get(name).copied()
    }

    /// Returns the current configuration.
    pub fn current(&self) -> Option<&Arc<ConfigDocument>> {
        self.current.as_ref()
    }

    /// Replaces the current configuration by a newer one. The current one again is accepted without effect.
    ///
    /// # Errors
    ///
    /// Returns both revisions if the configuration is not newer; the current one stays then.
    pub fn advance(&mut self, config: Arc<ConfigDocument>) -> Result<(), RevisionNotNewer> {
        let Some(old) = self.current.clone() else {
            self.quotas = quotas(&config);
            self.current = Some(config);
            return Ok(());
        };
        if config.revision() == old.revision() && config.text() == old.text() {
            return Ok(());
        }
        if config.revision() <= old.revision() {
            return Err(RevisionNotNewer { current: old.revision(), found: config.revision() });
        }
        match EncodedChange::new(&old, &config) {
            Some(change) => self.push_change(change),
            None => self.clear_changes(),
        }
        self.quotas = quotas(&config);
        self.current = Some(config);
        self.full_frame = None;
        self.full_frame_before_tenants = None;
        Ok(())
    }

    fn push_change(&mut self, change: EncodedChange) {
        self.changes_bytes += change.bytes();
        self.changes.push_back(change);
        while self.changes.len() > MAX_CHANGES || self.changes_bytes > MAX_CHANGES_BYTES {
            let Some(oldest) = self.changes.pop_front() else { return };
            self.changes_bytes -= oldest.bytes();
        }
    }

    fn clear_changes(&mut self) {
        self.changes.clear();
        self.changes_bytes = 0;
    }

    /// Returns whether the current configuration may be sent to a router of this protocol version. A router without
    /// support for tenants would serve requests without API keys.
    pub fn can_send_to(&self, protocol_version: u64) -> bool {
        let current = self.current.as_ref();
        ChangeLayout::of(protocol_version) == ChangeLayout::Current
            || current.is_none_or(|current| legacy_format::can_encode(current.config()))
    }

    /// Returns the current revision and text for a router of the first protocol version, if `known`, the revision that
    /// it has, is older.
    pub fn text_newer_than(&self, known: u64) -> Option<(u64, Vec<u8>)> {
        let is_newer =
            |current: &&Arc<ConfigDocument>| current.revision() > known && self.can_send_to(TEXT_PROTOCOL_VERSION);
        let newer = self.current.as_ref().filter(is_newer);
        newer.map(|current| (current.revision(), current.text().as_bytes().to_vec()))
    }

    /// Returns the frames that bring a router from the revision `known` up to date: the changes since then, or the full
    /// configuration if there is no such chain or it is not smaller.
    pub fn frames_since(&mut self, known: u64, layout: ChangeLayout) -> Vec<Bytes> {
        if known >= self.revision() {
            return Vec::new();
        }
        let changes = self.changes_since(known, layout);
        // A single change is almost always smaller, so the full frame is not encoded just to compare sizes.
        if changes.len() == 1 {
            return changes;
        }
        let full = self.full_frame(layout);
        let size: usize = changes.iter().map(Bytes::len).sum();
        match full {
            Some(full) if changes.is_empty() || size >= full.len() => vec![full],
            _ => changes,
        }
    }

    fn full_frame(&mut self, layout: ChangeLayout) -> Option<Bytes> {
        let cached = match layout {
            ChangeLayout::Current => &mut self.full_frame,
            ChangeLayout::BeforeTenants => &mut self.full_frame_before_tenants,
        };
        if cached.is_none() {
            *cached =
                self.current.as_ref().and_then(|current| encode_change(&ConfigUpdate::full(current.config()), layout));
        }
        cached.clone()
    }

    /// Returns the chain of changes from a revision on. Empty if that revision is unknown or one of the changes cannot
    /// be encoded in this layout.
    fn changes_since(&mut self, known: u64, layout: ChangeLayout) -> Vec<Bytes> {
        let Some(first) = self.changes.iter().position(|change| change.from == known) else { return Vec::new() };
        let changes = self.changes.iter_mut().skip(first);
        if layout == ChangeLayout::Current {
            return changes.map(|change| change.frame.clone()).collect();
        }
        let legacy_frame = |change: &mut EncodedChange| {
            change.is_valid_before_tenants.then(|| change.frame_before_tenants()).flatten()
        };
        let frames = changes.map(legacy_frame).collect();
        self.changes_bytes = self.changes.iter().map(EncodedChange::bytes).sum();
        Option::unwrap_or_default(frames)
    }

    /// Sends the frames that a router lacks, in the layout for its protocol version. Returns whether all were sent:
    /// `false` means that `send` failed for a frame, or that the configuration may not be sent to this router.
    ///
    /// `known`, the revision that the router has, is advanced only once `send` succeeded for all frames.
    pub fn send_missing(
        &mut self,
        protocol_version: u64,
        known: &mut u64,
        mut send: impl FnMut(Bytes) -> bool,
    ) -> bool {
        if !self.can_send_to(protocol_version) {
            return false;
        }
        for frame in self.frames_since(*known, ChangeLayout::of(protocol_version)) {
            if !send(frame) {
                return false;
            }
        }
        *known = self.revision().max(*known);
        true
    }
}

#[cfg(test)]
#[path = "history_tests.rs"]
mod tests;
