//! Messages between our own daemons. Every variant holds a box, so a new one never moves the others.

use crate::operator_request::{CommittedDelta, OperatorRequest, OperatorResponse};
use crate::quota::{ShardOwner, ShardUsage, TokenRequest, TokenResponse};
use crate::renewal::SubscriptionRenewed;
use crate::version_rollout::{Samples, VersionRollout};

pub use crate::capability::*;
pub use crate::prefix_lookup::{EngineLoad, PrefixLookup, PrefixLookupResponse, PrefixRegistration};
pub use crate::staleness_limit::{StalenessLimit, WeightVersions, ROLLOUT};

/// A ledger position: rises with each take-over (`turn`, ties by `seat`) and each change (`step`).
/// Invariant: one owner acts under one (`turn`, `seat`); `step` restarts at 0 with each of them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct ProposalNumber {
    pub term: u64,
    pub replica_id: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    pub proposal_number: ProposalNumber,
    pub index: u64,
    pub body: Vec<u8>,
}

/// Where an entry stands in the history of its key. Positions order by proposal number, then by index.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Position {
    /// The proposal number under which the owner of the key wrote the entry.
    pub proposal_number: ProposalNumber,
    /// Counts the changes that the owner made under that number.
    pub index: u64,
}

/// A key and the position of the entry that an acceptor holds for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct KeyPosition {
    /// The key of the register.
    pub key: String,
    /// The position of its accepted entry.
    pub position: Position,
}

