//! The engines of a zone as found by discovery.

use rkyv::{Archive, Deserialize, Serialize};

/// One engine as found by discovery.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// Its id on the platform.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it accepts requests.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// The phase that it serves: prefill, decode, or empty for both.
    pub phase: String,
    /// The model that it runs.
    pub model: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it may get new requests; false while it drains.
    pub up: bool,
    /// Remaining time of its slow start, in milliseconds.
    pub cold_ms: u32,
}

/// The engines of one zone as one poller saw them. Invariant: (`term`, `sequence`) never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndpointList {
    /// The zone, or a hidden key for the candidates of a zone.
    pub zone: String,
    /// Increases whenever another poller takes over the zone.
    pub term: u64,
    /// Number of changes that this poller saw.
    pub sequence: u64,
    /// The engines.
    pub engines: Vec<Engine>,
}
