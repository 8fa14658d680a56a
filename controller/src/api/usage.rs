//! The resource of usage: the metering windows whose counts are committed, and which of them the platform acknowledged.

use std::sync::Arc;

use poem::{Endpoint, Request};
use serde_json::{json, Map, Value};

use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::metering::exporter;

/// The windows whose counts are committed.
pub struct Usage(pub Arc<Controller>);

impl Endpoint for Usage {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if request.method().as_str() != "GET" {
            return Ok(ApiError::method_not_allowed("method: GET").into());
        }
        let Some(state) = self.0.committed.read(exporter::known_state) else {
            return Ok(ApiResponse::OutcomeUnknown);
        };
        let windows: Vec<Value> = state
            .windows
            .iter()
            .map(|window| {
                let counts: Map<String, Value> =
                    window.counts.iter().map(|usage| (usage.tenant.clone(), Value::from(usage.count))).collect();
                json!({ "window_id": window.window, "told": window.told, "count_table": counts })
            })
            .collect();
        Ok(ApiResponse::json(&json!({ "windows": windows })))
    }
}
