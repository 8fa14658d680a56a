//! Messages between daemons. Every variant of [`Message`] holds a box, so that a new variant never changes the size of
//! the others.

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

/// A message between daemons. Invariant: variants keep their order; later versions add theirs at the end.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize, EnumDiscriminants)]
#[strum_discriminants(
    name(MessageKind),
    doc = "The kind of a [`Message`]. Names are label values of metrics.",
    repr(u8),
    derive(Hash, EncodeLabelValue, EnumIter, FromRepr)
)]
pub enum Message {
    /// A proposer asks an acceptor.
    ConsensusRequest(Box<ConsensusRequest>),
    /// The acceptor's response.
    ConsensusResponse(Box<ConsensusResponse>),
    /// A heartbeat between controllers.
    Gossip(Box<Gossip>),
    /// The engines of a zone, from the controller that polled them.
    EndpointList(Box<EndpointList>),
    /// A router renews its lease.
    SubscriptionRenewal(Box<SubscriptionRenewal>),
    /// What a router lacks.
    StateUpdate(Box<StateUpdate>),
    /// Asks the catalog who owns prefixes: its epoch, and the keys, shortest prefix first.
    OwnerQuery(Box<(u64, Vec<u64>)>),
    /// The catalog's epoch and, for each key that was asked, the engines that hold it.
    Owners(Box<(u64, Vec<Vec<String>>)>),
    /// Registers owners of prefixes under the catalog's epoch.
    RegisterOwners(Box<(u64, Vec<Record>)>),
    /// A barrier for the catalog: its epoch, and how many registrations were sent before it.
    Flush(Box<(u64, u32)>),
    /// All registrations before the barrier were processed: the epoch, and how many were lost.
    Flushed(Box<(u64, u32)>),
    /// A committed entry, and its key.
    Committed(Box<(String, Entry)>),
    /// An engine gave a router no sign of life; true if a controller has passed this on already.
    SuspectEngine(Box<(String, bool)>),
    /// A request was rejected with this HTTP status.
    Rejected(Box<u16>),
    /// An update of the configuration in the format of [`legacy_format`](crate::config_update::legacy_format). Since
    /// version 2.
    ConfigUpdate(Box<Vec<u8>>),
    /// As `OwnerQuery`, and asks for the loads of some engines. Since version 2.
    PrefixLookup(Box<PrefixLookup>),
    /// The response to `PrefixLookup`. Since version 2.
    PrefixLookupResponse(Box<PrefixLookupResponse>),
    /// As `RegisterOwners`, with the loads that these engines reported. Since version 2.
    PrefixRegistration(Box<PrefixRegistration>),
    /// A staleness limit, newer than the router's. Since version 2.
    StalenessLimit(Box<StalenessLimit>),
    /// The weight versions of a zone's engines as its poller saw them. Since version 2.
    WeightVersions(Box<WeightVersions>),
    /// Asks how many routers that hold a lease at a controller confirmed a staleness limit: its key and version. Since
    /// version 2.
    CountConfirmations(Box<(String, u64)>),
    /// How many routers hold a lease, and how many of them confirmed. Since version 2.
    ConfirmationCount(Box<(u32, u32)>),
    /// An operator's request, relayed to the owner of its key. Since version 3.
    OperatorRequest(Box<OperatorRequest>),
    /// The response to `OperatorRequest`. Since version 3.
    OperatorResponse(Box<OperatorResponse>),
    /// As `Committed`, for controllers that hold the entry before. Since version 3.
    CommittedDelta(Box<CommittedDelta>),
    /// The response to `SubscriptionRenewal` for routers that read it. Since version 4.
    SubscriptionRenewed(Box<SubscriptionRenewed>),
    /// An encoded [`ConfigUpdate`](crate::config_update::ConfigUpdate), with tenants. Since version 4.
    TenantConfigUpdate(Box<Vec<u8>>),
    /// Asks for one token of a tenant's limit. Since version 5.
    TokenRequest(Box<TokenRequest>),
    /// The response to `TokenRequest`. Since version 5.
    TokenResponse(Box<TokenResponse>),
    /// The controllers that may own shards of tenants' limits, as one controller sees them. Since version 5.
    ShardOwners(Box<Vec<ShardOwner>>),
    /// Asks for the usage of the shards that a controller owns. Since version 5.
    UsageRequest(Box<u16>),
    /// The response to `UsageRequest`. Since version 5.
    UsageResponse(Box<Vec<ShardUsage>>),
    /// A rollout of a service, newer than the router's. Since version 5.
    VersionRollout(Box<VersionRollout>),
    /// What routers saw of a rollout. Since version 5.
    Samples(Box<Samples>),
    /// A zone's endpoint list, whole or as what changed. Since version 6.
    EndpointUpdate(Box<EndpointUpdate>),
    /// How loaded engines are, for the controller that balances phases. Since version 6.
    EngineUsage(Box<EngineUsage>),
    /// Asks a router for samples of a rollout by engine and load. Since version 7.
    SampleRequest(Box<SampleRequest>),
    /// What routers saw of a rollout, by engine and load. Since version 7.
    EngineSamples(Box<EngineSamples>),
    /// What a replica of tallies has, and entries that another one lacks. Since version 8.
    TallySync(Box<TallySync>),
    /// The response to `TallySync`. Since version 8.
    TallySynced(Box<TallySynced>),
    /// Asks a router for counts of requests that began. Since version 8.
    MeteringRequest(Box<MeteringRequest>),
    /// What a router counted. Since version 8.
    MeteringReport(Box<RouterCounts>),
    /// Asks a controller for what routers reported to it. Since version 8.
    MeteringQuery(Box<MeteringQuery>),
    /// The response to `MeteringQuery`. Since version 8.
    MeteringTables(Box<MeteringTables>),
    /// What a replica of tallies has, and packed entries that another one lacks. Since version 9.
    PackedTallySync(Box<PackedTallySync>),
}
