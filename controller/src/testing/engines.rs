//! Engines as the platform lists them.

use protocol::message::Engine;

use crate::discovery::version_lists::ListedEngine;

/// Returns a listed engine of the service `s` that accepts requests.
pub fn listed(id: &str, version: &str, cold_ms: u32) -> ListedEngine {
    let engine = Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: "m".into(),
        slots: 8,
        up: true,
        cold_ms,
    };
    ListedEngine { engine, version: version.into() }
}
