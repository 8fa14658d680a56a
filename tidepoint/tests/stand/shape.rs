//! JSON of engines as the platform lists them, and of routes as operators configure them.

use serde_json::Value;

pub fn engine(at: usize, zone: &str) -> Value {
    let phase = if at.is_multiple_of(4) { "prefill" } else { "decode" };
    serde_json::json!({"instance_id": format!("i-{at}"), "service": "s", "address": format!("10.{}.{}.9:8080", at / 250, at % 250),
        "zone": zone, "revision": "v1", "slot_count": 64, "oper_state": "up", "ramp_left_ms": 0, "phase": phase,
        "model_list": [{"name": "m", "revision": 1}]})
}

pub fn route(at: usize, timeout: u64) -> Value {
    serde_json::json!({"name": format!("r-{at:07}"), "hostname": format!("host{at}.example"), "path_prefix": "/service/",
        "route_type": "streaming", "timeout_ms": timeout, "target_ms": 400, "priority": 0, "service": "s",
        "retry_count": 2, "persistent": true, "resumable": true, "gap_target_ms": 250})
}
