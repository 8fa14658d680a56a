//! The resources of tallies: `POST` and `GET /tallies/ID`, `GET /tallies` for all totals, and `GET /tally_usage`.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::clock;
use poem::{Endpoint, Request};
use protocol::tally::TallyEntry;
use serde_json::value::RawValue;
use serde_json::{json, Map, Value};

use crate::api::operator_requests;
use crate::api::request::read_text;
use crate::api::response::{ApiError, ApiResponse};
use crate::controller::Controller;
use crate::metrics::Metrics;
use crate::tallies::{AddOutcome, Refusal, Tallies, TallyReplica, TallyUsage};

/// The largest body of an add, in bytes.
const MAX_BODY_BYTES: usize = 4096;
/// The retry delay reported with a refused request, in ms.
const RETRY_AFTER_MS: u64 = 300;
/// The HTTP status of an add that is logged but was not acknowledged in time.
const UNCONFIRMED_STATUS: u16 = 504;

/// One tally: add to it or read its total.
pub struct TallyResource(pub Arc<Controller>);

/// The totals of all tallies.
pub struct TallyCollection(pub Arc<Controller>);

/// The capacity that tallies use at this controller.
pub struct TallyUsageResource(pub Arc<Controller>);

/// Redirects to the nearest replica, for a controller that stores no tallies.
fn redirect_to_replica(controller: &Controller, path: &str) -> ApiResponse {
    let Tallies::Redirect(directory) = &controller.tallies else { return overloaded() };
    let zone = &controller.settings.zone;
    let is_same_zone = |ip: &str| controller.peers.read(|view| view.zone_of(ip) == zone);
    let own = controller.settings.bind_addresses.control_plane.as_deref();
    let replica = directory.nearest(is_same_zone, clock::now());
    let address = own.zip(replica).and_then(|(own, replica)| operator_requests::control_address(own, &replica));
    match address {
        Some(address) => ApiResponse::Redirect { address, path: path.into() },
        None => overloaded(),
    }
}

fn overloaded() -> ApiResponse {
    ApiResponse::Overloaded { retry_after_ms: RETRY_AFTER_MS }
}

/// Parses an add.
///
/// # Errors
///
/// Returns which field is missing or invalid.
fn parse_add(tally: &str, text: &str) -> Result<TallyEntry, ApiError> {
    let value: Map<String, Value> =
        serde_json::from_str(text).map_err(|error| ApiError::bad_request(format!("body: {error}")))?;
    let instance_id = value.get("instance_id").and_then(Value::as_str);
    let instance_id = instance_id.ok_or_else(|| ApiError::bad_request("instance_id: missing or not a string"))?;
    let found = value.get("actor").ok_or_else(|| ApiError::bad_request("actor: missing"))?;
    let amount = found.as_u64().ok_or_else(|| {
        ApiError::bad_request(format!("actor: found {found}, must be an integer from 0 to {}", tally::MAX_AMOUNT))
    })?;
    let entry = TallyEntry { tally: tally.into(), instance_id: instance_id.into(), amount };
    tally::check_entry(&entry).map_err(|error| ApiError::bad_request(error.to_string()))?;
    Ok(entry)
}

async fn add(replica: &TallyReplica, entry: TallyEntry, metrics: &Metrics) -> ApiResponse {
    let outcome = replica.add(entry).await;
    metrics.record_add(outcome);
    match outcome {
        AddOutcome::Acknowledged => ApiResponse::Done,
        AddOutcome::Refused(Refusal::CatchingUp | Refusal::DiskStalled | Refusal::Full | Refusal::TooFewReplicas) => {
            overloaded()
        }
        AddOutcome::Unconfirmed => {
            ApiError::new(UNCONFIRMED_STATUS, "too few disks confirmed the add in time: it may still be counted").into()
        }
    }
}

/// The total is formatted as text, since it may exceed 64 bits.
fn total_json(total: u128) -> ApiResponse {
    ApiResponse::Json(format!("{{\"total\":{total}}}").into_bytes())
}

fn totals_json(totals: Vec<(String, u128)>) -> ApiResponse {
    let number = |total: u128| RawValue::from_string(total.to_string()).ok();
    let totals: BTreeMap<String, Option<Box<RawValue>>> =
        totals.into_iter().map(|(name, total)| (name, number(total))).collect();
    match serde_json::to_vec(&totals) {
        Ok(text) => ApiResponse::Json([b"{\"tallies\":".as_slice(), &text, b"}"].concat()),
        Err(_) => overloaded(),
    }
}

/// `used_share` is rounded to thousandths.
fn usage_json(usage: TallyUsage) -> ApiResponse {
    let value = json!({
        "sealed_entries": usage.counts.sealed,
        "unsealed_entries": usage.counts.unsealed,
        "tallies": usage.counts.tallies,
        "used_share": (usage.used_share * 1000.0).round() / 1000.0,
        "replicas_known": usage.known,
        "replicas_in_reach": usage.in_reach,
    });
    ApiResponse::Json(value.to_string().into_bytes())
}

impl TallyResource {
    async fn respond(&self, request: &mut Request) -> Result<ApiResponse, ApiError> {
        let name = request.path_params::<String>().unwrap_or_default();
        let entry = match request.method().as_str() {
            "GET" => None,
            "POST" => Some(parse_add(&name, &read_text(request, MAX_BODY_BYTES, &self.0.memory).await?)?),
            _ => return Err(ApiError::method_not_allowed("method: GET or POST")),
        };
        let Tallies::Replica(replica) = &self.0.tallies else {
            return Ok(redirect_to_replica(&self.0, request.uri().path()));
        };
        Ok(match entry {
            Some(entry) => add(replica, entry, &self.0.metrics).await,
            None => replica.total(&name).map_or_else(overloaded, total_json),
        })
    }
}

impl Endpoint for TallyResource {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        Ok(self.respond(&mut request).await.into())
    }
}

impl Endpoint for TallyCollection {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if request.method().as_str() != "GET" {
            return Ok(ApiError::method_not_allowed("method: GET").into());
        }
        Ok(match &self.0.tallies {
            Tallies::Replica(replica) => replica.totals().map_or_else(overloaded, totals_json),
            Tallies::Redirect(_) => redirect_to_replica(&self.0, request.uri().path()),
        })
    }
}

impl Endpoint for TallyUsageResource {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        if request.method().as_str() != "GET" {
            return Ok(ApiError::method_not_allowed("method: GET").into());
        }
        Ok(match &self.0.tallies {
            Tallies::Replica(replica) => usage_json(replica.usage()),
            Tallies::Redirect(_) => redirect_to_replica(&self.0, request.uri().path()),
        })
    }
}

#[cfg(test)]
#[path = "tallies_tests.rs"]
mod tests;
