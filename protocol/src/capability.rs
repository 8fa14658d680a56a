//! Capabilities that a daemon announces along with the versions of its endpoint lists: the protocol version that it
//! supports, and whether it is shutting down. Daemons ignore entries that they do not know.

use crate::hidden_key::HiddenKey;
use crate::version_entry::VersionEntry;

/// The newest protocol version that this program supports. Daemons send it as the term of
/// [`HiddenKey::ProtocolVersion`].
pub const PROTOCOL_VERSION: u64 = 9;

/// The protocol version of daemons that announce none.
const FIRST_PROTOCOL_VERSION: u64 = 1;

/// First version whose controllers require joint quorums during a membership change.
pub const JOINT_QUORUMS: u64 = 3;
/// First version whose controllers accept relayed operators' requests, and deltas in place of whole entries.
pub const RELAYED_OPERATOR_REQUESTS: u64 = 3;
/// First version whose controllers accept configuration bodies with cryptographic digests, and apply a patch to the
/// same text as the controller that committed it.
pub const DIGESTED_BODIES: u64 = 4;
/// First version whose controllers accept `EvacuateFrom`.
pub const VERSIONED_EVACUATIONS: u64 = 4;
/// First version whose routers accept `SubscriptionRenewed` as the response to `SubscriptionRenewal`.
pub const CONFIRMED_UPDATES: u64 = 4;
/// First version whose routers support tenants and their API keys.
pub const TENANTS: u64 = 4;

/// First version whose daemons support tenants' rate limits: they own shards, or request tokens from the shards'
/// owners.
pub const QUOTAS: u64 = 5;

/// First version whose daemons support rollouts of service versions.
pub const VERSION_ROLLOUTS: u64 = 5;

/// First version whose daemons accept endpoint lists as `EndpointUpdate`.
pub const ENDPOINT_UPDATES: u64 = 6;

/// First version whose controllers accept engine loads as `EngineUsage`.
pub const ENGINE_USAGE: u64 = 6;

/// First version whose daemons exchange rollout samples as `EngineSamples`.
pub const ENGINE_SAMPLES: u64 = 7;

/// First version whose controllers keep tallies and accept `TallySync`.
pub const TALLIES: u64 = 8;

/// First version whose daemons count the requests that begin, and collect these counts.
pub const METERING: u64 = 8;

/// First version whose controllers accept packed tally entries as `PackedTallySync`.
pub const PACKED_TALLIES: u64 = 9;

/// Returns whether a name in a list of versions is a hidden key instead of a zone.
pub fn is_hidden_key(name: &str) -> bool {
    HiddenKey::parse(name).is_some()
}

/// Returns the entry by which a controller announces that its process is about to exit.
pub fn shutting_down_marker() -> VersionEntry {
    VersionEntry::new(HiddenKey::ShuttingDown, 1, 0)
}

/// Returns whether the sender of these versions announced that its process is about to exit.
pub fn is_shutting_down(versions: &[VersionEntry]) -> bool {
    versions.iter().any(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::ShuttingDown))
}

/// Returns the entry that announces [`PROTOCOL_VERSION`].
pub fn own_protocol_version() -> VersionEntry {
    VersionEntry::new(HiddenKey::ProtocolVersion, PROTOCOL_VERSION, 0)
}

/// Returns the newest protocol version that the sender of these versions supports.
pub fn protocol_version_of(versions: &[VersionEntry]) -> u64 {
    let entry = versions.iter().find(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::ProtocolVersion));
    entry.map_or(FIRST_PROTOCOL_VERSION, |entry| entry.term)
}
