//! Keys that are revoked, or move to another tenant, while their clients are connected and their requests wait.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use kernel::clock;
use tokio::task;

use crate::frontend::authorization::{self, Authorization};
use crate::frontend::request;
use crate::proxy::send::{self, SendOutcome};
use crate::state::State;
use crate::testing::engine::{answer, engines, events, held, not_executed, sealed, seen, Act, Engine, Seen, PROMPT};
use crate::testing::router::{configure, post, router, status, Client};
use crate::upstream::connection_pool::{Endpoint, SendError};

const KEYED: &str = "Authorization: Bearer k1\r\n";

/// Brings a configuration into force in which tenant `one` has these keys and tenant `two` those.
fn tenants(state: &State, one: &[&str], two: &[&str]) {
    let revision = state.table().revision + 1;
    let table = serde_json::json!([{"name": "one", "api_keys": one}, {"name": "two", "api_keys": two}]);
    configure(state, revision, serde_json::json!({"tenant_table": table}));
}

/// A router that the scripts of its engines can reach.
type Cell = Arc<OnceLock<Arc<State>>>;

/// How tenant `one` loses the key `k1`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Revoked,
    Moved,
}

impl Loss {
    fn apply(self, cell: &Cell) {
        let two: &[&str] = if self == Loss::Moved { &["k1", "k2"] } else { &["k2"] };
        tenants(cell.get().expect("set"), &["k3"], two);
    }
}

const LOSSES: [Loss; 2] = [Loss::Revoked, Loss::Moved];

/// The result of one request whose key is lost as soon as an engine has it.
struct LostKeyRun {
    /// What the client got.
    text: String,
    prefill_engines: Vec<Engine>,
    decode_engines: Vec<Engine>,
}

async fn run_with_lost_key(loss: Loss, route: &str, extra_headers: &str, first: fn(&Seen) -> Act) -> LostKeyRun {
    let cell = Cell::default();
    let script = |cell: Cell| {
        move |seen: &Seen, before: usize| {
            if before == 0 {
                loss.apply(&cell);
                return first(seen);
            }
            Act::Send(events(seen, 1, 4, true))
        }
    };
    let mut prefill_engines = Vec::new();
    if !extra_headers.is_empty() {
        prefill_engines = engines("prefill", 1, script(cell.clone())).await;
    }
    let mut list = engines("decode", 2, script(cell.clone())).await;
    list.append(&mut prefill_engines);
    let state = router(&list);
    tenants(&state, &["k1"], &["k2"]);
    assert!(cell.set(state.clone()).is_ok());
    let mut client = Client::connect(&state).await;
    client.write(&post(route, "1", &format!("Connection: close\r\n{KEYED}{extra_headers}"))).await;
    let text = client.rest().await;
    let prefill_engines = list.split_off(2);
    LostKeyRun { text, prefill_engines, decode_engines: list }
}

impl LostKeyRun {
    /// Returns the status that the client got, and how many requests the decode engines got.
    fn outcome(&self) -> (&str, usize) {
        (status(&self.text), seen(&self.decode_engines).len())
    }
}

#[tokio::test]
async fn a_revoked_key_is_refused_on_a_connection_that_is_open() {
    let list = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "hello"))).await;
    let state = router(&list);
    tenants(&state, &["k1"], &["k2"]);
    let mut client = Client::connect(&state).await;
    client.write(&post("once", "1", KEYED)).await;
    assert_eq!(status(&client.until("hello").await), "200");
    tenants(&state, &[], &["k2"]);
    client.write(&post("once", "2", KEYED)).await;
    assert_eq!(status(&client.until("\r\n\r\n").await), "401");
    client.write(&post("once", "3", "Authorization: Bearer k2\r\n")).await;
    assert_eq!(status(&client.until("hello").await), "200");
    tenants(&state, &["k1"], &["k2"]);
    client.write(&post("once", "4", &format!("Connection: close\r\n{KEYED}"))).await;
    assert_eq!(status(&client.rest().await), "200", "it was given back");
    let attempts: Vec<_> = seen(&list).iter().map(|seen| seen.attempt().to_string()).collect();
    assert_eq!(attempts, ["1", "3", "4"]);
}

#[tokio::test]
async fn a_key_that_moved_names_its_new_tenant_from_the_next_request_on() {
    let list = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "hello"))).await;
    let state = router(&list);
    let mut client = Client::connect(&state).await;
    for (one, two) in [(&["k1", "k3"][..], &["k2"][..]), (&["k3"], &["k2", "k1"]), (&["k1"], &["k2"])] {
        tenants(&state, one, two);
        client.write(&post("once", "1", KEYED)).await;
        assert_eq!(status(&client.until("hello").await), "200");
    }
    let named: Vec<_> = seen(&list).iter().map(|seen| seen.header("tenant").unwrap_or("none").to_string()).collect();
    assert_eq!(named, ["one", "two", "one"]);
}

#[tokio::test]
async fn a_request_that_was_not_run_is_refused_before_another_engine_gets_it() {
    for loss in LOSSES {
        for route in ["once", "again", "stream", "resume"] {
            let run = run_with_lost_key(loss, route, "", |seen| Act::Send(not_executed(seen))).await;
            assert_eq!(run.outcome(), ("503", 1), "{loss:?} on {route}: {}", run.text);
            assert!(run.text.to_lowercase().contains("retry-after"), "{}", run.text);
        }
    }
}

