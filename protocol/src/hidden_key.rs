//! Keys of what daemons exchange beside the versions of zones' endpoint lists.
//!
//! Lists of versions are open: an entry whose name is empty or begins with a NUL character is no zone, and a daemon that
//! does not know it ignores it. So later versions of the protocol add entries without a new message. This module is the
//! one place that prints and parses such names; the texts are part of the protocol.

use std::fmt;

use crate::register_keys::{STALENESS_LIMIT_PREFIX, VERSION_ROLLOUT_PREFIX};

/// What comes before the text of every hidden key but the protocol version's, whose name is empty.
const PREFIX: char = '\0';

const SHUTTING_DOWN: &str = "leaving";
const SHARD_OWNERS: &str = "shard holders";
const CONFIRMED: &str = "sure";
const CONFIRMS: &str = "vouch ";
const PLATFORM_UNREACHABLE: &str = "platform unreachable";
const CANDIDATES: &str = "candidates ";
/// How the keys of registers begin that daemons name by hidden keys.
const REGISTERS: [&str; 2] = [STALENESS_LIMIT_PREFIX, VERSION_ROLLOUT_PREFIX];

/// The name of an item that is not a zone's endpoint list. [`fmt::Display`] prints the name as it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HiddenKey<'a> {
    /// The newest protocol version that the sender reads, as the entry's term.
    ProtocolVersion,
    /// The sender's process is about to end.
    ShuttingDown,
    /// Which list of shard owners the sender holds, as the entry's term.
    ShardOwners,
    /// Whether the sender's state is confirmed at a quorum: the entry's term is 1 if so.
    Confirmed,
    /// The sender confirms the controller with this address: it hears that it is alive and confirmed.
    Confirms(&'a str),
    /// The sender does not reach the platform.
    PlatformUnreachable,
    /// The endpoint list of a zone's engines that run a version which is being rolled out.
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
        if REGISTERS.iter().any(|prefix| text.starts_with(prefix)) {
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
