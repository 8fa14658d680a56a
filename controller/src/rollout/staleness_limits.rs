//! Staleness limits for weights: parses requests, applies them to the committed limit and commits the result. Each pair
//! of service and model has its own register.

use protocol::config::{self, Config, Service};
use protocol::message::{StalenessLimit, STALENESS_LIMIT_PREFIX};
use serde_json::Value;

use crate::api::operator_requests::request_timeout_ms;
use crate::api::request::missing_if_match;
use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::event::{STALENESS_LIMIT_ENFORCED, STALENESS_LIMIT_UNCONFIRMED};
use crate::replication::registers::Decision;

/// The service and model that a limit applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitTarget {
    /// The name of the service.
    pub service: String,
    /// The name of the model.
    pub model: String,
}

impl LimitTarget {
    /// Returns the key of the register that stores the limit.
    pub fn key(&self) -> String {
        format!("{STALENESS_LIMIT_PREFIX}{}/{}", self.service, self.model)
    }
}

/// A requested change to a staleness limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StalenessLimitChange {
    /// Replaces the whole limit.
    Replace {
        /// The limit version that the change is based on; 0 if there is no limit.
        base: u64,
        /// The latest version of the weights.
        latest: u64,
        /// How many versions an engine may be behind the latest one.
        lag: u64,
        /// The names of the routes that the limit applies to.
        routes: Vec<String>,
    },
    /// Raises the latest version after the trainer has published newer weights.
    Raise {
        /// The latest version of the weights.
        latest: u64,
    },
    /// Returns to an older version of the weights.
    RollBack {
        /// The version that becomes the latest one.
        latest: u64,
        /// The operator's reason for the rollback.
        reason: String,
    },
    /// Removes the limit.
    Remove {
        /// The limit version that the change is based on.
        base: u64,
    },
}

/// Applies a change to the committed limit. Returns `Ok(None)` if the limit is already in the requested state.
///
/// # Errors
///
/// Returns why the change is rejected.
pub fn decide(
    stored: Option<&StalenessLimit>,
    change: &StalenessLimitChange,
) -> Result<Option<StalenessLimit>, ApiError> {
    match change {
        StalenessLimitChange::Replace { base, latest, lag, routes } => replace(stored, *base, *latest, *lag, routes),
        StalenessLimitChange::Raise { latest } => raise(stored, *latest),
        StalenessLimitChange::RollBack { latest, reason } => roll_back(stored, *latest, reason),
        StalenessLimitChange::Remove { base } => remove(stored, *base),
    }
}

/// Returns the committed limit unless it was removed.
fn active(stored: Option<&StalenessLimit>) -> Option<&StalenessLimit> {
    stored.filter(|limit| !limit.removed)
}

/// Returns the version of the next state. The count continues after a removal, so that no version stands for two
/// states.
fn next_version(stored: Option<&StalenessLimit>) -> u64 {
    stored.map_or(0, |limit| limit.version) + 1
}

fn check_base(stored: Option<&StalenessLimit>, base: u64) -> Result<(), ApiError> {
    let current = active(stored).map_or(0, |limit| limit.version);
    match base == current {
        true => Ok(()),
        false => Err(ApiError::precondition_failed(format!("If-Match: found {base}, version {current} is current"))),
    }
}

fn replace(
    stored: Option<&StalenessLimit>,
    base: u64,
    latest: u64,
    lag: u64,
    routes: &[String],
) -> Result<Option<StalenessLimit>, ApiError> {
    let is_same = |limit: &StalenessLimit| limit.latest == latest && limit.lag == lag && limit.routes == routes;
    if active(stored).is_some_and(is_same) {
        return Ok(None);
    }
    check_base(stored, base)?;
    if active(stored).is_some_and(|limit| latest < limit.latest) {
        return Err(ApiError::bad_request(format!(
            "latest: found {latest}, older than the current one; use a rollback and give its reason"
        )));
    }
    let previous = stored.cloned().unwrap_or_default();
    let (version, routes) = (next_version(stored), routes.to_vec());
    Ok(Some(StalenessLimit { version, latest, lag, routes, removed: false, ..previous }))
}

fn raise(stored: Option<&StalenessLimit>, latest: u64) -> Result<Option<StalenessLimit>, ApiError> {
    let limit = active(stored).ok_or_else(no_limit)?;
    if latest < limit.latest {
        let reported = limit.latest;
        let message = format!("latest: found {latest}, older than {reported}; use a rollback");
        return Err(ApiError::bad_request(message));
    }
    let next = StalenessLimit { version: next_version(stored), latest, ..limit.clone() };
    Ok((latest > limit.latest).then_some(next))
}

fn roll_back(stored: Option<&StalenessLimit>, latest: u64, reason: &str) -> Result<Option<StalenessLimit>, ApiError> {
    let limit = active(stored).ok_or_else(no_limit)?;
    if limit.latest == latest && limit.reason == reason {
        return Ok(None);
    }
    if latest >= limit.latest {
        return Err(ApiError::bad_request(format!("latest: found {latest}, not older than {}", limit.latest)));
    }
    let (version, rollbacks) = (next_version(stored), limit.rollbacks + 1);
    Ok(Some(StalenessLimit { version, latest, rollbacks, reason: reason.into(), ..limit.clone() }))
}

fn remove(stored: Option<&StalenessLimit>, base: u64) -> Result<Option<StalenessLimit>, ApiError> {
    let Some(limit) = active(stored) else {
        return if stored.is_some() { Ok(None) } else { Err(no_limit()) };
    };
    check_base(stored, base)?;
    Ok(Some(StalenessLimit { version: next_version(stored), removed: true, ..limit.clone() }))
}

