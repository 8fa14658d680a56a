//! Resources that show the state of the fleet. They are read only: any other method than GET gets 405.

use std::sync::Arc;

use kernel::log;
use poem::http::Method;
use poem::{Endpoint, Request};

use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::quota_shards::fleet_usage;

/// Returns 405 unless a request only reads.
fn require_get(request: &Request) -> Result<(), ApiResponse> {
    match *request.method() == Method::GET {
        true => Ok(()),
        false => Err(ApiError::method_not_allowed("method: GET").into()),
    }
}

/// The last log events of this controller.
pub struct Journal;

impl Endpoint for Journal {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(refused) = require_get(&request) {
            return Ok(refused);
        }
        let events: Vec<String> = log::events_since(0).into_iter().map(|line| line.event).collect();
        Ok(ApiResponse::json(&serde_json::json!({ "events": events })))
    }
}

/// Who is live as this controller sees it, and which configuration each router has in force.
pub struct Fleet(pub Arc<Controller>);

impl Endpoint for Fleet {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(refused) = require_get(&request) {
            return Ok(refused);
        }
        Ok(ApiResponse::json(&self.0.fleet_view()))
    }
}

/// What tenants have used of their limits, over all routers.
pub struct Tenants(pub Arc<Controller>);

impl Endpoint for Tenants {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(refused) = require_get(&request) {
            return Ok(refused);
        }
        Ok(ApiResponse::json(&fleet_usage(&self.0).await))
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
