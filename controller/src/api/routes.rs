//! The operator's calls: one handler object a resource. A receipt is a small value; one place
//! writes it.

use std::sync::Arc;
use std::time::Duration;

use kernel::log;
use poem::error::ReadBodyError;
use poem::http::{HeaderValue, StatusCode};
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Route, Server};
use protocol::config::MAX_TEXT_BYTES;
use protocol::operator_request::{ConfigChange, OperatorRequest, OperatorResponse};
use protocol::socket::{self, IO_TIMEOUT_MS};
use socket2::SockRef;
use tokio::time;

use crate::api::operator_requests;
use crate::api::staleness_limits::{Latest, LimitResource, Rollouts};
use crate::api::version_rollouts::Rollout;
use crate::batches::records::{Batches, One, Results};
use crate::config::body::Held;
use crate::controller::Controller;
use crate::event::{REFUSED, UNCLEAR};
use crate::metrics::{OrderOutcome, OrderTimer};
use crate::quota_shards::fleet_usage;
use crate::shutdown::Shutdown;

pub use crate::api::operator_requests::wait_ms;

pub enum Receipt {
    Good,
    Text(Vec<u8>),
    /// Status and what is wrong.
    Bad(u16, String),
    /// No room; come back after so many ms.
    Full(u64),
    Unclear,
    /// Another controller is to be asked: its address and the path.
    Elsewhere(String, String),
}

pub fn write(receipt: Receipt) -> Response {
    let json = |status: u16, body: Vec<u8>| {
        let code = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Response::builder().status(code).content_type("application/json").body(body)
    };
    match receipt {
        Receipt::Good => json(200, b"{}".to_vec()),
        Receipt::Text(body) => json(200, body),
        Receipt::Bad(status, words) => {
            kernel::log_event!(REFUSED, "status" => status, "error" => words.clone());
            json(status, serde_json::json!({ "error": words }).to_string().into_bytes())
        }
        Receipt::Full(wait) => {
            let mut reply = json(503, serde_json::json!({ "error": "no room for it now" }).to_string().into_bytes());
            if let Ok(value) = HeaderValue::from_str(&format!("{:.1}", wait as f64 / 1000.0)) {
                reply.headers_mut().insert("retry-after", value);
            }
            reply
        }
        Receipt::Elsewhere(address, path) => {
            let mut reply = json(307, b"{}".to_vec());
            if let Ok(value) = HeaderValue::from_str(&format!("http://{address}{path}")) {
                reply.headers_mut().insert("location", value);
            }
            reply
        }
        Receipt::Unclear => {
            kernel::log_event!(UNCLEAR);
            let mut reply =
                json(503, serde_json::json!({ "error": "no majority answered in time" }).to_string().into_bytes());
            reply.headers_mut().insert("retry-after", HeaderValue::from_static("0.3"));
            reply
        }
    }
}

struct Config(Arc<Controller>);
struct Evacuation(Arc<Controller>);

impl Config {
    async fn read(&self) -> Receipt {
        submit(&self.0, CONFIG_PATH.into(), OperatorRequest::ReadConfig).await
    }

    async fn change(&self, base: Option<u64>, text: String, partial: bool) -> Receipt {
        let Some(base) = base else { return Receipt::Bad(400, "If-Match: missing or not a number".into()) };
        let order = OperatorRequest::Change(ConfigChange { base, text, partial });
        submit(&self.0, CONFIG_PATH.into(), order).await
    }
}

const CONFIG_PATH: &str = "/config";

async fn submit(controller: &Arc<Controller>, path: String, order: OperatorRequest) -> Receipt {
    let timer = OrderTimer::start(&controller.metrics, &order);
    if let Some(address) = operator_requests::better_place(controller, &order) {
        timer.finish(OrderOutcome::Redirected);
        return Receipt::Elsewhere(address, path);
    }
    let result = operator_requests::submit(controller, order).await;
    timer.finish((&result).into());
    match result {
        OperatorResponse::Found { body } => found(&body),
        result => told(result),
    }
}

fn found(body: &[u8]) -> Receipt {
    match Held::open(body) {
        Some(held) if held.revision > 0 => Receipt::Text(held.text.into_bytes()),
        Some(_) => Receipt::Bad(404, "no configuration yet".into()),
        None => Receipt::Unclear,
    }
}

fn told(result: OperatorResponse) -> Receipt {
    match result {
        OperatorResponse::Done => Receipt::Good,
        OperatorResponse::Rejected { status, reason } => Receipt::Bad(status, reason),
        OperatorResponse::Found { .. } | OperatorResponse::OutcomeUnknown => Receipt::Unclear,
    }
}

