//! One send to one engine: what came of it is a value that says whether it may have run.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HOST, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::Full;
use hyper::body::Incoming;
use kernel::clock;
use load_balancing::StalenessBound;
use protocol::headers::{
    EXPECTED_VERSION, KV_SOURCE, LAST_EVENT_ID, SERVING_PHASE, TARGET_INSTANCE, TIME_BUDGET, URGENCY_CLASS,
};
use tokio::time::{self, Instant};

use crate::event::MISFIT;
use crate::frontend::request;
use crate::kv::handle::Handle;
use crate::proxy::response_head::{self, Asked, Verdict};
use crate::state::State;
use crate::upstream::connection_pool::{self, Connection, Endpoint, SendError};

pub struct Answer {
    pub head: Parts,
    pub body: Incoming,
    pub connection: Connection,
}

pub enum Outcome {
    Answer(Box<Answer>),
    /// Nothing of it reached the engine.
    Unsent(SendError),
    /// The engine says that it has not run.
    NotExecuted,
    /// It has not run, and the address is another engine's.
    OtherEngine,
    /// It has not run, since its weights have another version: this one, where it said so.
    OtherVersion(Option<u64>),
    /// It may have run.
    Lost,
}

/// What is set on a send besides the client's own headers.
#[derive(Default)]
pub struct Extra {
    pub budget_ms: u64,
    pub stage: bool,
    pub source: Option<String>,
    pub last: Option<HeaderValue>,
    pub urgency: Option<u32>,
    /// The version that its weights must have.
    pub expect: Option<u64>,
    /// The route, where a limit on stale weights binds it.
    pub guard: Option<String>,
}

impl Answer {
    /// Does the end of its body show whether it is whole? Where nothing frames it, a break looks like the end.
    pub fn framed(&self) -> bool {
        use hyper::body::Body;
        self.body.is_end_stream()
            || self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(TRANSFER_ENCODING)
    }
}

/// Immediately before a send: does what is expected of the engine still satisfy the limit?
fn holds(state: &State, service: u32, model: &str, extra: &Extra) -> bool {
    let Some(route) = &extra.guard else { return true };
    let limit = state.staleness_bounds.lock().bound_for(service, model, route, clock::now());
    match limit {
        StalenessBound::Unbounded => true,
        StalenessBound::AtLeast(floor) => extra.expect.is_some_and(|version| version >= floor),
        StalenessBound::LeaseExpired => false,
    }
}

fn compose(request: &request::Request, engine: &str, extra: &Extra) -> http::Request<Full<Bytes>> {
    let mut outgoing = http::Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.path.clone();
    let head = outgoing.headers_mut();
    *head = request.head.clone();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            head.insert(name, value);
        }
    };
    set(TARGET_INSTANCE, engine);
    set(TIME_BUDGET, &extra.budget_ms.to_string());
    if extra.stage {
        set(SERVING_PHASE, "prefill");
    }
    if let Some(source) = &extra.source {
        set(KV_SOURCE, source);
    }
    if let Some(urgency) = extra.urgency {
        set(URGENCY_CLASS, &urgency.to_string());
    }
    if let Some(version) = extra.expect {
        set(EXPECTED_VERSION, &version.to_string());
    }
    if let Some(last) = &extra.last {
        head.insert(LAST_EVENT_ID, last.clone());
    }
    outgoing
}

/// `silence_ms`: how long the head of the answer may take.
pub async fn send(
    state: &State,
    request: &request::Request,
    service: u32,
    to: &Endpoint,
    most: usize,
    extra: &Extra,
    silence_ms: u64,
) -> Outcome {
    let mut outgoing = compose(request, &to.engine, extra);
    let end = Instant::now() + Duration::from_millis(silence_ms);
    loop {
        let (mut connection, fresh) = match state.connection_pools.take_idle(to) {
            Some(connection) => (connection, false),
            None => match state.connection_pools.dial(to, most).await {
                Ok(connection) => {
                    state.metrics.engine_connections.inc();
                    (connection, true)
                }
                Err(error) => return Outcome::Unsent(error),
            },
        };
        if !holds(state, service, &request.model, extra) {
            return Outcome::Unsent(SendError::TooStale);
        }
        if !request.authorization.holds(&state.table()) {
            return Outcome::Unsent(SendError::Unauthorized);
        }
        let reply = match time::timeout_at(end, connection.try_send_request(outgoing)).await {
            Err(_) => return Outcome::Lost,
            Ok(Ok(reply)) => reply,
            Ok(Err(mut error)) => match error.take_message() {
                // Never written: the connection had ended before.
                Some(back) if !fresh => {
                    outgoing = back;
                    continue;
                }
                Some(_) => return Outcome::Unsent(SendError::Unreachable),
                None => return Outcome::Lost,
            },
        };
        let (head, body) = reply.into_parts();
        return judged(state, request, to, extra, Answer { head, body, connection }).await;
    }
}

