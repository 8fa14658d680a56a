//! Messages between our own daemons. Every variant holds a box, so a new one never moves the others.

use crate::order::{Advance, Order, OrderResult};
use crate::quota::{ShardHolder, ShardUsage, Spend, Spent};
use crate::renewal::Renewed;
use crate::version_rollout::{Samples, VersionRollout};

pub use crate::capability::*;
pub use crate::rollout::{Rule, Versions, ROLLOUT};
pub use crate::seek::{Note, Pressure, Seek, Sought};

/// A ledger position: rises with each take-over (`turn`, ties by `seat`) and each change (`step`).
/// Invariant: one owner acts under one (`turn`, `seat`); `step` restarts at 0 with each of them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct Ballot {
    pub turn: u64,
    pub seat: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    pub ballot: Ballot,
    pub step: u64,
    pub body: Vec<u8>,
}

impl Entry {
    pub fn place(&self) -> (Ballot, u64) {
        (self.ballot, self.step)
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
pub struct Core {
    pub version: u64,
    pub list: Vec<Member>,
    pub prev: Vec<Member>,
    pub settled: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Ask {
    Prepare {
        key: String,
        ballot: Ballot,
    },
    Accept {
        key: String,
        entry: Entry,
    },
    /// The places of all keys, without their bodies.
    Places,
    /// All that a voter holds: for a voter that lost its disk.
    Whole,
    Fetch {
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Poll {
    /// A core is only ever sent once it is committed.
    pub core: Core,
    pub ask: Ask,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Slot {
    pub key: String,
    pub promised: Ballot,
    pub entry: Option<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Vote {
    Promise {
        entry: Option<Entry>,
    },
    Accepted,
    Refused {
        promised: Ballot,
    },
    Places {
        list: Vec<(String, Ballot, u64)>,
    },
    Whole {
        slots: Vec<Slot>,
    },
    Fetched {
        entry: Option<Entry>,
    },
    /// The asker's core is older than this one.
    Newer {
        core: Core,
    },
    /// Not a voter, or one that must first read the others.
    Mute,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Gossip {
    pub ip: String,
    pub zone: String,
    pub life: u64,
    /// It may be made a member of the core.
    pub fit: bool,
    pub core: Core,
    pub peers: Vec<String>,
    /// Routers that hold a lease here.
    pub seats: u32,
    /// Requests of those routers under way, by engine.
    pub busy: Vec<(String, u32)>,
    /// Engines about to change their part.
    pub resting: Vec<String>,
    /// Where clients reach the routers that hold a lease here.
    pub doors: Vec<String>,
    /// The versions of the engine lists held: who has newer ones sends them.
    pub sheets: Vec<(String, u64, u64)>,
    /// Turns of lists that routers told of.
    pub floors: Vec<(String, u64, u64)>,
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
pub struct Sheet {
    pub zone: String,
    pub turn: u64,
    pub count: u64,
    pub list: Vec<Engine>,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Follow {
    pub node: String,
    pub zone: String,
    pub life: u64,
    pub config: u64,
    pub closed: Vec<(String, u64)>,
    pub sheets: Vec<(String, u64, u64)>,
    /// Own requests under way, by engine.
    pub busy: Vec<(String, u32)>,
    /// Where clients reach it.
    pub door: String,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct News {
    /// The controller confirmed its versions at a majority a moment ago.
    pub sure: bool,
    pub config: Option<(u64, Vec<u8>)>,
    /// Area, version, whether it is being evacuated.
    pub closed: Vec<(String, u64, bool)>,
    pub sheets: Vec<Sheet>,
    /// How many routers hold a lease: shared bounds are cut into as many slices.
    pub seats: u32,
    pub peers: Vec<String>,
    /// Engines about to change their part: nothing new is sent to them.
    pub resting: Vec<String>,
    /// The holder of the catalog and its epoch.
    pub catalog: (u64, String),
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Record {
    pub key: u64,
    pub engine: String,
}

#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Msg {
    Poll(Box<Poll>),
    Vote(Box<Vote>),
    Gossip(Box<Gossip>),
    Sheet(Box<Sheet>),
    Follow(Box<Follow>),
    News(Box<News>),
    /// The keys of the missing suffix, shortest prefix first.
    Query(Box<(u64, Vec<u64>)>),
    /// The catalog's epoch and, for each key asked, the engines that hold it.
    Found(Box<(u64, Vec<Vec<String>>)>),
    Register(Box<(u64, Vec<Record>)>),
    /// The barrier: answered once all before it was taken, with the number dropped.
    Flush(Box<(u64, u32)>),
    Flushed(Box<(u64, u32)>),
    /// Committed: a key and what it now holds.
    Learn(Box<(String, Entry)>),
    /// An engine gave a router no sign of life; true: already passed on by a controller.
    Doubt(Box<(String, bool)>),
    No(Box<u16>),
    /// A configuration, whole or as a change: the bytes of `crate::change::Change`. Since version 2.
    Change(Box<Vec<u8>>),
    /// As `Query`, and how pressed some engines are. Since version 2.
    Seek(Box<Seek>),
    Sought(Box<Sought>),
    /// As `Register`, and what these engines told of their pressure. Since version 2.
    Note(Box<Note>),
    /// A rule on stale weights, newer than what the router told. Since version 2.
    Rule(Box<Rule>),
    /// The weight versions of a zone's engines as its poller saw them. Since version 2.
    Versions(Box<Versions>),
    /// Have all routers that hold a lease at this controller confirmed a rule? Its key and version. Since version 2.
    Settle(Box<(String, u64)>),
    /// Routers that hold a lease, and those of them that confirmed. Since version 2.
    Settled(Box<(u32, u32)>),
    /// An operator's order, to the controller that is home to its key. Since version 3.
    Order(Box<Order>),
    OrderDone(Box<OrderResult>),
    /// As `Learn`, for those that hold the entry before. Since version 3.
    Advance(Box<Advance>),
    /// The answer to `Follow` for routers that read it. Since version 4.
    Renewed(Box<Renewed>),
    /// A configuration with tenants, whole or as a change: the bytes of `crate::change::Change`. Since version 4.
    Update(Box<Vec<u8>>),
    /// One token of a tenant's limit. Since version 5.
    Spend(Box<Spend>),
    Spent(Box<Spent>),
    /// The controllers that may hold shards of tenants' limits, as a controller sees them. Since version 5.
    Holders(Box<Vec<ShardHolder>>),
    /// What have the shards held there given? Since version 5.
    Usage(Box<u16>),
    Used(Box<Vec<ShardUsage>>),
    /// A rollout of a service, newer than what the router told. Since version 5.
    VersionRollout(Box<VersionRollout>),
    /// What routers saw of a rollout. Since version 5.
    Samples(Box<Samples>),
}
