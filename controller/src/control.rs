//! The operator's calls: one handler object a resource. A receipt is a small value; one place
//! writes it.

pub use crate::orders::wait_ms;
use protocol::order::{ConfigChange, Order, OrderResult};

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

pub fn write(receipt: Receipt) -> poem::Response {
    let json = |status: u16, body: Vec<u8>| {
        let code = poem::http::StatusCode::from_u16(status).unwrap_or(poem::http::StatusCode::INTERNAL_SERVER_ERROR);
        poem::Response::builder().status(code).content_type("application/json").body(body)
    };
    match receipt {
        Receipt::Good => json(200, b"{}".to_vec()),
        Receipt::Text(body) => json(200, body),
        Receipt::Bad(status, words) => {
            kernel::say!(crate::event::REFUSED, "status" => status, "error" => words.clone());
            json(status, serde_json::json!({ "error": words }).to_string().into_bytes())
        }
        Receipt::Full(wait) => {
            let mut reply = json(503, serde_json::json!({ "error": "no room for it now" }).to_string().into_bytes());
            if let Ok(value) = poem::http::HeaderValue::from_str(&format!("{:.1}", wait as f64 / 1000.0)) {
                reply.headers_mut().insert("retry-after", value);
            }
            reply
        }
        Receipt::Elsewhere(address, path) => {
            let mut reply = json(307, b"{}".to_vec());
            if let Ok(value) = poem::http::HeaderValue::from_str(&format!("http://{address}{path}")) {
                reply.headers_mut().insert("location", value);
            }
            reply
        }
        Receipt::Unclear => {
            kernel::say!(crate::event::UNCLEAR);
            let mut reply =
                json(503, serde_json::json!({ "error": "no majority answered in time" }).to_string().into_bytes());
            reply.headers_mut().insert("retry-after", poem::http::HeaderValue::from_static("0.3"));
            reply
        }
    }
}

struct Config(std::sync::Arc<crate::controller::Controller>);
struct Evacuation(std::sync::Arc<crate::controller::Controller>);

impl Config {
    async fn read(&self) -> Receipt {
        submit(&self.0, CONFIG_PATH.into(), Order::ReadConfig).await
    }

    async fn change(&self, base: Option<u64>, text: String, partial: bool) -> Receipt {
        let Some(base) = base else { return Receipt::Bad(400, "If-Match: missing or not a number".into()) };
        let order = Order::Change(ConfigChange { base, text, partial });
        submit(&self.0, CONFIG_PATH.into(), order).await
    }
}

const CONFIG_PATH: &str = "/config";

async fn submit(controller: &std::sync::Arc<crate::controller::Controller>, path: String, order: Order) -> Receipt {
    let timer = crate::metrics::OrderTimer::start(&controller.metrics, &order);
    if let Some(address) = crate::orders::better_place(controller, &order) {
        timer.finish(crate::metrics::OrderOutcome::Redirected);
        return Receipt::Elsewhere(address, path);
    }
    let result = crate::orders::submit(controller, order).await;
    timer.finish((&result).into());
    match result {
        OrderResult::Found { body } => found(&body),
        result => told(result),
    }
}

fn found(body: &[u8]) -> Receipt {
    match crate::config_body::Held::open(body) {
        Some(held) if held.revision > 0 => Receipt::Text(held.text.into_bytes()),
        Some(_) => Receipt::Bad(404, "no configuration yet".into()),
        None => Receipt::Unclear,
    }
}

fn told(result: OrderResult) -> Receipt {
    match result {
        OrderResult::Done => Receipt::Good,
        OrderResult::Refused { status, reason } => Receipt::Bad(status, reason),
        OrderResult::Found { .. } | OrderResult::Unclear => Receipt::Unclear,
    }
}

impl Evacuation {
    async fn set(&self, zone: &str, on: bool) -> Receipt {
        if !self.0.env.zones.contains_key(zone) {
            return Receipt::Bad(404, format!("zone `{zone}`: not known"));
        }
        submit(&self.0, format!("/evacuation/{zone}"), Order::Evacuate { zone: zone.into(), on }).await
    }
}

/// The last log events of this controller, for the tracer.
struct Journal;

/// Who is there as this controller sees it, and which configuration each router has in force.
struct Fleet(std::sync::Arc<crate::controller::Controller>);

