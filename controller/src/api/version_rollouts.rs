//! The operator's calls on rollouts of versions: starting one, and where it stands.

use std::sync::Arc;

use poem::{Endpoint, Request, Response};
use protocol::version_rollout::{RolloutState, VersionRollout};
use serde_json::Value;

use crate::api::routes::{self, Receipt};
use crate::controller::Controller;
use crate::replication::registers::Decision;

/// The longest that a rollout may take.
const LONGEST_S: f64 = 7.0 * 86_400.0;

/// An order to bring a version in.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutRequest {
    pub service: String,
    pub target: String,
    pub duration_ms: u64,
}

/// What is wrong with an order: a status and words.
pub type Refusal = (u16, String);

impl RolloutRequest {
    /// Reads an order; `knows`: is there a service of this name?
    pub fn read(text: &str, knows: impl Fn(&str) -> bool) -> Result<RolloutRequest, Refusal> {
        let value: Value = serde_json::from_str(text).map_err(|error| (400, format!("body: {error}")))?;
        let word = |name: &str| {
            let text = value[name].as_str().filter(|text| !text.trim().is_empty());
            text.map(str::to_string).ok_or_else(|| (400, format!("{name}: found {}, must be a name", value[name])))
        };
        let (service, target) = (word("service")?, word("target_version")?);
        if !knows(&service) {
            return Err((404, format!("service `{service}`: not known")));
        }
        let duration_s = value["duration_s"].as_f64().filter(|time| *time > 0.0 && *time <= LONGEST_S);
        let duration_s = duration_s.ok_or_else(|| {
            (400, format!("duration_s: found {}, must be a number above 0, {LONGEST_S} at most", value["duration_s"]))
        })?;
        Ok(RolloutRequest { service, target, duration_ms: (duration_s * 1000.0) as u64 })
    }

    /// What the order comes to on top of the newest rollout. Ok(None): it was taken before.
    pub fn on(&self, held: Option<&VersionRollout>) -> Result<Option<VersionRollout>, Refusal> {
        let fresh = VersionRollout {
            service: self.service.clone(),
            number: 1,
            order: 1,
            target: self.target.clone(),
            duration_ms: self.duration_ms,
            state: RolloutState::Active,
            share: 0,
            elapsed_ms: 0,
            stable: None,
            reverted: Vec::new(),
            reason: String::new(),
        };
        let Some(held) = held else { return Ok(Some(fresh)) };
        if held.target == self.target && held.duration_ms == self.duration_ms {
            return Ok(None);
        }
        if held.state == RolloutState::Active {
            return Err((409, format!("rollout: version {} is being brought in", held.target)));
        }
        let stable = match held.state {
            RolloutState::Complete => Some(held.target.clone()),
            _ => held.stable.clone(),
        };
        if stable.as_ref() == Some(&self.target) {
            return Err((400, format!("target_version: {} is in place", self.target)));
        }
        let mut reverted = held.reverted.clone();
        reverted.retain(|version| *version != self.target);
        Ok(Some(VersionRollout { number: held.number + 1, order: held.order + 1, stable, reverted, ..fresh }))
    }
}

/// Starts a rollout.
pub async fn start(controller: &Arc<Controller>, text: &str) -> Receipt {
    if controller.peers.requests_may_be_stale() {
        return Receipt::Unclear;
    }
    let config = controller.committed.current_config();
    let Some(config) = config else { return Receipt::Unclear };
    let knows = |name: &str| config.config().service_table.iter().any(|service| service.name == name);
    let order = match RolloutRequest::read(text, knows) {
        Ok(order) => order,
        Err((status, words)) => return Receipt::Bad(status, words),
    };
    let judge = |body: &[u8]| {
        let held = VersionRollout::from_bytes(body);
        if held.is_none() && !body.is_empty() {
            return Decision::Answer(Receipt::Unclear);
        }
        match order.on(held.as_ref()) {
            Ok(None) => Decision::Answer(Receipt::Good),
            Ok(Some(next)) => Decision::Write(next.to_bytes(), Receipt::Good),
            Err((status, words)) => Decision::Answer(Receipt::Bad(status, words)),
        }
    };
    let key = VersionRollout::key(&order.service);
    controller.change(&key, routes::wait_ms(controller), judge).await.unwrap_or(Receipt::Unclear)
}

/// Where the newest rollout of a service stands.
pub struct Rollout(pub Arc<Controller>);

impl Rollout {
    async fn read(&self, service: &str) -> Receipt {
        let judge = |body: &[u8]| Decision::Answer((VersionRollout::from_bytes(body), body.is_empty()));
        let key = VersionRollout::key(service);
        match self.0.change(&key, routes::wait_ms(&self.0), judge).await {
            Some((Some(rollout), _)) => Receipt::Text(shown(&rollout).to_string().into_bytes()),
            Some((None, true)) => Receipt::Bad(404, format!("service `{service}`: no rollout")),
            _ => Receipt::Unclear,
        }
    }
}

/// A rollout as operators see it.
fn shown(rollout: &VersionRollout) -> Value {
    serde_json::json!({"oper_state": rollout.state.as_str(), "target_version": rollout.target,
        "share": f64::from(rollout.share) / 1000.0, "reason": rollout.reason, "reverted": rollout.reverted})
}

impl Endpoint for Rollout {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let service = req.path_params::<String>().unwrap_or_default();
        let receipt = match req.method().as_str() {
            "GET" => self.read(&service).await,
            _ => Receipt::Bad(405, "method: GET".into()),
        };
        Ok(routes::write(receipt))
    }
}

#[cfg(test)]
#[path = "version_rollouts_tests.rs"]
mod tests;
