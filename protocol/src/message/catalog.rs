//! The catalog of prefixes: which engines hold the KV cache of which prompt prefixes, and how loaded engines are.

use rkyv::{Archive, Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Record {
    pub key: u64,
    pub engine: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixLookup {
    pub epoch: u64,
    pub keys: Vec<u64>,
    /// Engines by the hash of their id: a sample, however many there are.
    pub sample: Vec<u64>,
}

/// What an engine last told anyone: the hash of its id, requests there, and how many ms ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineLoad {
    pub engine_hash: u64,
    pub load: u32,
    pub age_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixLookupResponse {
    pub epoch: u64,
    pub owners: Vec<Vec<String>>,
    /// Of the owners and of the sample, as far as known.
    pub list: Vec<EngineLoad>,
}

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefixRegistration {
    pub epoch: u64,
    pub owners: Vec<Record>,
    pub loads: Vec<EngineLoad>,
}
