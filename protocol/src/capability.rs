//! What a daemon tells of itself beside the versions of its engine lists: which messages it reads, and that it
//! is about to end. Daemons that know nothing of an entry pass it over.

/// The newest version of these messages. Daemons tell it beside the versions of their sheets, as the turn
/// of the zone without a name, which no sheet has: those that know nothing of it pass it over.
pub const PROTOCOL_VERSION: u64 = 5;

/// Controllers from this version on count joint quorums while the core changes.
pub const JOINT_QUORUMS: u64 = 3;
/// Controllers from this version on take orders that others relay, and changes in place of whole entries.
pub const RELAYED_ORDERS: u64 = 3;
/// Controllers from this version on read bodies of the configuration with cryptographic digests, and make a told change of
/// named items to the letter as its committer did.
pub const DIGESTED_BODIES: u64 = 4;
/// Controllers from this version on take `EvacuateFrom`.
pub const VERSIONED_EVACUATIONS: u64 = 4;
/// Routers from this version on take `SubscriptionRenewed` as the answer to `SubscriptionRenewal`.
pub const CONFIRMED_UPDATES: u64 = 4;
/// Routers from this version on know tenants and their keys.
pub const TENANTS: u64 = 4;

/// Daemons from this version on know tenants' limits, and hold or ask for tokens of them.
pub const QUOTAS: u64 = 5;

/// Daemons from this version on know rollouts of versions of services.
pub const VERSION_ROLLOUTS: u64 = 5;

/// Not a zone: told beside the versions of zones.
pub fn is_hidden_key(name: &str) -> bool {
    name.is_empty() || name.starts_with('\0')
}

/// The name under which the version of a zone's weight versions, or of a rule, is told.
pub fn hidden_key(name: &str) -> String {
    format!("\0{name}")
}

/// Told by a controller whose process is about to end.
pub fn shutting_down_marker() -> (String, u64, u64) {
    (hidden_key(LEAVING), 1, 0)
}

/// Did the teller of these versions say that its process is about to end?
pub fn is_shutting_down(versions: &[(String, u64, u64)]) -> bool {
    versions.iter().any(|item| item.0 == hidden_key(LEAVING))
}

const LEAVING: &str = "leaving";

pub fn own_protocol_version() -> (String, u64, u64) {
    (String::new(), PROTOCOL_VERSION, 0)
}

/// The newest version that the teller of these versions reads.
pub fn protocol_version_of(versions: &[(String, u64, u64)]) -> u64 {
    versions.iter().find(|item| item.0.is_empty()).map_or(1, |item| item.1)
}
