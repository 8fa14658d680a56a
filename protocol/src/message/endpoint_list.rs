//! The engines of a zone as discovery saw them.

use rkyv::{Archive, Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndpointList {
    pub zone: String,
    pub term: u64,
    pub sequence: u64,
    pub engines: Vec<Engine>,
}