#[tokio::test]
async fn a_request_that_may_have_run_goes_to_no_other_engine_and_gets_no_retry_after() {
    for loss in LOSSES {
        for route in ["again", "resume"] {
            let run = run_with_lost_key(loss, route, "", |_| Act::SendAndReset(String::new())).await;
            assert_eq!(run.outcome(), ("502", 1), "{loss:?} on {route}: {}", run.text);
        }
    }
}

#[tokio::test]
async fn an_engines_failure_is_forwarded_where_no_other_engine_may_be_called() {
    for loss in LOSSES {
        let failed = |seen: &Seen| Act::Send(sealed(seen.attempt(), "500 Internal Server Error", "why"));
        let run = run_with_lost_key(loss, "again", "", failed).await;
        assert_eq!(run.outcome(), ("500", 1), "{loss:?}: {}", run.text);
        assert!(run.text.contains("seal-1") && run.text.ends_with("why"), "{}", run.text);
    }
}

#[tokio::test]
async fn a_prefilled_prompt_goes_to_no_decode_engine_and_its_cache_is_released() {
    for loss in LOSSES {
        let run = run_with_lost_key(loss, "stream", PROMPT, |seen| Act::Send(held(seen))).await;
        assert_eq!(run.outcome(), ("503", 0), "{loss:?}: {}", run.text);
        while run.prefill_engines[0].seen().len() < 2 {
            task::yield_now().await;
        }
        let read = run.prefill_engines[0].seen();
        assert_eq!(read[0].header("serving-phase"), Some("prefill"));
        assert!(read[1].head.starts_with("DELETE /kv-handle/h1 "), "{}", read[1].head);
    }
}

#[tokio::test]
async fn a_broken_stream_is_not_resumed() {
    for loss in LOSSES {
        let first = |seen: &Seen| Act::SendAndReset(events(seen, 1, 3, false));
        let LostKeyRun { text, decode_engines, .. } = run_with_lost_key(loss, "resume", "", first).await;
        assert!(text.contains("token-2") && !text.contains("token-3"), "{loss:?}: {text}");
        assert!(!text.ends_with("0\r\n\r\n"), "it must not look complete: {text}");
        assert_eq!(seen(&decode_engines).len(), 1, "{loss:?}");
    }
}

#[tokio::test]
async fn a_stream_in_flight_continues_to_its_end() {
    let run = run_with_lost_key(Loss::Revoked, "stream", "", |seen| Act::Send(events(seen, 1, 4, true))).await;
    assert_eq!(run.outcome(), ("200", 1));
    assert!(run.text.ends_with("0\r\n\r\n"), "{}", run.text);
}

/// Two prefill engines and a decode engine that accept any request.
async fn accepting_engines() -> Vec<Engine> {
    let mut list = engines("prefill", 2, |seen, _| Act::Send(held(seen))).await;
    list.extend(engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "hello"))).await);
    list
}

#[tokio::test]
async fn a_request_whose_body_is_still_coming_is_judged_by_the_table_of_its_send() {
    for loss in LOSSES {
        for extra_headers in ["", PROMPT] {
            let list = accepting_engines().await;
            let cell = Cell::default();
            let state = router(&list);
            tenants(&state, &["k1"], &["k2"]);
            assert!(cell.set(state.clone()).is_ok());
            let mut client = Client::connect(&state).await;
            let request = post("stream", "1", &format!("Connection: close\r\n{KEYED}{extra_headers}"));
            let (first, last) = request.split_at(request.len() - 2);
            client.write(first).await;
            // Admitted: the body is waited for.
            while !state.table().has_served.load(Ordering::Relaxed) {
                task::yield_now().await;
            }
            loss.apply(&cell);
            client.write(last).await;
            let text = client.rest().await;
            // Where the body took its time, admission has judged anew.
            assert!(["401", "503"].contains(&status(&text)), "{loss:?}: {text}");
            assert_eq!(seen(&list).len(), 0, "{loss:?}");
        }
    }
}

/// A request as it was admitted under the table of the moment.
fn admitted(state: &State) -> request::Request {
    let request = http::Request::post("/once/x").header("authorization", "Bearer k1").body(()).expect("good");
    let (parts, ()) = request.into_parts();
    let table = state.table();
    let route = table.find("h", "/once/x").expect("there");
    let key = authorization::api_key_digest(&parts.headers);
    let authorization = Authorization::grant(&table, route, key).expect("granted");
    request::Request::new(parts, Bytes::new(), authorization, 0, clock::now())
}

#[tokio::test]
async fn a_key_that_is_lost_while_a_connection_is_made_stops_the_send() {
    for loss in LOSSES {
        let list = accepting_engines().await;
        let cell = Cell::default();
        let state = router(&list);
        assert!(cell.set(state.clone()).is_ok());
        tenants(&state, &["k1"], &["k2"]);
        let request = admitted(&state);
        loss.apply(&cell);
        let to = Endpoint { addr: list[2].addr.clone(), engine: list[2].id.clone() };
        let outcome = send::send(&state, &request, 0, &to, 1, &Default::default(), 1000).await;
        assert!(matches!(outcome, SendOutcome::Unsent(SendError::Unauthorized)), "{loss:?}");
        assert_eq!(seen(&list).len(), 0);
    }
}
