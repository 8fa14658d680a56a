//! Read-only resources that show the state of the fleet. Methods other than GET get 405.

use std::sync::Arc;

use kernel::log;
use poem::http::Method;
use poem::{Endpoint, Request};

use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::quota_shards::fleet_usage;

/// Returns the 405 response for a request that is not a GET.
fn require_get(request: &Request) -> Result<(), ApiResponse> {
    match *request.method() == Method::GET {
        true => Ok(()),
        false => Err(ApiError::method_not_allowed("method: GET").into()),
    }
}

/// The most recent log events of this controller.
pub struct Journal;

impl Endpoint for Journal {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(rejection) = require_get(&request) {
            return Ok(rejection);
        }
        let events: Vec<String> = log::events_since(0).into_iter().map(|line| line.event).collect();
        Ok(ApiResponse::json(&serde_json::json!({ "events": events })))
    }
}

/// The live members of the fleet as this controller sees them, and the configuration revision of each router.
pub struct Fleet(pub Arc<Controller>);

impl Endpoint for Fleet {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(rejection) = require_get(&request) {
            return Ok(rejection);
        }
        Ok(ApiResponse::json(&self.0.fleet_view()))
    }
}

/// The usage of tenants' rate limits, summed over all routers.
pub struct Tenants(pub Arc<Controller>);

impl Endpoint for Tenants {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if let Err(rejection) = require_get(&request) {
            return Ok(rejection);
        }
        Ok(ApiResponse::json(&fleet_usage(&self.0).await))
    }
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