/// What an answer comes to. One that is not passed on is read to its end, so that its connection is of use again.
async fn judged(state: &State, request: &request::Request, to: &Endpoint, extra: &Extra, answer: Answer) -> Outcome {
    let asked = Asked { attempt: request.attempt.as_ref(), target: &to.engine, version: extra.expect };
    let outcome = match response_head::judge(&answer.head, &asked) {
        Verdict::Executed => return Outcome::Answer(Box::new(answer)),
        Verdict::Foreign => {
            let status = answer.head.status.as_u16();
            kernel::log_event!(MISFIT, "engine" => to.engine.clone(), "status" => status);
            return Outcome::Lost;
        }
        Verdict::Unproven => Outcome::Lost,
        Verdict::NotExecuted => Outcome::NotExecuted,
        Verdict::OtherEngine => Outcome::OtherEngine,
        Verdict::OtherVersion(version) => Outcome::OtherVersion(version),
    };
    finish(state, to, answer).await;
    outcome
}

/// Reads the rest of an answer that nobody needs and takes the connection back.
pub async fn finish(state: &State, to: &Endpoint, answer: Answer) {
    let _ = whole(state, to, answer, 64 * 1024, 200).await;
}

/// Reads a small answer whole.
pub async fn whole(state: &State, to: &Endpoint, answer: Answer, most: usize, wait_ms: u64) -> Option<Bytes> {
    use http_body_util::BodyExt;
    let framed = answer.framed();
    let Answer { head, mut body, connection } = answer;
    let end = Instant::now() + Duration::from_millis(wait_ms);
    let mut text = BytesMut::new();
    while let Some(frame) = time::timeout_at(end, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            text.extend_from_slice(&data);
        }
        if text.len() > most {
            return None;
        }
    }
    give_back(state, to, &head.headers, connection).await;
    framed.then(|| text.freeze())
}

/// A connection whose answer was read to its end.
pub async fn give_back(state: &State, to: &Endpoint, head: &HeaderMap, mut connection: Connection) {
    if connection_pool::requests_close(head) {
        return;
    }
    let ready = time::timeout(Duration::from_millis(20), connection.ready()).await;
    if matches!(ready, Ok(Ok(()))) {
        state.connection_pools.release(to, connection, connection_pool::keep_alive_seconds(head));
    }
}

/// Gives the memory of a handle free; tried once, since it lapses by itself.
pub async fn free(state: &State, handle: &Handle, most: usize) {
    let mut outgoing = http::Request::new(Full::new(Bytes::new()));
    *outgoing.method_mut() = Method::DELETE;
    let Ok(path) = format!("/kv-handle/{}", handle.id).parse() else { return };
    *outgoing.uri_mut() = path;
    if let Ok(host) = HeaderValue::from_str(&handle.reader.addr) {
        outgoing.headers_mut().insert(HOST, host);
    }
    let mut connection = match state.connection_pools.take_idle(&handle.reader) {
        Some(connection) => connection,
        None => match state.connection_pools.dial(&handle.reader, most).await {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let wait = Duration::from_millis(500);
    let Ok(Ok(reply)) = time::timeout(wait, connection.send_request(outgoing)).await else { return };
    let (head, body) = reply.into_parts();
    if !response_head::answers(&head.headers, None) {
        // Another outgoing's: the answer to this one would be the next that comes.
        return;
    }
    finish(state, &handle.reader, Answer { head, body, connection }).await;
}