impl Evacuation {
    async fn set(&self, zone: &str, on: bool) -> Receipt {
        if !self.0.settings.zones.contains_key(zone) {
            return Receipt::Bad(404, format!("zone `{zone}`: not known"));
        }
        submit(&self.0, format!("/evacuation/{zone}"), OperatorRequest::Evacuate { zone: zone.into(), on }).await
    }
}

/// The last log events of this controller, for the tracer.
struct Journal;

/// Who is there as this controller sees it, and which configuration each router has in force.
struct Fleet(Arc<Controller>);

impl Endpoint for Journal {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        let list: Vec<String> = log::events_since(0).into_iter().map(|line| line.event).collect();
        Ok(write(Receipt::Text(serde_json::json!({ "events": list }).to_string().into_bytes())))
    }
}

impl Endpoint for Fleet {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        Ok(write(Receipt::Text(self.0.fleet().to_string().into_bytes())))
    }
}

/// What tenants have used of their limits, over all routers.
struct Tenants(Arc<Controller>);

impl Endpoint for Tenants {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        let usage = fleet_usage(&self.0).await;
        Ok(write(Receipt::Text(usage.to_string().into_bytes())))
    }
}

impl Endpoint for Config {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let patch = match req.method().as_str() {
            "GET" => return Ok(write(self.read().await)),
            "PUT" => false,
            "PATCH" => true,
            _ => return Ok(write(Receipt::Bad(405, "method: GET, PUT or PATCH".into()))),
        };
        let base = req.header("if-match").and_then(|value| value.trim().trim_matches('"').parse().ok());
        let body = match req.take_body().into_bytes_limit(MAX_TEXT_BYTES).await {
            Ok(body) => body,
            Err(ReadBodyError::PayloadTooLarge) => {
                return Ok(write(Receipt::Bad(413, "body: too large".into())));
            }
            Err(_) => return Ok(write(Receipt::Bad(400, "body: cut short".into()))),
        };
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return Ok(write(Receipt::Bad(400, "body: not UTF-8".into())));
        };
        Ok(write(self.change(base, text, patch).await))
    }
}

impl Endpoint for Evacuation {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let on = match req.method().as_str() {
            "POST" => true,
            "DELETE" => false,
            _ => return Ok(write(Receipt::Bad(405, "method: POST or DELETE".into()))),
        };
        let zone = req.path_params::<String>().unwrap_or_default();
        Ok(write(self.set(&zone, on).await))
    }
}

pub fn start(controller: &Arc<Controller>) {
    let Some(addr) = controller.settings.bind_addresses.control_plane.clone() else { return };
    let app = Arc::new(
        Route::new()
            .at(CONFIG_PATH, Config(controller.clone()))
            .at("/journal", Journal)
            .at("/fleet", Fleet(controller.clone()))
            .at("/tenants", Tenants(controller.clone()))
            .at("/batches", Batches(controller.clone()))
            .at("/batches/:id", One(controller.clone()))
            .at("/batches/:id/results", Results(controller.clone()))
            .at("/rollouts", Rollouts(controller.clone()))
            .at("/rollouts/:service", Rollout(controller.clone()))
            .at("/rollouts/:service/:model", LimitResource(controller.clone()))
            .at("/rollouts/:service/:model/latest", Latest(controller.clone(), false))
            .at("/rollouts/:service/:model/rollback", Latest(controller.clone(), true))
            .at("/evacuation/:zone", Evacuation(controller.clone())),
    );
    let inner = controller.clone();
    controller.shutdown.spawn(async move {
        while !inner.shutdown.is_closing() {
            serve(&addr, app.clone(), &inner.shutdown).await;
        }
    });
}

/// The pause before a socket that can't be had is tried again.
const LISTEN_RETRY: Duration = Duration::from_millis(200);
/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers until the process closes, and then finishes what is under way.
async fn serve(addr: &str, app: Arc<Route>, shutdown: &Shutdown) {
    let Ok(listener) = socket::listen(addr) else {
        time::sleep(LISTEN_RETRY).await;
        return;
    };
    let sock = SockRef::from(&listener);
    let _ = sock.set_tcp_user_timeout(Some(Duration::from_millis(IO_TIMEOUT_MS)));
    let Ok(acceptor) = TcpAcceptor::from_tokio(listener) else { return };
    let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
    let _ = server.run_with_graceful_shutdown(app, shutdown.closing(), None).await;
}

#[cfg(test)]
#[path = "routes_tests.rs"]
mod tests;