impl poem::Endpoint for Journal {
    type Output = poem::Response;

    async fn call(&self, _: poem::Request) -> poem::Result<poem::Response> {
        let list: Vec<String> = kernel::log::since(0).into_iter().map(|(_, line)| line).collect();
        Ok(write(Receipt::Text(serde_json::json!({ "events": list }).to_string().into_bytes())))
    }
}

impl poem::Endpoint for Fleet {
    type Output = poem::Response;

    async fn call(&self, _: poem::Request) -> poem::Result<poem::Response> {
        Ok(write(Receipt::Text(self.0.fleet().to_string().into_bytes())))
    }
}

/// What tenants have used of their limits, over all routers.
struct Tenants(std::sync::Arc<crate::controller::Controller>);

impl poem::Endpoint for Tenants {
    type Output = poem::Response;

    async fn call(&self, _: poem::Request) -> poem::Result<poem::Response> {
        let usage = crate::quota::fleet_usage(&self.0).await;
        Ok(write(Receipt::Text(usage.to_string().into_bytes())))
    }
}

impl poem::Endpoint for Config {
    type Output = poem::Response;

    async fn call(&self, mut req: poem::Request) -> poem::Result<poem::Response> {
        let patch = match req.method().as_str() {
            "GET" => return Ok(write(self.read().await)),
            "PUT" => false,
            "PATCH" => true,
            _ => return Ok(write(Receipt::Bad(405, "method: GET, PUT or PATCH".into()))),
        };
        let base = req.header("if-match").and_then(|value| value.trim().trim_matches('"').parse().ok());
        let body = match req.take_body().into_bytes_limit(protocol::config::LONGEST_TEXT).await {
            Ok(body) => body,
            Err(poem::error::ReadBodyError::PayloadTooLarge) => {
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

impl poem::Endpoint for Evacuation {
    type Output = poem::Response;

    async fn call(&self, req: poem::Request) -> poem::Result<poem::Response> {
        let on = match req.method().as_str() {
            "POST" => true,
            "DELETE" => false,
            _ => return Ok(write(Receipt::Bad(405, "method: POST or DELETE".into()))),
        };
        let zone = req.path_params::<String>().unwrap_or_default();
        Ok(write(self.set(&zone, on).await))
    }
}

pub fn start(controller: &std::sync::Arc<crate::controller::Controller>) {
    let Some(addr) = controller.env.bind_addresses.control_plane.clone() else { return };
    let app = std::sync::Arc::new(
        poem::Route::new()
            .at(CONFIG_PATH, Config(controller.clone()))
            .at("/journal", Journal)
            .at("/fleet", Fleet(controller.clone()))
            .at("/tenants", Tenants(controller.clone()))
            .at("/batches", crate::batches::Batches(controller.clone()))
            .at("/batches/:id", crate::batches::One(controller.clone()))
            .at("/batches/:id/results", crate::batches::Results(controller.clone()))
            .at("/rollouts", crate::rollout_calls::Rollouts(controller.clone()))
            .at("/rollouts/:service", crate::version_calls::Rollout(controller.clone()))
            .at("/rollouts/:service/:model", crate::rollout_calls::Rule(controller.clone()))
            .at("/rollouts/:service/:model/latest", crate::rollout_calls::Latest(controller.clone(), false))
            .at("/rollouts/:service/:model/rollback", crate::rollout_calls::Latest(controller.clone(), true))
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
const LISTEN_RETRY: std::time::Duration = std::time::Duration::from_millis(200);
/// How long a connection may stay idle.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Serves callers until the process closes, and then finishes what is under way.
async fn serve(addr: &str, app: std::sync::Arc<poem::Route>, shutdown: &crate::shutdown::Shutdown) {
    let Ok(listener) = protocol::sock::listen(addr) else {
        tokio::time::sleep(LISTEN_RETRY).await;
        return;
    };
    let sock = socket2::SockRef::from(&listener);
    let _ = sock.set_tcp_user_timeout(Some(std::time::Duration::from_millis(protocol::sock::SILENCE_MS)));
    let Ok(acceptor) = poem::listener::TcpAcceptor::from_tokio(listener) else { return };
    let server = poem::Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
    let _ = server.run_with_graceful_shutdown(app, shutdown.closing(), None).await;
}

#[cfg(test)]
#[path = "control_tests.rs"]
mod tests;
