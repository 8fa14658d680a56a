//! The prefix catalog: which engines hold the KV cache of which prompt prefixes, and the loads of engines.

use rkyv::{Archive, Deserialize, Serialize};

/// Registers one engine as an owner of one prefix.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Record {
    /// The hash of the prefix.
    pub key: u64,
    /// The id of the engine that holds its KV cache.
    pub engine: String,
}

/// Asks which engines hold the KV cache of a prompt's prefixes, and for the loads of engines.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixLookup {
    /// The epoch of the catalog owner that is queried.
    pub epoch: u64,
    /// The hashes of the prefixes, shortest first.
    pub keys: Vec<u64>,
    /// A sample of engines whose load is requested, by the hash of their id.
    pub sample: Vec<u64>,
}

/// The load that an engine last reported to any router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The hash of the engine's id.
    pub engine_hash: u64,
    /// Number of requests that run or wait there.
    pub load: u32,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
}

/// The response to a [`PrefixLookup`].
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixLookupResponse {
    /// The epoch of the catalog owner.
    pub epoch: u64,
    /// For each requested key, the ids of the engines that hold it.
    pub owners: Vec<Vec<String>>,
    /// The known loads of the owners and of the sampled engines.
    pub list: Vec<EngineLoad>,
}

/// Registers owners of prefixes and reports the loads of engines.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixRegistration {
    /// The epoch of the catalog owner that is notified.
    pub epoch: u64,
    /// Engines that hold a prefix now.
    pub owners: Vec<Record>,
    /// The loads that engines reported.
    pub loads: Vec<EngineLoad>,
}
