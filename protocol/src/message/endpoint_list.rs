//! The engines of a zone as discovery saw them.

use rkyv::{Archive, Deserialize, Serialize};

/// One engine as discovery saw it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// Its id on the platform.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it accepts requests.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// The phase that it serves: prefill, decode, or empty for both.
    pub phase: String,
    /// The model that it runs.
    pub model: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it may get new requests; false while it drains.
    pub up: bool,
    /// Milliseconds that are left of its slow start.
    pub cold_ms: u32,
}

/// The engines of one zone as one poller saw them. Invariant: (`term`, `sequence`) never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndpointList {
    /// The zone, or a hidden key for the candidates of a zone.
    pub zone: String,
    /// Rises whenever another poller takes the zone over.
    pub term: u64,
    /// Counts the changes that this poller saw.
    pub sequence: u64,
    /// The engines.
    pub engines: Vec<Engine>,
}
