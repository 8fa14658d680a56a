//! Keys that are revoked or move to another tenant while clients are connected and requests are in flight.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use kernel::clock;
use tokio::task;

use crate::frontend::authorization::{self, Authorization};
use crate::frontend::request;
use crate::proxy::send::{self, SendOutcome};
use crate::state::State;
use crate::testing::engine::{
    engine_response, engines, events, held, not_executed, received_requests, sealed_response, Engine, EngineAction,
    ReceivedRequest, PROMPT,
};
use crate::testing::router::{configure, post, router, status, Client};
use crate::upstream::connection_pool::{Endpoint, SendError};

/// A request header with the key `k1`.
const KEY_HEADER: &str = "Authorization: Bearer k1\r\n";

/// Activates a configuration in which tenants `one` and `two` have these keys.
fn set_tenant_keys(state: &State, one: &[&str], two: &[&str]) {
    let revision = state.table().revision + 1;
    let tenant_table = serde_json::json!([{"name": "one", "api_keys": one}, {"name": "two", "api_keys": two}]);
    configure(state, revision, serde_json::json!({"tenant_table": tenant_table}));
}

/// A cell through which the scripts of the engines reach the router.
type RouterCell = Arc<OnceLock<Arc<State>>>;

/// How tenant `one` loses the key `k1`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum KeyLoss {
    Revoked,
    Moved,
}

impl KeyLoss {
    fn apply(self, cell: &RouterCell) {
        let two: &[&str] = if self == KeyLoss::Moved { &["k1", "k2"] } else { &["k2"] };
        set_tenant_keys(cell.get().expect("the router is set"), &["k3"], two);
    }
}

const KEY_LOSSES: [KeyLoss; 2] = [KeyLoss::Revoked, KeyLoss::Moved];

/// The result of one request whose key is lost as soon as an engine has received the request.
struct LostKeyRun {
    /// The response that the client received.
    response: String,
    prefill_engines: Vec<Engine>,
    decode_engines: Vec<Engine>,
}

async fn run_with_lost_key(
    loss: KeyLoss,
    route: &str,
    extra_headers: &str,
    first_act: fn(&ReceivedRequest) -> EngineAction,
) -> LostKeyRun {
    let cell = RouterCell::default();
    let script = |cell: RouterCell| {
        move |request: &ReceivedRequest, earlier_requests: usize| {
            if earlier_requests == 0 {
                loss.apply(&cell);
                return first_act(request);
            }
            EngineAction::Send(events(request, 1, 4, true))
        }
    };
    let mut prefill_engines = Vec::new();
    if !extra_headers.is_empty() {
        prefill_engines = engines("prefill", 1, script(cell.clone())).await;
    }
    let mut list = engines("decode", 2, script(cell.clone())).await;
    list.append(&mut prefill_engines);
    let state = router(&list);
    set_tenant_keys(&state, &["k1"], &["k2"]);
    assert!(cell.set(state.clone()).is_ok());
    let mut client = Client::connect(&state).await;
    client.write(&post(route, "1", &format!("Connection: close\r\n{KEY_HEADER}{extra_headers}"))).await;
    let response = client.read_to_end().await;
    let prefill_engines = list.split_off(2);
    LostKeyRun { response, prefill_engines, decode_engines: list }
}

impl LostKeyRun {
    /// Returns the status of the response, and how many requests the decode engines received.
    fn outcome(&self) -> (&str, usize) {
        (status(&self.response), received_requests(&self.decode_engines).len())
    }
}

#[tokio::test]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let list = engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let state = router(&list);
    set_tenant_keys(&state, &["k1"], &["k2"]);
    let mut client = Client::connect(&state).await;
    client.write(&post("once", "1", KEY_HEADER)).await;
    assert_eq!(status(&client.read_until("hello").await), "200");
    set_tenant_keys(&state, &[], &["k2"]);
    client.write(&post("once", "2", KEY_HEADER)).await;
    assert_eq!(status(&client.read_until("\r\n\r\n").await), "401");
    client.write(&post("once", "3", "Authorization: Bearer k2\r\n")).await;
    assert_eq!(status(&client.read_until("hello").await), "200");
    set_tenant_keys(&state, &["k1"], &["k2"]);
    client.write(&post("once", "4", &format!("Connection: close\r\n{KEY_HEADER}"))).await;
    assert_eq!(status(&client.read_to_end().await), "200", "the key belongs to the tenant again");
    let attempts: Vec<_> = received_requests(&list).iter().map(|request| request.attempt().to_string()).collect();
    assert_eq!(attempts, ["1", "3", "4"]);
}

#[tokio::test]
async fn the_next_request_with_a_moved_key_is_sent_under_its_new_tenant() {
    let list = engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let state = router(&list);
    let mut client = Client::connect(&state).await;
    for (one, two) in [(&["k1", "k3"][..], &["k2"][..]), (&["k3"], &["k2", "k1"]), (&["k1"], &["k2"])] {
        set_tenant_keys(&state, one, two);
        client.write(&post("once", "1", KEY_HEADER)).await;
        assert_eq!(status(&client.read_until("hello").await), "200");
    }
    let tenants: Vec<_> =
        received_requests(&list).iter().map(|request| request.header("tenant").unwrap_or("none").to_string()).collect();
    assert_eq!(tenants, ["one", "two", "one"]);
}

#[tokio::test]
async fn a_request_that_was_not_run_is_refused_and_sent_to_no_other_engine() {
    for loss in KEY_LOSSES {
        for route in ["once", "again", "stream", "resume"] {
            let run = run_with_lost_key(loss, route, "", |request| EngineAction::Send(not_executed(request))).await;
            assert_eq!(run.outcome(), ("503", 1), "{loss:?} on {route}: {}", run.response);
            assert!(run.response.to_lowercase().contains("retry-after"), "{}", run.response);
        }
    }
}

