//! The resources of rollouts: a rule, the trainer's latest, a rollback, and the state of it all.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use load_balancing::EndpointLists;
use poem::http::Method;
use poem::{Endpoint, Request, Response};
use protocol::message::{StalenessLimit, WeightVersions, STALENESS_LIMIT_PREFIX};
use serde_json::{Map, Value};

use crate::api::routes::{self, Receipt};
use crate::api::version_rollouts;
use crate::controller::Controller;
use crate::rollout::staleness_limits::{self, LimitChange};

/// Largest body taken.
const BODY: usize = 256 * 1024;

pub struct Rollouts(pub Arc<Controller>);
pub struct LimitResource(pub Arc<Controller>);
/// The trainer's latest; true: a rollback.
pub struct Latest(pub Arc<Controller>, pub bool);

fn key(service: &str, model: &str) -> String {
    format!("{}{service}/{model}", STALENESS_LIMIT_PREFIX)
}

fn named(req: &Request) -> (String, String) {
    req.path_params::<(String, String)>().unwrap_or_default()
}

async fn text(req: &mut Request) -> Result<String, Receipt> {
    let body = req.take_body().into_bytes_limit(BODY).await;
    let body = body.map_err(|_| Receipt::Bad(413, format!("body: cut short or over {BODY} bytes")))?;
    String::from_utf8(body.to_vec()).map_err(|_| Receipt::Bad(400, "body: not UTF-8".into()))
}

fn base(req: &Request) -> Option<u64> {
    req.header("if-match")?.trim().trim_matches('"').parse().ok()
}

impl LimitResource {
    async fn put(&self, req: &mut Request) -> Result<Receipt, Receipt> {
        let ((service, model), base) = (named(req), base(req));
        let text = text(req).await?;
        let config = self.0.committed.current_config();
        let config = config.ok_or_else(|| Receipt::Bad(409, "no configuration yet: no routes".into()))?;
        let ask = staleness_limits::read(&text, base, (&service, &model), config.config());
        let ask = ask.map_err(|(status, words)| Receipt::Bad(status, words))?;
        let names = (service.as_str(), model.as_str());
        Ok(staleness_limits::carry(&self.0, &key(&service, &model), names, ask).await)
    }

    async fn remove(&self, req: &Request) -> Receipt {
        let (service, model) = named(req);
        let Some(base) = base(req) else { return Receipt::Bad(400, "If-Match: missing or not a number".into()) };
        let ask = LimitChange::Remove { base };
        staleness_limits::carry(&self.0, &key(&service, &model), (&service, &model), ask).await
    }

    /// The rule and how far it holds: replicas by zone and half, routers that confirmed.
    async fn state(&self, service: &str, model: &str) -> Receipt {
        let key = key(service, model);
        let rule = self.0.committed.staleness_limit(&key);
        let Some(rule) = rule.filter(|rule| !rule.removed) else {
            return Receipt::Bad(404, "no rule for this service and model".into());
        };
        let replies = self.0.ask_settled(&key, rule.version).await;
        let (all, good) = replies.iter().flatten().fold((0, 0), |sum, (all, good)| (sum.0 + all, sum.1 + good));
        let silent = replies.iter().filter(|reply| reply.is_none()).count();
        let value = serde_json::json!({
            "service": service, "model": model, "version": rule.version, "latest": rule.latest, "lag": rule.lag,
            "floor": rule.floor(), "routes": rule.routes, "rollbacks": rule.rollbacks, "reason": rule.reason,
            "replicas": self.replicas(&rule), "routers": all, "routers_confirmed": good, "keepers_silent": silent,
        });
        Receipt::Text(value.to_string().into_bytes())
    }

    fn replicas(&self, rule: &StalenessLimit) -> Value {
        self.0.engines.read_with_weights(|sheets, weights| replicas(sheets, weights, rule))
    }
}

fn replicas(sheets: &EndpointLists, weights: &BTreeMap<String, WeightVersions>, rule: &StalenessLimit) -> Value {
    let versions: HashMap<&str, u64> = weights
        .values()
        .flat_map(|list| &list.list)
        .filter(|weights| weights.model == rule.model)
        .map(|weights| (weights.engine.as_str(), weights.version))
        .collect();
    let mut zones: BTreeMap<&str, BTreeMap<&str, [u32; 3]>> = Default::default();
    let engines = sheets.iter().flat_map(|sheet| &sheet.engines).filter(|engine| engine.service == rule.service);
    for engine in engines.filter(|engine| engine.up) {
        let half = if engine.phase.is_empty() { "whole" } else { engine.phase.as_str() };
        let place = match versions.get(engine.id.as_str()) {
            Some(version) if *version >= rule.floor() => 0,
            Some(_) => 1,
            None => 2,
        };
        zones.entry(&engine.zone).or_default().entry(half).or_default()[place] += 1;
    }
    let halves = |counts: &[u32; 3]| serde_json::json!({"inside": counts[0], "past": counts[1], "unknown": counts[2]});
    let zone = |(zone, list): (&&str, &BTreeMap<&str, [u32; 3]>)| {
        let list: Map<String, Value> = list.iter().map(|(half, counts)| (half.to_string(), halves(counts))).collect();
        (zone.to_string(), Value::Object(list))
    };
    Value::Object(zones.iter().map(zone).collect())
}

impl Endpoint for Rollouts {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        if req.method() == Method::POST {
            let receipt = match text(&mut req).await {
                Ok(text) => version_rollouts::start(&self.0, &text).await,
                Err(receipt) => receipt,
            };
            return Ok(routes::write(receipt));
        }
        let shown = |rule: &StalenessLimit| {
            serde_json::json!({"service": rule.service, "model": rule.model, "version": rule.version,
                    "floor": rule.floor(), "latest": rule.latest, "lag": rule.lag, "routes": rule.routes})
        };
        let list: Vec<Value> =
            self.0.committed.read(|state| state.rules.values().filter(|rule| !rule.removed).map(shown).collect());
        let body = serde_json::json!({ "rollouts": list }).to_string().into_bytes();
        Ok(routes::write(Receipt::Text(body)))
    }
}

impl Endpoint for LimitResource {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let (service, model) = named(&req);
        let receipt = match req.method().as_str() {
            "GET" => self.state(&service, &model).await,
            "PUT" => self.put(&mut req).await.unwrap_or_else(|receipt| receipt),
            "DELETE" => self.remove(&req).await,
            _ => Receipt::Bad(405, "method: GET, PUT or DELETE".into()),
        };
        Ok(routes::write(receipt))
    }
}

impl Endpoint for Latest {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        if req.method() != Method::POST {
            return Ok(routes::write(Receipt::Bad(405, "method: POST".into())));
        }
        let (service, model) = named(&req);
        let ask = match text(&mut req).await {
            Ok(text) => staleness_limits::read_latest(&text, self.1),
            Err(receipt) => return Ok(routes::write(receipt)),
        };
        let receipt = match ask {
            Ok(ask) => staleness_limits::carry(&self.0, &key(&service, &model), (&service, &model), ask).await,
            Err((status, words)) => Receipt::Bad(status, words),
        };
        Ok(routes::write(receipt))
    }
}
