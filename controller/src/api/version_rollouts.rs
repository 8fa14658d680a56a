//! The resource of version rollouts: start one and read its state.

use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use poem::{Endpoint, Request};
use protocol::version_rollout::{RolloutState, VersionRollout};
use serde_json::Value;
use tokio::time;

use crate::api::operator_requests::request_timeout_ms;
use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::replication::registers::Decision;
use crate::rollout::staleness_limits::unknown_service;
use crate::rollout::version_rollouts;

/// The maximum duration of a rollout, in seconds.
const MAX_DURATION_S: f64 = 7.0 * 86_400.0;
/// How long a read of a rollout's state waits for a rollout that is about to end, in ms.
const MAX_END_WAIT_MS: u64 = 700;
/// The poll interval during that wait.
const END_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A request to roll out a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRequest {
    /// The name of the service.
    pub service: String,
    /// The version to roll out.
    pub target: String,
    /// The duration of the rollout, in ms.
    pub duration_ms: u64,
}

impl RolloutRequest {
    /// Parses a request. `is_known_service` returns whether a service of that name exists.
    ///
    /// # Errors
    ///
    /// Returns which part of the request is missing, malformed or unknown.
    pub fn parse(text: &str, is_known_service: impl Fn(&str) -> bool) -> Result<RolloutRequest, ApiError> {
        let value: Value =
            serde_json::from_str(text).map_err(|error| ApiError::bad_request(format!("body: {error}")))?;
        let (service, target) = (name(&value, "service")?, name(&value, "target_version")?);
        if !is_known_service(&service) {
            return Err(unknown_service(&service));
        }
        let duration_s = value["duration_s"].as_f64().filter(|seconds| *seconds > 0.0 && *seconds <= MAX_DURATION_S);
        let duration_s = duration_s.ok_or_else(|| {
            let found = &value["duration_s"];
            let message = format!("duration_s: found {found}, must be above 0 and at most {MAX_DURATION_S}");
            ApiError::bad_request(message)
        })?;
        Ok(RolloutRequest { service, target, duration_ms: (duration_s * 1000.0) as u64 })
    }

    /// Returns the rollout that the request starts on top of the newest one, or `Ok(None)` if the newest one is already
    /// that of this request. `in_force` is the version of the service, if it is known; if it is the target already, the
    /// rollout is complete at once.
    ///
    /// # Errors
    ///
    /// Returns why the rollout cannot be started now.
    pub fn decide(
        &self,
        stored: Option<&VersionRollout>,
        in_force: Option<&str>,
    ) -> Result<Option<VersionRollout>, ApiError> {
        let Some(stored) = stored else { return Ok(Some(self.first_rollout(in_force))) };
        if stored.target == self.target && stored.duration_ms == self.duration_ms {
            return Ok(None);
        }
        if stored.state == RolloutState::Active {
            return Err(ApiError::conflict(format!("rollout: version {} is still being rolled out", stored.target)));
        }
        let named = stored.stable_version();
        if named == Some(&self.target) {
            return Err(ApiError::bad_request(format!(
                "target_version: {} is already the stable version",
                self.target
            )));
        }
        let mut reverted = stored.reverted.clone();
        reverted.retain(|version| *version != self.target);
        let (number, order) = (stored.number + 1, stored.order + 1);
        Ok(Some(VersionRollout { number, order, reverted, ..self.first_rollout(in_force.or(named)) }))
    }

    fn first_rollout(&self, stable: Option<&str>) -> VersionRollout {
        let state = match stable == Some(&self.target) {
            true => RolloutState::Complete,
            false => RolloutState::Active,
        };
        let first = VersionRollout::first(&self.service, &self.target, self.duration_ms);
        VersionRollout { state, stable: stable.map(str::to_string), ..first }
    }
}

/// Returns a name, which must be present and not blank.
fn name(value: &Value, field: &str) -> Result<String, ApiError> {
    let name = value[field].as_str().filter(|name| !name.trim().is_empty());
    name.map(str::to_string)
        .ok_or_else(|| ApiError::bad_request(format!("{field}: found {}, must be a non-blank string", value[field])))
}

