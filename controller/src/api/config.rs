//! The resources `/config` and `/evacuation/:zone`. Their requests are executed by the controller that coordinates the
//! key.

use std::sync::Arc;

use poem::{Endpoint, Request};
use protocol::config::MAX_TEXT_BYTES;
use protocol::operator_request::{ConfigChange, OperatorRequest, OperatorResponse};

use crate::api::operator_requests;
use crate::api::request::{if_match, missing_if_match, read_text};
use crate::api::response::{ApiError, ApiResponse};
use crate::config::body::StoredConfig;
use crate::controller::Controller;
use crate::metrics::{RequestOutcome, RequestTimer};

/// The path of the configuration.
pub const CONFIG_PATH: &str = "/config";

/// The configuration: read, replace or patch it.
pub struct ConfigResource(pub Arc<Controller>);

impl ConfigResource {
    async fn read(&self) -> ApiResponse {
        submit(&self.0, CONFIG_PATH.into(), OperatorRequest::ReadConfig).await
    }

    async fn change(&self, request: &mut Request, partial: bool) -> Result<ApiResponse, ApiError> {
        let base = if_match(request);
        let received = read_text(request, MAX_TEXT_BYTES, &self.0.memory).await?;
        // Held until the change has been executed.
        let (text, _reservation) = received.into_parts();
        let base = base.ok_or_else(missing_if_match)?;
        let change = OperatorRequest::Change(ConfigChange { base, text, partial });
        Ok(submit(&self.0, CONFIG_PATH.into(), change).await)
    }
}

impl Endpoint for ConfigResource {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        let response = match request.method().as_str() {
            "GET" => self.read().await,
            "PUT" => self.change(&mut request, false).await.into(),
            "PATCH" => self.change(&mut request, true).await.into(),
            _ => ApiError::method_not_allowed("method: GET, PUT or PATCH").into(),
        };
        Ok(response)
    }
}

/// The evacuation of a zone: start or end it.
pub struct EvacuationResource(pub Arc<Controller>);

impl EvacuationResource {
    async fn set(&self, zone: &str, on: bool) -> ApiResponse {
        if !self.0.settings.zones.contains_key(zone) {
            return ApiError::not_found(format!("zone `{zone}`: not found")).into();
        }
        submit(&self.0, format!("/evacuation/{zone}"), OperatorRequest::Evacuate { zone: zone.into(), on }).await
    }
}

impl Endpoint for EvacuationResource {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        let on = match request.method().as_str() {
            "POST" => true,
            "DELETE" => false,
            _ => return Ok(ApiError::method_not_allowed("method: POST or DELETE").into()),
        };
        let zone = request.path_params::<String>().unwrap_or_default();
        Ok(self.set(&zone, on).await)
    }
}

/// Executes a request, or redirects its sender to the controller that should execute it.
async fn submit(controller: &Arc<Controller>, path: String, request: OperatorRequest) -> ApiResponse {
    let timer = RequestTimer::start(&controller.metrics, &request);
    if let Some(address) = operator_requests::redirect_address(controller, &request) {
        timer.finish(RequestOutcome::Redirected);
        return ApiResponse::Redirect { address, path };
    }
    let response = operator_requests::submit(controller, request).await;
    timer.finish((&response).into());
    match response {
        OperatorResponse::Found { body } => config_response(&body),
        response => response.into(),
    }
}

fn config_response(body: &[u8]) -> ApiResponse {
    match StoredConfig::decode(body) {
        Some(stored) if stored.revision > 0 => ApiResponse::Json(stored.text.into_bytes()),
        Some(_) => ApiError::not_found("no configuration yet").into(),
        None => ApiResponse::OutcomeUnknown,
    }
}
