//! Hidden keys: the names of items other than zones' endpoint lists, whose versions daemons exchange in the same lists.
//!
//! Lists of versions are extensible: an entry whose name is empty or begins with a NUL character does not name a zone,
//! and a daemon ignores one that it does not know. Later protocol versions can thus add entries without a new message.
//! Only this module formats and parses such names; the texts are part of the protocol.

use std::fmt;

use crate::register_keys::{STALENESS_LIMIT_PREFIX, VERSION_ROLLOUT_PREFIX};

/// Prefix of every hidden key except the protocol version's, whose name is empty.
const PREFIX: char = '\0';

const SHUTTING_DOWN: &str = "leaving";
const SHARD_OWNERS: &str = "shard holders";
const CONFIRMED: &str = "sure";
const CONFIRMS: &str = "vouch ";
const PLATFORM_UNREACHABLE: &str = "platform unreachable";
const CANDIDATES: &str = "candidates ";
/// Prefixes of the register keys that also serve as hidden keys.
const REGISTER_PREFIXES: [&str; 2] = [STALENESS_LIMIT_PREFIX, VERSION_ROLLOUT_PREFIX];

/// The name of an item that is not a zone's endpoint list. [`fmt::Display`] writes the name as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HiddenKey<'a> {
    /// The newest protocol version that the sender supports, as the entry's term.
    ProtocolVersion,
    /// The sender's process is about to exit.
    ShuttingDown,
    /// The fingerprint of the sender's list of shard owners, as the entry's term.
    ShardOwners,
    /// Whether a quorum confirmed the sender's state: the entry's term is 1 if so.
    Confirmed,
    /// The sender attests that the controller with this address is alive and confirmed.
    Confirms(&'a str),
    /// The sender can't reach the platform.
    PlatformUnreachable,
    /// The endpoint list of this zone's candidates: engines that run a version being rolled out.
    Candidates(&'a str),
    /// The committed register with this key.
    Register(&'a str),
    /// The weight versions of this zone's engines.
    WeightVersions(&'a str),
}

impl<'a> HiddenKey<'a> {
    /// Returns the hidden key with this name, or `None` for the name of a zone.
    pub fn parse(name: &'a str) -> Option<HiddenKey<'a>> {
        if name.is_empty() {
            return Some(HiddenKey::ProtocolVersion);
        }
        let text = name.strip_prefix(PREFIX)?;
        Some(match text {
            SHUTTING_DOWN => HiddenKey::ShuttingDown,
            SHARD_OWNERS => HiddenKey::ShardOwners,
            CONFIRMED => HiddenKey::Confirmed,
            PLATFORM_UNREACHABLE => HiddenKey::PlatformUnreachable,
            _ => HiddenKey::parse_with_argument(text),
        })
    }

    fn parse_with_argument(text: &'a str) -> HiddenKey<'a> {
        if let Some(ip) = text.strip_prefix(CONFIRMS) {
            return HiddenKey::Confirms(ip);
        }
        if let Some(zone) = text.strip_prefix(CANDIDATES) {
            return HiddenKey::Candidates(zone);
        }
        if REGISTER_PREFIXES.iter().any(|prefix| text.starts_with(prefix)) {
            return HiddenKey::Register(text);
        }
        HiddenKey::WeightVersions(text)
    }
}

impl fmt::Display for HiddenKey<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HiddenKey::ProtocolVersion => Ok(()),
            HiddenKey::ShuttingDown => write!(formatter, "{PREFIX}{SHUTTING_DOWN}"),
            HiddenKey::ShardOwners => write!(formatter, "{PREFIX}{SHARD_OWNERS}"),
            HiddenKey::Confirmed => write!(formatter, "{PREFIX}{CONFIRMED}"),
            HiddenKey::Confirms(ip) => write!(formatter, "{PREFIX}{CONFIRMS}{ip}"),
            HiddenKey::PlatformUnreachable => write!(formatter, "{PREFIX}{PLATFORM_UNREACHABLE}"),
            HiddenKey::Candidates(zone) => write!(formatter, "{PREFIX}{CANDIDATES}{zone}"),
            HiddenKey::Register(key) => write!(formatter, "{PREFIX}{key}"),
            HiddenKey::WeightVersions(zone) => write!(formatter, "{PREFIX}{zone}"),
        }
    }
}

impl From<HiddenKey<'_>> for String {
    fn from(key: HiddenKey) -> String {
        key.to_string()
    }
}

#[cfg(test)]
#[path = "hidden_key_tests.rs"]
mod tests;