/// Starts a rollout.
///
/// # Errors
///
/// Returns why the request is rejected.
pub async fn start(controller: &Arc<Controller>, text: &str) -> Result<ApiResponse, ApiError> {
    if controller.peers.requests_may_be_stale() {
        return Ok(ApiResponse::OutcomeUnknown);
    }
    let Some(config) = controller.committed.current_config() else { return Ok(ApiResponse::OutcomeUnknown) };
    let is_known_service = |name: &str| config.config().service_table.iter().any(|service| service.name == name);
    let request = RolloutRequest::parse(text, is_known_service)?;
    let in_force = controller.committed.version_in_force(&request.service);
    let decide = |body: &[u8]| {
        let stored = VersionRollout::from_bytes(body);
        if stored.is_none() && !body.is_empty() {
            return Decision::Answer(ApiResponse::OutcomeUnknown);
        }
        match request.decide(stored.as_ref(), in_force.as_deref()) {
            Ok(None) => Decision::Answer(ApiResponse::Done),
            Ok(Some(next)) => Decision::Write(next.to_bytes(), ApiResponse::Done),
            Err(error) => Decision::Answer(error.into()),
        }
    };
    let key = VersionRollout::key(&request.service);
    let result = controller.change(&key, request_timeout_ms(controller), decide).await;
    Ok(result.unwrap_or(ApiResponse::OutcomeUnknown))
}

/// The newest rollout of a service.
pub struct VersionRolloutResource(pub Arc<Controller>);

/// The decoded value of a rollout's register.
enum StoredRollout {
    Rollout(VersionRollout),
    Empty,
    Unreadable,
}

impl StoredRollout {
    fn decode(body: &[u8]) -> StoredRollout {
        match VersionRollout::from_bytes(body) {
            Some(rollout) => StoredRollout::Rollout(rollout),
            None if body.is_empty() => StoredRollout::Empty,
            None => StoredRollout::Unreadable,
        }
    }
}

impl VersionRolloutResource {
    async fn read(&self, service: &str) -> ApiResponse {
        self.wait_for_end(service).await;
        let decide = |body: &[u8]| Decision::Answer(StoredRollout::decode(body));
        let key = VersionRollout::key(service);
        match self.0.change(&key, request_timeout_ms(&self.0), decide).await {
            Some(StoredRollout::Rollout(rollout)) => ApiResponse::json(&rollout_state(&rollout)),
            Some(StoredRollout::Empty) => ApiError::not_found(format!("service `{service}`: no rollout")).into(),
            Some(StoredRollout::Unreadable) | None => ApiResponse::OutcomeUnknown,
        }
    }

    /// Waits while a service's rollout is about to end, so that operators who poll rarely learn of the end in time.
    ///
    /// It checks only the state known here: a quorum read would contend with the change that it waits for.
    async fn wait_for_end(&self, service: &str) {
        let started_at = clock::now();
        while clock::now() < started_at + MAX_END_WAIT_MS && version_rollouts::ends_soon(&self.0, service, clock::now())
        {
            time::sleep(END_POLL_INTERVAL).await;
        }
    }
}

/// Returns the JSON of a rollout for operators.
fn rollout_state(rollout: &VersionRollout) -> Value {
    serde_json::json!({
        "oper_state": rollout.state.as_str(), "target_version": rollout.target,
        "share": f64::from(rollout.share) / 1000.0, "reason": rollout.reason, "reverted": rollout.reverted,
    })
}

impl Endpoint for VersionRolloutResource {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        let service = request.path_params::<String>().unwrap_or_default();
        let response = match request.method().as_str() {
            "GET" => self.read(&service).await,
            _ => ApiError::method_not_allowed("method: GET").into(),
        };
        Ok(response)
    }
}

#[cfg(test)]
#[path = "version_rollouts_tests.rs"]
mod tests;