impl Entry {
    /// Returns where this entry stands in the history of its key.
    pub fn position(&self) -> Position {
        Position { proposal_number: self.proposal_number, index: self.index }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Member {
    pub ip: String,
    pub zone: String,
}

/// The core. Invariants: `version` rises by one a change; a change is made only from a settled core;
/// until it is settled, `prev` are the members before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct CoreMembership {
    pub version: u64,
    pub members: Vec<Member>,
    pub previous_members: Vec<Member>,
    pub stable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConsensusOperation {
    Prepare {
        key: String,
        proposal_number: ProposalNumber,
    },
    Accept {
        key: String,
        entry: Entry,
    },
    /// The places of all keys, without their bodies.
    Positions,
    /// All that a voter holds: for a voter that lost its disk.
    Snapshot,
    Fetch {
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ConsensusRequest {
    /// A core is only ever sent once it is committed.
    pub membership: CoreMembership,
    pub operation: ConsensusOperation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RegisterState {
    pub key: String,
    pub prepared: ProposalNumber,
    pub entry: Option<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ConsensusResponse {
    Prepared {
        entry: Option<Entry>,
    },
    Accepted,
    Rejected {
        prepared: ProposalNumber,
    },
    Positions {
        positions: Vec<KeyPosition>,
    },
    Snapshot {
        registers: Vec<RegisterState>,
    },
    Fetched {
        entry: Option<Entry>,
    },
    /// The asker's core is older than this one.
    NewerMembership {
        membership: CoreMembership,
    },
    /// Not a voter, or one that must first read the others.
    NonVoting,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Gossip {
    pub ip: String,
    pub zone: String,
    pub incarnation: u64,
    /// It may be made a member of the core.
    pub eligible: bool,
    pub membership: CoreMembership,
    pub peers: Vec<String>,
    /// Routers that hold a lease here.
    pub router_count: u32,
    /// Requests of those routers under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Engines about to change their part.
    pub reassigning: Vec<String>,
    /// Where clients reach the routers that hold a lease here.
    pub frontend_addresses: Vec<String>,
    /// The versions of the engine lists held: who has newer ones sends them.
    pub list_versions: Vec<(String, u64, u64)>,
    /// Turns of lists that routers told of.
    pub observed_list_versions: Vec<(String, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub addr: String,
    pub zone: String,
    pub phase: String,
    pub model: String,
    pub slots: u32,
    pub up: bool,
    pub cold_ms: u32,
}

/// The engines of one zone as one poller saw them. Invariant: (`turn`, `count`) never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct EndpointList {
    pub zone: String,
    pub term: u64,
    pub sequence: u64,
    pub engines: Vec<Engine>,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct SubscriptionRenewal {
    pub node: String,
    pub zone: String,
    pub incarnation: u64,
    pub config_revision: u64,
    pub evacuation_versions: Vec<(String, u64)>,
    pub list_versions: Vec<(String, u64, u64)>,
    /// Own requests under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Where clients reach it.
    pub frontend_address: String,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StateUpdate {
    /// The controller confirmed its versions at a majority a moment ago.
    pub confirmed: bool,
    pub config: Option<(u64, Vec<u8>)>,
    /// Area, version, whether it is being evacuated.
    pub evacuations: Vec<(String, u64, bool)>,
    pub endpoint_lists: Vec<EndpointList>,
    /// How many routers hold a lease: shared bounds are cut into as many slices.
    pub router_count: u32,
    pub peers: Vec<String>,
    /// Engines about to change their part: nothing new is sent to them.
    pub reassigning: Vec<String>,
    /// The holder of the catalog and its epoch.
    pub catalog: (u64, String),
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Record {
    pub key: u64,
    pub engine: String,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Message {
    ConsensusRequest(Box<ConsensusRequest>),
    ConsensusResponse(Box<ConsensusResponse>),
    Gossip(Box<Gossip>),
    EndpointList(Box<EndpointList>),
    SubscriptionRenewal(Box<SubscriptionRenewal>),
    StateUpdate(Box<StateUpdate>),
    /// The keys of the missing suffix, shortest prefix first.
    OwnerQuery(Box<(u64, Vec<u64>)>),
    /// The catalog's epoch and, for each key asked, the engines that hold it.
    Owners(Box<(u64, Vec<Vec<String>>)>),
    RegisterOwners(Box<(u64, Vec<Record>)>),
    /// The barrier: answered once all before it was taken, with the number dropped.
    Flush(Box<(u64, u32)>),
    Flushed(Box<(u64, u32)>),
    /// Committed: a key and what it now holds.
    Committed(Box<(String, Entry)>),
    /// An engine gave a router no sign of life; true: already passed on by a controller.
    SuspectEngine(Box<(String, bool)>),
    Rejected(Box<u16>),
    /// A configuration, whole or as a change: the bytes of `crate::change::Change`. Since version 2.
    ConfigUpdate(Box<Vec<u8>>),
    /// As `Query`, and how pressed some engines are. Since version 2.
    PrefixLookup(Box<PrefixLookup>),
    PrefixLookupResponse(Box<PrefixLookupResponse>),
    /// As `Register`, and what these engines told of their pressure. Since version 2.
    PrefixRegistration(Box<PrefixRegistration>),
    /// A rule on stale weights, newer than what the router told. Since version 2.
    StalenessLimit(Box<StalenessLimit>),
    /// The weight versions of a zone's engines as its poller saw them. Since version 2.
    WeightVersions(Box<WeightVersions>),
    /// Have all routers that hold a lease at this controller confirmed a rule? Its key and version. Since version 2.
    CountConfirmations(Box<(String, u64)>),
    /// Routers that hold a lease, and those of them that confirmed. Since version 2.
    ConfirmationCount(Box<(u32, u32)>),
    /// An operator's order, to the controller that is home to its key. Since version 3.
    OperatorRequest(Box<OperatorRequest>),
    OperatorResponse(Box<OperatorResponse>),
    /// As `Learn`, for those that hold the entry before. Since version 3.
    CommittedDelta(Box<CommittedDelta>),
    /// The answer to `Follow` for routers that read it. Since version 4.
    SubscriptionRenewed(Box<SubscriptionRenewed>),
    /// A configuration with tenants, whole or as a change: the bytes of `crate::change::Change`. Since version 4.
    TenantConfigUpdate(Box<Vec<u8>>),
    /// One token of a tenant's limit. Since version 5.
    TokenRequest(Box<TokenRequest>),
    TokenResponse(Box<TokenResponse>),
    /// The controllers that may hold shards of tenants' limits, as a controller sees them. Since version 5.
    ShardOwners(Box<Vec<ShardOwner>>),
    /// What have the shards held there given? Since version 5.
    UsageRequest(Box<u16>),
    UsageResponse(Box<Vec<ShardUsage>>),
    /// A rollout of a service, newer than what the router told. Since version 5.
    VersionRollout(Box<VersionRollout>),
    /// What routers saw of a rollout. Since version 5.
    Samples(Box<Samples>),
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