/// Returns the error for a service and model without a limit.
pub fn no_limit() -> ApiError {
    ApiError::not_found("no staleness limit for this service and model")
}

fn parse_json(text: &str) -> Result<Value, ApiError> {
    serde_json::from_str(text).map_err(|error| ApiError::bad_request(format!("body: {error}")))
}

/// Returns a required non-negative integer.
fn number(value: &Value, name: &str) -> Result<u64, ApiError> {
    let number = value[name].as_u64();
    number.ok_or_else(|| ApiError::bad_request(format!("{name}: found {}, must be a whole number from 0", value[name])))
}

/// Parses a limit. `base` is the limit version that it is based on; `config` provides the known services, models and
/// routes.
///
/// # Errors
///
/// Returns which part of the request is missing, malformed or unknown.
pub fn parse_limit(
    text: &str,
    base: Option<u64>,
    target: &LimitTarget,
    config: &Config,
) -> Result<StalenessLimitChange, ApiError> {
    let value = parse_json(text)?;
    check_target(target, config)?;
    let base = base.ok_or_else(missing_if_match)?;
    let routes = routes(&value, &target.service, config)?;
    let (latest, lag) = (number(&value, "latest")?, number(&value, "lag")?);
    Ok(StalenessLimitChange::Replace { base, latest, lag, routes })
}

fn check_target(target: &LimitTarget, config: &Config) -> Result<(), ApiError> {
    let LimitTarget { service, model } = target;
    let Some(item) = config.service_table.iter().find(|item| item.name == *service) else {
        return Err(unknown_service(service));
    };
    match models(item).any(|name| name == model) {
        true => Ok(()),
        false => Err(ApiError::not_found(format!("model `{model}`: not known in service `{service}`"))),
    }
}

/// Returns the error for a service that is not in the configuration.
pub fn unknown_service(service: &str) -> ApiError {
    ApiError::not_found(format!("service `{service}`: not known"))
}

fn models(service: &Service) -> impl Iterator<Item = &String> {
    service.engine.iter().flat_map(|engine| &engine.model_list).map(|model| &model.name)
}

/// Returns the names of the routes in a request, sorted and without duplicates.
fn routes(value: &Value, service: &str, config: &Config) -> Result<Vec<String>, ApiError> {
    let items =
        value["routes"].as_array().ok_or_else(|| ApiError::bad_request("routes: must be a list of route names"))?;
    let mut routes = Vec::new();
    for item in items {
        let name = item.as_str().unwrap_or("");
        let Some(route) = config.route_table.iter().find(|route| route.name == name) else {
            return Err(ApiError::bad_request(format!("route `{name}`: not known")));
        };
        if !config::targets(route).iter().any(|(target, _)| *target == service) {
            return Err(ApiError::bad_request(format!("route `{name}`: does not go to service `{service}`")));
        }
        routes.push(name.to_string());
    }
    routes.sort();
    routes.dedup();
    Ok(routes)
}

/// Parses the trainer's report of its latest version.
///
/// # Errors
///
/// Returns which part of the request is missing or malformed.
pub fn parse_latest(text: &str) -> Result<StalenessLimitChange, ApiError> {
    let latest = number(&parse_json(text)?, "latest")?;
    Ok(StalenessLimitChange::Raise { latest })
}

/// Parses a request to roll back to an older version.
///
/// # Errors
///
/// Returns which part of the request is missing or malformed.
pub fn parse_rollback(text: &str) -> Result<StalenessLimitChange, ApiError> {
    let value = parse_json(text)?;
    let latest = number(&value, "latest")?;
    let reason = value["reason"].as_str().unwrap_or("").trim().to_string();
    if reason.is_empty() {
        return Err(ApiError::bad_request("reason: missing, a rollback must give one"));
    }
    Ok(StalenessLimitChange::RollBack { latest, reason })
}

/// Executes a change: commits it and waits until the resulting limit is in force everywhere.
pub async fn execute(controller: &Controller, target: &LimitTarget, change: &StalenessLimitChange) -> ApiResponse {
    let key = target.key();
    let version = match commit(controller, &key, target, change).await {
        Ok(version) => version,
        Err(response) => return response,
    };
    if !controller.wait_for_confirmations(&key, version).await {
        kernel::log_event!(STALENESS_LIMIT_UNCONFIRMED, "rule" => key.as_str(), "version" => version);
        return ApiResponse::OutcomeUnknown;
    }
    kernel::log_event!(STALENESS_LIMIT_ENFORCED, "rule" => key.as_str(), "version" => version);
    ApiResponse::json(&serde_json::json!({ "rule": key, "version": version }))
}

/// Commits a change and returns the resulting version of the limit, or the response to send on failure.
async fn commit(
    controller: &Controller,
    key: &str,
    target: &LimitTarget,
    change: &StalenessLimitChange,
) -> Result<u64, ApiResponse> {
    let decide = |body: &[u8]| {
        let stored = StalenessLimit::from_bytes(body);
        if stored.is_none() && !body.is_empty() {
            return Decision::Answer(Err(ApiResponse::OutcomeUnknown));
        }
        match decide(stored.as_ref(), change) {
            Ok(None) => Decision::Answer(Ok(stored.map_or(0, |stored| stored.version))),
            Ok(Some(next)) => {
                let next = StalenessLimit { service: target.service.clone(), model: target.model.clone(), ..next };
                Decision::Write(next.to_bytes(), Ok(next.version))
            }
            Err(error) => Decision::Answer(Err(error.into())),
        }
    };
    let result = controller.change(key, request_timeout_ms(controller), decide).await;
    result.unwrap_or(Err(ApiResponse::OutcomeUnknown))
}

#[cfg(test)]
#[path = "staleness_limits_tests.rs"]
mod tests;
