//! Engines as endpoint lists contain them.

use protocol::message::Engine;

/// Returns an engine that accepts requests and stays cold for `cold_ms`.
pub(crate) fn engine(id: &str, cold_ms: u32) -> Engine {
    Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.1.1.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: 1,
        up: true,
        cold_ms,
    }
}