#[tokio::test]
async fn a_request_that_may_have_run_is_sent_to_no_other_engine_and_gets_502() {
    for loss in KEY_LOSSES {
        for route in ["again", "resume"] {
            let run = run_with_lost_key(loss, route, "", |_| EngineAction::SendAndReset(String::new())).await;
            assert_eq!(run.outcome(), ("502", 1), "{loss:?} on {route}: {}", run.response);
        }
    }
}

#[tokio::test]
async fn an_engine_failure_is_forwarded_if_no_other_engine_may_be_called() {
    for loss in KEY_LOSSES {
        let failed = |request: &ReceivedRequest| {
            EngineAction::Send(sealed_response(request.attempt(), "500 Internal Server Error", "why"))
        };
        let run = run_with_lost_key(loss, "again", "", failed).await;
        assert_eq!(run.outcome(), ("500", 1), "{loss:?}: {}", run.response);
        assert!(run.response.contains("seal-1") && run.response.ends_with("why"), "{}", run.response);
    }
}

#[tokio::test]
async fn a_prefilled_prompt_is_sent_to_no_decode_engine_and_its_kv_cache_is_released() {
    for loss in KEY_LOSSES {
        let run = run_with_lost_key(loss, "stream", PROMPT, |request| EngineAction::Send(held(request))).await;
        assert_eq!(run.outcome(), ("503", 0), "{loss:?}: {}", run.response);
        while run.prefill_engines[0].received_requests().len() < 2 {
            task::yield_now().await;
        }
        let requests = run.prefill_engines[0].received_requests();
        assert_eq!(requests[0].header("serving-phase"), Some("prefill"));
        assert!(requests[1].head.starts_with("DELETE /kv-handle/h1 "), "{}", requests[1].head);
    }
}

#[tokio::test]
async fn a_broken_stream_is_not_resumed() {
    for loss in KEY_LOSSES {
        let first_act = |request: &ReceivedRequest| EngineAction::SendAndReset(events(request, 1, 3, false));
        let LostKeyRun { response, decode_engines, .. } = run_with_lost_key(loss, "resume", "", first_act).await;
        assert!(response.contains("token-2") && !response.contains("token-3"), "{loss:?}: {response}");
        assert!(!response.ends_with("0\r\n\r\n"), "the response looks complete: {response}");
        assert_eq!(received_requests(&decode_engines).len(), 1, "{loss:?}");
    }
}

#[tokio::test]
async fn a_stream_in_flight_completes() {
    let run =
        run_with_lost_key(KeyLoss::Revoked, "stream", "", |request| EngineAction::Send(events(request, 1, 4, true)))
            .await;
    assert_eq!(run.outcome(), ("200", 1));
    assert!(run.response.ends_with("0\r\n\r\n"), "{}", run.response);
}

/// Starts two prefill engines and a decode engine that accept any request.
async fn accepting_engines() -> Vec<Engine> {
    let mut list = engines("prefill", 2, |request, _| EngineAction::Send(held(request))).await;
    list.extend(
        engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await,
    );
    list
}

#[tokio::test]
async fn a_key_that_is_lost_while_the_body_arrives_stops_the_request() {
    for loss in KEY_LOSSES {
        for extra_headers in ["", PROMPT] {
            let list = accepting_engines().await;
            let cell = RouterCell::default();
            let state = router(&list);
            set_tenant_keys(&state, &["k1"], &["k2"]);
            assert!(cell.set(state.clone()).is_ok());
            let mut client = Client::connect(&state).await;
            let request = post("stream", "1", &format!("Connection: close\r\n{KEY_HEADER}{extra_headers}"));
            let (first_part, last_part) = request.split_at(request.len() - 2);
            client.write(first_part).await;
            // The request has been admitted, and its body is awaited.
            while !state.table().has_served.load(Ordering::Relaxed) {
                task::yield_now().await;
            }
            loss.apply(&cell);
            client.write(last_part).await;
            let response = client.read_to_end().await;
            // 401 if the body arrived so late that the request was authorized again.
            assert!(["401", "503"].contains(&status(&response)), "{loss:?}: {response}");
            assert_eq!(received_requests(&list).len(), 0, "{loss:?}");
        }
    }
}

/// Returns a request that is admitted under the table in force.
fn admitted_request(state: &State) -> request::Request {
    let request = http::Request::post("/once/x").header("authorization", "Bearer k1").body(()).expect("valid request");
    let (parts, ()) = request.into_parts();
    let table = state.table();
    let route = table.find("h", "/once/x").expect("the route exists");
    let key = authorization::api_key_digest(&parts.headers);
    let authorization = Authorization::grant(&table, route, key).expect("the key is valid");
    request::Request::new(parts, Bytes::new(), authorization, 0, clock::now())
}

#[tokio::test]
async fn a_key_that_is_lost_while_a_connection_is_opened_stops_the_send() {
    for loss in KEY_LOSSES {
        let list = accepting_engines().await;
        let cell = RouterCell::default();
        let state = router(&list);
        assert!(cell.set(state.clone()).is_ok());
        set_tenant_keys(&state, &["k1"], &["k2"]);
        let request = admitted_request(&state);
        loss.apply(&cell);
        let endpoint = Endpoint { addr: list[2].addr.clone(), engine: list[2].id.clone() };
        let outcome = send::send(&state, &request, 0, &endpoint, 1, &Default::default(), 1000).await;
        assert!(matches!(outcome, SendOutcome::Unsent(SendError::Unauthorized)), "{loss:?}");
        assert_eq!(received_requests(&list).len(), 0);
    }
}
