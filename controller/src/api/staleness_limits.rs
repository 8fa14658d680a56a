//! The resources of staleness limits on model weights: a limit and how far it is in effect, the trainer's latest
//! version, and a rollback to an older one.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use load_balancing::EndpointLists;
use poem::http::Method;
use poem::{Endpoint, Request};
use protocol::message::{StalenessLimit, WeightVersions};
use serde::Serialize;
use serde_json::Value;

use crate::api::request::{if_match, missing_if_match, read_text};
use crate::api::response::{ApiError, ApiResponse};
use crate::api::version_rollouts;
use crate::controller::Controller;
use crate::rollout::staleness_limits::{self, LimitTarget, StalenessLimitChange};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The phase shown for replicas that serve both prefill and decode.
const UNSPLIT_PHASE: &str = "whole";

/// The collection of limits, which are listed here. A `POST` starts a version rollout.
pub struct RolloutCollection(pub Arc<Controller>);

/// The limit of one service and model.
pub struct StalenessLimitResource(pub Arc<Controller>);

/// A report of the trainer's latest version, or a rollback to an older one.
pub struct LatestVersionResource {
    /// The controller that serves the resource.
    pub controller: Arc<Controller>,
    /// The kind of report that this resource accepts.
    pub report: VersionReport,
}

/// The kind of a version report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionReport {
    /// The trainer has a newer version.
    Latest,
    /// An older version must be served again.
    Rollback,
}

/// The number of replicas in one zone and phase with weights `inside` a limit, `past` it, or of `unknown` version. The
/// JSON body has the same field names in this order.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct ReplicaCounts {
    inside: u32,
    past: u32,
    unknown: u32,
}

/// Replica counts by zone and phase.
type ReplicasByZone = BTreeMap<String, BTreeMap<String, ReplicaCounts>>;

fn target(request: &Request) -> LimitTarget {
    let (service, model) = request.path_params::<(String, String)>().unwrap_or_default();
    LimitTarget { service, model }
}

impl StalenessLimitResource {
    async fn put(&self, request: &mut Request) -> Result<ApiResponse, ApiError> {
        let (target, base) = (target(request), if_match(request));
        let text = read_text(request, MAX_BODY_BYTES, &self.0.memory).await?;
        let config = self.0.committed.current_config();
        let config = config.ok_or_else(|| ApiError::conflict("no configuration yet, so there are no routes"))?;
        let change = staleness_limits::parse_limit(&text, base, &target, config.config())?;
        Ok(staleness_limits::execute(&self.0, &target, &change).await)
    }

    async fn remove(&self, request: &Request) -> Result<ApiResponse, ApiError> {
        let base = if_match(request).ok_or_else(missing_if_match)?;
        let change = StalenessLimitChange::Remove { base };
        Ok(staleness_limits::execute(&self.0, &target(request), &change).await)
    }

    /// Returns the limit and how far it is in effect: replica counts by zone and phase, and the routers that confirmed
    /// it.
    async fn state(&self, target: &LimitTarget) -> Result<ApiResponse, ApiError> {
        let key = target.key();
        let limit = self.0.committed.staleness_limit(&key).filter(|limit| !limit.removed);
        let limit = limit.ok_or_else(staleness_limits::no_limit)?;
        let replies = self.0.collect_confirmations(&key, limit.version).await;
        let (routers, confirmed) =
            replies.iter().flatten().fold((0, 0), |sum, (total, confirmed)| (sum.0 + total, sum.1 + confirmed));
        let unresponsive = replies.iter().filter(|reply| reply.is_none()).count();
        Ok(ApiResponse::json(&serde_json::json!({
            "service": target.service, "model": target.model, "version": limit.version, "latest": limit.latest,
            "lag": limit.lag, "floor": limit.floor(), "routes": limit.routes, "rollbacks": limit.rollbacks,
            "reason": limit.reason, "replicas": self.replicas(&limit), "routers": routers,
            "routers_confirmed": confirmed, "keepers_silent": unresponsive,
        })))
    }

    fn replicas(&self, limit: &StalenessLimit) -> ReplicasByZone {
        self.0.engines.read_with_weights(|lists, weights| replicas(lists, weights, limit))
    }
}

fn replicas(
    lists: &EndpointLists,
    weights: &BTreeMap<String, WeightVersions>,
    limit: &StalenessLimit,
) -> ReplicasByZone {
    let versions: HashMap<&str, u64> = weights
        .values()
        .flat_map(|list| &list.list)
        .filter(|weights| weights.model == limit.model)
        .map(|weights| (weights.engine.as_str(), weights.version))
        .collect();
    let mut zones = ReplicasByZone::new();
    let engines = lists.iter().flat_map(|list| &list.engines);
    for engine in engines.filter(|engine| engine.service == limit.service && engine.up) {
        let phase = if engine.phase.is_empty() { UNSPLIT_PHASE } else { engine.phase.as_str() };
        let counts = zones.entry(engine.zone.clone()).or_default().entry(phase.into()).or_default();
        match versions.get(engine.id.as_str()) {
            Some(version) if *version >= limit.floor() => counts.inside += 1,
            Some(_) => counts.past += 1,
            None => counts.unknown += 1,
        }
    }
    zones
}

impl RolloutCollection {
    async fn start(&self, request: &mut Request) -> Result<ApiResponse, ApiError> {
        let text = read_text(request, MAX_BODY_BYTES, &self.0.memory).await?;
        version_rollouts::start(&self.0, &text).await
    }

    fn list(&self) -> ApiResponse {
        let limits: Vec<Value> = self.0.committed.read(|state| {
            let active = state.staleness_limits.values().filter(|limit| !limit.removed);
            active.map(limit_summary).collect()
        });
        ApiResponse::json(&serde_json::json!({ "rollouts": limits }))
    }
}

fn limit_summary(limit: &StalenessLimit) -> Value {
    serde_json::json!({
        "service": limit.service, "model": limit.model, "version": limit.version, "floor": limit.floor(),
        "latest": limit.latest, "lag": limit.lag, "routes": limit.routes,
    })
}

impl LatestVersionResource {
    async fn report(&self, request: &mut Request) -> Result<ApiResponse, ApiError> {
        if request.method() != Method::POST {
            return Err(ApiError::method_not_allowed("method: POST"));
        }
        let target = target(request);
        let text = read_text(request, MAX_BODY_BYTES, &self.controller.memory).await?;
        let change = match self.report {
            VersionReport::Latest => staleness_limits::parse_latest(&text)?,
            VersionReport::Rollback => staleness_limits::parse_rollback(&text)?,
        };
        Ok(staleness_limits::execute(&self.controller, &target, &change).await)
    }
}

impl Endpoint for RolloutCollection {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        if request.method() == Method::POST {
            return Ok(self.start(&mut request).await.into());
        }
        Ok(self.list())
    }
}

impl Endpoint for StalenessLimitResource {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        let result = match request.method().as_str() {
            "GET" => self.state(&target(&request)).await,
            "PUT" => self.put(&mut request).await,
            "DELETE" => self.remove(&request).await,
            _ => Err(ApiError::method_not_allowed("method: GET, PUT or DELETE")),
        };
        Ok(result.into())
    }
}

impl Endpoint for LatestVersionResource {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        Ok(self.report(&mut request).await.into())
    }
}
