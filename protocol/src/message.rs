//! Messages between daemons. Every variant of [`Message`] holds a box, so that a new variant does not change the size
//! of the others.

mod catalog;
mod consensus;
mod endpoint_list;
mod endpoint_update;
mod engine_usage;
mod gossip;
mod subscription;

use prometheus_client::encoding::EncodeLabelValue;
use strum::{EnumDiscriminants, EnumIter, FromRepr};

use crate::metering::{MeteringQuery, MeteringRequest, MeteringTables, RouterCounts};
use crate::operator_request::{CommittedDelta, OperatorRequest, OperatorResponse};
use crate::quota::{ShardOwner, ShardUsage, TokenRequest, TokenResponse};
use crate::renewal::SubscriptionRenewed;
use crate::tally::{PackedTallySync, TallySync, TallySynced};
use crate::version_rollout::{Samples, VersionRollout};
use crate::version_samples::{EngineSamples, SampleRequest};

pub use crate::capability::*;
pub use crate::hidden_key::HiddenKey;
pub use crate::register_keys::STALENESS_LIMIT_PREFIX;
pub use crate::staleness_limit::{StalenessLimit, WeightVersions};
pub use crate::version_entry::{EngineWeights, EvacuationState, VersionEntry};
pub use catalog::{EngineLoad, PrefixLookup, PrefixLookupResponse, PrefixRegistration, Record};
pub use consensus::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, KeyPosition, Member, Position,
    ProposalNumber, RegisterState,
};
pub use endpoint_list::{EndpointList, Engine};
pub use endpoint_update::{ChangedEngines, EndpointUpdate, ListVersion};
pub use engine_usage::{EngineUsage, PhaseUsage, SampledUsage};
pub use gossip::Gossip;
pub use subscription::{StateUpdate, SubscriptionRenewal};

/// A message between daemons. Invariant: variants keep their order; later versions append theirs.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize, EnumDiscriminants)]
#[strum_discriminants(
    name(MessageKind),
    doc = "The kind of a [`Message`]. Names are label values of metrics.",
    repr(u8),
    derive(Hash, EncodeLabelValue, EnumIter, FromRepr)
)]
pub enum Message {
    /// A proposer's request to an acceptor.
    ConsensusRequest(Box<ConsensusRequest>),
    /// The acceptor's response.
    ConsensusResponse(Box<ConsensusResponse>),
    /// A heartbeat between controllers.
    Gossip(Box<Gossip>),
    /// The engines of a zone, from the controller that polled them.
    EndpointList(Box<EndpointList>),
    /// A router renews its lease.
    SubscriptionRenewal(Box<SubscriptionRenewal>),
    /// State that a router lacks.
    StateUpdate(Box<StateUpdate>),
    /// Asks the catalog which engines own prefixes: the catalog's epoch, and the keys, shortest prefix first.
    OwnerQuery(Box<(u64, Vec<u64>)>),
    /// The catalog's epoch and, for each requested key, the engines that hold it.
    Owners(Box<(u64, Vec<Vec<String>>)>),
    /// Registers owners of prefixes under the catalog's epoch.
    RegisterOwners(Box<(u64, Vec<Record>)>),
    /// A barrier for the catalog: its epoch, and the number of registrations sent before the barrier.
    Flush(Box<(u64, u32)>),
    /// All registrations before the barrier were processed: the epoch, and the number of lost ones.
    Flushed(Box<(u64, u32)>),
    /// A register's key and its committed entry.
    Committed(Box<(String, Entry)>),
    /// The id of an engine that did not respond to a router; true if a controller has already relayed this.
    SuspectEngine(Box<(String, bool)>),
    /// A request was rejected with this HTTP status.
    Rejected(Box<u16>),
    /// A configuration update in the format of [`legacy_format`](crate::config_update::legacy_format). Since version 2.
    ConfigUpdate(Box<Vec<u8>>),
    /// Like `OwnerQuery`, and also asks for the loads of some engines. Since version 2.
    PrefixLookup(Box<PrefixLookup>),
    /// The response to `PrefixLookup`. Since version 2.
    PrefixLookupResponse(Box<PrefixLookupResponse>),
    /// Like `RegisterOwners`, with the loads that these engines reported. Since version 2.
    PrefixRegistration(Box<PrefixRegistration>),
    /// A staleness limit that is newer than the router's. Since version 2.
    StalenessLimit(Box<StalenessLimit>),
    /// The weight versions of a zone's engines as its poller saw them. Since version 2.
    WeightVersions(Box<WeightVersions>),
    /// Asks a controller how many routers with a lease there confirmed a staleness limit: its key and version. Since
    /// version 2.
    CountConfirmations(Box<(String, u64)>),
    /// The number of routers with a lease, and how many of them confirmed. Since version 2.
    ConfirmationCount(Box<(u32, u32)>),
    /// An operator's request, relayed to the owner of its key. Since version 3.
    OperatorRequest(Box<OperatorRequest>),
    /// The response to `OperatorRequest`. Since version 3.
    OperatorResponse(Box<OperatorResponse>),
    /// Like `Committed`, for controllers that hold the previous entry. Since version 3.
    CommittedDelta(Box<CommittedDelta>),
    /// The response to `SubscriptionRenewal` for routers that support it. Since version 4.
    SubscriptionRenewed(Box<SubscriptionRenewed>),
    /// An encoded [`ConfigUpdate`](crate::config_update::ConfigUpdate), with tenants. Since version 4.
    TenantConfigUpdate(Box<Vec<u8>>),
    /// Asks for one token of a tenant's rate limit. Since version 5.
    TokenRequest(Box<TokenRequest>),
    /// The response to `TokenRequest`. Since version 5.
    TokenResponse(Box<TokenResponse>),
    /// The controllers that may own shards of tenants' rate limits, as one controller sees them. Since version 5.
    ShardOwners(Box<Vec<ShardOwner>>),
    /// Asks for the usage of the shards that a controller owns. Since version 5.
    UsageRequest(Box<u16>),
    /// The response to `UsageRequest`. Since version 5.
    UsageResponse(Box<Vec<ShardUsage>>),
    /// A version rollout that is newer than the router's. Since version 5.
    VersionRollout(Box<VersionRollout>),
    /// Routers' samples of a rollout. Since version 5.
    Samples(Box<Samples>),
    /// A zone's endpoint list, whole or as a delta. Since version 6.
    EndpointUpdate(Box<EndpointUpdate>),
    /// Engine loads, for the controller that balances prefill and decode. Since version 6.
    EngineUsage(Box<EngineUsage>),
    /// Asks a router for samples of a rollout by engine and load. Since version 7.
    SampleRequest(Box<SampleRequest>),
    /// Routers' samples of a rollout by engine and load. Since version 7.
    EngineSamples(Box<EngineSamples>),
    /// The log lengths of a tally replica, and entries that its peer lacks. Since version 8.
    TallySync(Box<TallySync>),
    /// The response to `TallySync`. Since version 8.
    TallySynced(Box<TallySynced>),
    /// Asks a router for its counts of requests that began. Since version 8.
    MeteringRequest(Box<MeteringRequest>),
    /// A router's counts of requests that began. Since version 8.
    MeteringReport(Box<RouterCounts>),
    /// Asks a controller for the counts that routers reported to it. Since version 8.
    MeteringQuery(Box<MeteringQuery>),
    /// The response to `MeteringQuery`. Since version 8.
    MeteringTables(Box<MeteringTables>),
    /// Like `TallySync`, with packed entries. Since version 9.
    PackedTallySync(Box<PackedTallySync>),
}
