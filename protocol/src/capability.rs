//! What a daemon says about itself beside the versions of its endpoint lists: which protocol version it reads, and that
//! it is about to shut down. Daemons that do not know an entry ignore it.

use crate::hidden_key::HiddenKey;
use crate::version_entry::VersionEntry;

/// The newest version of the protocol that this program reads. Daemons send it as the term of
/// [`HiddenKey::ProtocolVersion`].
pub const PROTOCOL_VERSION: u64 = 9;

/// The version of daemons that name none.
const FIRST_PROTOCOL_VERSION: u64 = 1;

/// Controllers from this version on require joint quorums while the members change.
pub const JOINT_QUORUMS: u64 = 3;
/// Controllers from this version on accept operators' requests that others relay, and deltas in place of whole entries.
pub const RELAYED_ORDERS: u64 = 3;
/// Controllers from this version on read bodies of the configuration with cryptographic digests, and apply a patch to the
/// same text as the controller that committed it.
pub const DIGESTED_BODIES: u64 = 4;
/// Controllers from this version on accept `EvacuateFrom`.
pub const VERSIONED_EVACUATIONS: u64 = 4;
/// Routers from this version on accept `SubscriptionRenewed` as the response to `SubscriptionRenewal`.
pub const CONFIRMED_UPDATES: u64 = 4;
/// Routers from this version on know tenants and their keys.
pub const TENANTS: u64 = 4;

/// Daemons from this version on know tenants' limits, and own shards or ask for tokens of them.
pub const QUOTAS: u64 = 5;

/// Daemons from this version on know rollouts of versions of services.
pub const VERSION_ROLLOUTS: u64 = 5;

/// Daemons from this version on take endpoint lists as `EndpointUpdate`.
pub const ENDPOINT_UPDATES: u64 = 6;

/// Controllers from this version on take loads of engines as `EngineUsage`.
pub const ENGINE_USAGE: u64 = 6;

/// Daemons from this version on take and give samples of rollouts as `EngineSamples`.
pub const ENGINE_SAMPLES: u64 = 7;

/// Controllers from this version on keep tallies and take `TallySync`.
pub const TALLIES: u64 = 8;

/// Daemons from this version on count requests that begin, and collect these counts.
pub const METERING: u64 = 8;

/// Controllers from this version on take packed entries of tallies, as `PackedTallySync`.
pub const PACKED_TALLIES: u64 = 9;

/// Returns whether a name in a list of versions is no zone's.
pub fn is_hidden_key(name: &str) -> bool {
    HiddenKey::parse(name).is_some()
}

/// Returns the entry of a controller whose process is about to end.
pub fn shutting_down_marker() -> VersionEntry {
    VersionEntry::new(HiddenKey::ShuttingDown, 1, 0)
}

/// Returns whether the sender of these versions said that its process is about to end.
pub fn is_shutting_down(versions: &[VersionEntry]) -> bool {
    versions.iter().any(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::ShuttingDown))
}

/// Returns the entry with the newest protocol version that this program reads.
pub fn own_protocol_version() -> VersionEntry {
    VersionEntry::new(HiddenKey::ProtocolVersion, PROTOCOL_VERSION, 0)
}

/// Returns the newest protocol version that the sender of these versions reads.
pub fn protocol_version_of(versions: &[VersionEntry]) -> u64 {
    let entry = versions.iter().find(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::ProtocolVersion));
    entry.map_or(FIRST_PROTOCOL_VERSION, |entry| entry.term)
}
