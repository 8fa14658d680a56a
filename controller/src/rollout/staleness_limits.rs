//! Limits on stale weights at the operator's door. One key of the ledger a service and model.

use protocol::config::{self, Config};
use protocol::message::StalenessLimit;
use serde_json::Value;

use crate::api::routes::{self, Receipt};
use crate::controller::Controller;
use crate::event::{RULE, UNSETTLED};
use crate::replication::registers::Decision;

/// What a call asks of a rule.
pub enum LimitChange {
    /// The whole rule; the version it builds on, 0 for the first.
    Put {
        base: u64,
        latest: u64,
        lag: u64,
        routes: Vec<String>,
    },
    /// The trainer has a newer version.
    Latest(u64),
    /// An older one is to be served again, and why.
    Rollback {
        latest: u64,
        reason: String,
    },
    Remove {
        base: u64,
    },
}

/// What an ask comes to on top of what is held. Ok(None): it holds already.
pub fn verdict(held: Option<&StalenessLimit>, ask: &LimitChange) -> Result<Option<StalenessLimit>, (u16, String)> {
    let live = held.filter(|held| !held.removed);
    let version = held.map_or(0, |held| held.version);
    let seen = live.map_or(0, |held| held.version);
    let base_of = |base: u64| match base == seen {
        true => Ok(()),
        false => Err((412, format!("If-Match: found {base}, version {seen} is current"))),
    };
    let none = || (404, "no rule for this service and model".to_string());
    match ask {
        LimitChange::Put { base, latest, lag, routes } => {
            let same = |held: &StalenessLimit| held.latest == *latest && held.lag == *lag && held.routes == *routes;
            if live.is_some_and(same) {
                return Ok(None);
            }
            base_of(*base)?;
            if live.is_some_and(|held| *latest < held.latest) {
                return Err((400, format!("latest: found {latest}, goes back; a rollback says so and why")));
            }
            let next = held.cloned().unwrap_or_default();
            let (latest, lag, routes) = (*latest, *lag, routes.clone());
            Ok(Some(StalenessLimit { version: version + 1, latest, lag, routes, removed: false, ..next }))
        }
        LimitChange::Latest(latest) => {
            let held = live.ok_or_else(none)?;
            if *latest < held.latest {
                return Err((400, format!("latest: found {latest}, {} was reported; a rollback says so", held.latest)));
            }
            let next = StalenessLimit { version: version + 1, latest: *latest, ..held.clone() };
            Ok((*latest > held.latest).then_some(next))
        }
        LimitChange::Rollback { latest, reason } => {
            let held = live.ok_or_else(none)?;
            if held.latest == *latest && held.reason == *reason {
                return Ok(None);
            }
            if *latest >= held.latest {
                return Err((400, format!("latest: found {latest}, not older than {}", held.latest)));
            }
            let (rollbacks, reason) = (held.rollbacks + 1, reason.clone());
            Ok(Some(StalenessLimit { version: version + 1, latest: *latest, rollbacks, reason, ..held.clone() }))
        }
        LimitChange::Remove { base } => {
            let Some(held) = live else { return if held.is_some() { Ok(None) } else { Err(none()) } };
            base_of(*base)?;
            Ok(Some(StalenessLimit { version: version + 1, removed: true, ..held.clone() }))
        }
    }
}

/// A number that is there and not negative.
fn number(value: &Value, name: &str) -> Result<u64, (u16, String)> {
    value[name].as_u64().ok_or_else(|| (400, format!("{name}: found {}, must be a whole number from 0", value[name])))
}

/// Reads a call's body. `config`: what routes and services there are.
pub fn read(
    text: &str,
    base: Option<u64>,
    (service, model): (&str, &str),
    config: &Config,
) -> Result<LimitChange, (u16, String)> {
    let value: Value = serde_json::from_str(text).map_err(|error| (400, format!("body: {error}")))?;
    let Some(spec) = config.service_table.iter().find(|item| item.name == service) else {
        return Err((404, format!("service `{service}`: not known")));
    };
    let models = spec.engine.as_ref().map(|engine| engine.model_list.as_slice()).unwrap_or_default();
    if !models.iter().any(|item| item.name == model) {
        return Err((404, format!("model `{model}`: service `{service}` has none of that name")));
    }
    let base = base.ok_or((400, "If-Match: missing or not a number".to_string()))?;
    let mut routes = Vec::new();
    for item in value["routes"].as_array().ok_or((400, "routes: not a list of names".to_string()))? {
        let name = item.as_str().unwrap_or("");
        let Some(route) = config.route_table.iter().find(|route| route.name == name) else {
            return Err((400, format!("route `{name}`: not known")));
        };
        if !config::targets(route).iter().any(|(target, _)| *target == service) {
            return Err((400, format!("route `{name}`: does not go to service `{service}`")));
        }
        routes.push(name.to_string());
    }
    routes.sort();
    routes.dedup();
    Ok(LimitChange::Put { base, latest: number(&value, "latest")?, lag: number(&value, "lag")?, routes })
}

/// Reads what the trainer or a rollback says.
pub fn read_latest(text: &str, rollback: bool) -> Result<LimitChange, (u16, String)> {
    let value: Value = serde_json::from_str(text).map_err(|error| (400, format!("body: {error}")))?;
    let latest = number(&value, "latest")?;
    if !rollback {
        return Ok(LimitChange::Latest(latest));
    }
    let reason = value["reason"].as_str().unwrap_or("").trim().to_string();
    if reason.is_empty() {
        return Err((400, "reason: a rollback says why".into()));
    }
    Ok(LimitChange::Rollback { latest, reason })
}

/// Carries an ask out: committed, then waited for until it binds everywhere.
pub async fn carry(controller: &Controller, key: &str, (service, model): (&str, &str), ask: LimitChange) -> Receipt {
    let judge = |body: &[u8]| {
        let held = StalenessLimit::from_bytes(body);
        if held.is_none() && !body.is_empty() {
            return Decision::Answer(Err(Receipt::Unclear));
        }
        match verdict(held.as_ref(), &ask) {
            Ok(None) => Decision::Answer(Ok(held.map_or(0, |held| held.version))),
            Ok(Some(next)) => {
                let next = StalenessLimit { service: service.into(), model: model.into(), ..next };
                Decision::Write(next.to_bytes(), Ok(next.version))
            }
            Err((status, words)) => Decision::Answer(Err(Receipt::Bad(status, words))),
        }
    };
    let version = match controller.change(key, routes::wait_ms(controller), judge).await {
        Some(Ok(version)) => version,
        Some(Err(receipt)) => return receipt,
        None => return Receipt::Unclear,
    };
    if !controller.settle_rule(key, version).await {
        kernel::log_event!(UNSETTLED, "rule" => key, "version" => version);
        return Receipt::Unclear;
    }
    kernel::log_event!(RULE, "rule" => key, "version" => version);
    Receipt::Text(serde_json::json!({ "rule": key, "version": version }).to_string().into_bytes())
}

#[cfg(test)]
#[path = "staleness_limits_tests.rs"]
mod tests;
