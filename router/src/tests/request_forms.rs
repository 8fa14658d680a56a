//! Request targets and transfer codings: an engine runs the target and the body that the client sent, or the client gets
//! 400 and nothing runs.

use std::sync::Arc;

use crate::state::State;
use crate::testing::engine::{
    engine_response, engines, events, handle, received_requests, Engine, EngineAction, ReceivedRequest, PROMPT,
};
use crate::testing::router::{configure, route, router, status, Client};

/// One route of each type, and a prompt that makes the router send a prefill first.
const ROUTES: [(&str, &str); 5] = [("once", ""), ("again", ""), ("stream", ""), ("resume", ""), ("resume", PROMPT)];
const BODY: &str = "body";

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It runs with this target; `PATH` stands for the path of the route.
    Runs(&'static str),
    /// It gets 400 and does not run.
    Refused,
}

const TARGETS: [(&str, Fate); 25] = [
    ("PATH", Fate::Runs("PATH")),
    ("PATH?a=b&c=%20/?d", Fate::Runs("PATH?a=b&c=%20/?d")),
    ("PATH?", Fate::Runs("PATH?")),
    ("PATH?!$&'()*+,;=:@-._~", Fate::Runs("PATH?!$&'()*+,;=:@-._~")),
    ("PATH/..//%2e%2F;p=1", Fate::Runs("PATH/..//%2e%2F;p=1")),
    ("PATH?\"{}|\\^`", Fate::Refused),
    ("http://hPATH?a", Fate::Runs("PATH?a")),
    ("HTTP://H:80PATH", Fate::Runs("PATH")),
    ("https://h:443PATH", Fate::Runs("PATH")),
    ("http://h?number=1", Fate::Runs("/?number=1")),
    ("http://h/?number=1", Fate::Runs("/?number=1")),
    ("http://h", Fate::Runs("/")),
    ("http://h?", Fate::Runs("/?")),
    ("PATH#fragment", Fate::Refused),
    ("PATH?a#", Fate::Refused),
    ("http://hPATH#fragment", Fate::Refused),
    ("http://h?a#b", Fate::Refused),
    ("http://otherPATH", Fate::Refused),
    ("http://h:8080PATH", Fate::Refused),
    ("http://user@hPATH", Fate::Refused),
    ("ftp://hPATH", Fate::Refused),
    ("h", Fate::Refused),
    ("h:80", Fate::Refused),
    ("*", Fate::Refused),
    ("?a=b", Fate::Refused),
];

/// Framing headers and the body on the wire.
const CODINGS: [(&str, &str, bool); 15] = [
    ("Content-Length: 4", "body", true),
    ("Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", true),
    ("transfer-encoding:  Chunked \t", "2;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0\r\nTrailer: 1\r\n\r\n", true),
    ("Transfer-Encoding: gzip, chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: gzip,chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: chunked, chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: identity, chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: chunked, gzip", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: gzip", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: chunked;q=1", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: , chunked", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding:", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Transfer-Encoding: chunked\r\nContent-Length: 4", "4\r\nbody\r\n0\r\n\r\n", false),
    ("Content-Length: 4\r\nContent-Length: 4", "body", true),
];

/// Returns engines of both phases. Prefills get a handle, other requests a complete stream.
async fn both_phases() -> Vec<Engine> {
    let script = |request: &ReceivedRequest, _| match request.header("serving-phase") {
        Some(_) => EngineAction::Send(engine_response(request, "200 OK", &handle(request.attempt(), "k1"))),
        None => EngineAction::Send(events(request, 1, 3, true)),
    };
    let mut list = engines("prefill", 1, script).await;
    list.extend(engines("decode", 1, script).await);
    list
}

/// Returns a router with a further route for all other paths.
fn router_with_root(engines: &[Engine]) -> Arc<State> {
    let state = router(engines);
    let mut root = route("root", "idempotent", false);
    root["path_prefix"] = "/".into();
    let routes = [
        route("once", "non_idempotent", false),
        route("again", "idempotent", false),
        route("stream", "streaming", false),
        route("resume", "streaming", true),
        root,
    ];
    configure(&state, 2, serde_json::json!({ "route_table": routes }));
    state
}

/// Returns a request in this form. `line` is its request line up to the version.
fn request(line: &str, attempt: &str, headers: &str, body: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\n{headers}\r\n\r\n{body}")
}

/// Sends a request on a new connection. Returns its status and what engines received of it.
async fn send(state: &Arc<State>, engines: &[Engine], attempt: &str, text: &str) -> (String, Vec<ReceivedRequest>) {
    let mut client = Client::connect(state).await;
    client.write(text).await;
    let answer = client.read_response().await;
    (answer.status().to_string(), received(engines, attempt))
}

fn received(engines: &[Engine], attempt: &str) -> Vec<ReceivedRequest> {
    let mut requests = received_requests(engines);
    requests.retain(|request| request.attempt() == attempt && !request.head.starts_with("DELETE"));
    requests
}

fn assert_ran(requests: &[ReceivedRequest], method: &str, target: &str, body: &str, form: &str) {
    assert!(!requests.is_empty(), "{form}: nothing ran");
    for request in requests {
        assert!(request.head.starts_with(&format!("{method} {target} HTTP/1.1\r\n")), "{form}: {}", request.head);
        assert_eq!(request.body, body.as_bytes(), "{form}");
    }
}

/// Guards against engines that run another path or query than the client's.
#[tokio::test]
async fn a_target_runs_as_it_was_sent_or_is_refused_on_every_route() {
    let engines = both_phases().await;
    let state = router_with_root(&engines);
    let mut attempt = 0;
    for (method, body) in [("POST", BODY), ("GET", "")] {
        for (route, prompt) in ROUTES {
            for (form, fate) in TARGETS {
                attempt += 1;
                let id = attempt.to_string();
                let target = form.replace("PATH", &format!("/{route}/x"));
                let headers = format!("{prompt}Content-Length: {}", body.len());
                let text = request(&format!("{method} {target}"), &id, &headers, body);
                let (status, requests) = send(&state, &engines, &id, &text).await;
                match fate {
                    Fate::Runs(expected) => {
                        assert_eq!(status, "200", "{method} {target}");
                        let expected = expected.replace("PATH", &format!("/{route}/x"));
                        assert_ran(&requests, method, &expected, body, &target);
                    }
                    Fate::Refused => {
                        assert_eq!((status.as_str(), requests.len()), ("400", 0), "{method} {target}");
                    }
                }
            }
        }
    }
}

/// Guards against engines that run a body which is still encoded.
#[tokio::test]
async fn a_body_runs_as_it_was_sent_or_is_refused_on_every_route() {
    let engines = both_phases().await;
    let state = router_with_root(&engines);
    let mut attempt = 0;
    for (route, prompt) in ROUTES {
        for (framing, wire, is_sound) in CODINGS {
            for method in ["POST", "GET"] {
                attempt += 1;
                let id = attempt.to_string();
                let text = request(&format!("{method} /{route}/x"), &id, &format!("{prompt}{framing}"), wire);
                let (status, requests) = send(&state, &engines, &id, &text).await;
                match is_sound {
                    true => {
                        assert_eq!(status, "200", "{framing}");
                        assert_ran(&requests, method, &format!("/{route}/x"), BODY, framing);
                    }
                    false => assert_eq!((status.as_str(), requests.len()), ("400", 0), "{method} {framing}"),
                }
            }
        }
    }
}

/// Guards against engines that run a request without the model or the prompt that its client named.
#[tokio::test]
async fn headers_for_engines_cannot_be_listed_as_hop_by_hop() {
    let engines = both_phases().await;
    let state = router_with_root(&engines);
    let hidden = ["Host", "content-type", "ATTEMPT-ID", "Last-Event-Id", "Model", "Prompt-Prefix", "token-count"];
    for (index, name) in hidden.into_iter().chain(["close", "keep-alive", "X-Hop", "te"]).enumerate() {
        let id = index.to_string();
        let headers =
            format!("Connection: x-other, {name}\r\nModel: m\r\nX-Hop: 1\r\nTE: trailers\r\nContent-Length: 4");
        let (status, requests) = send(&state, &engines, &id, &request("POST /again/x", &id, &headers, BODY)).await;
        match index < hidden.len() {
            true => assert_eq!((status.as_str(), requests.len()), ("400", 0), "{name}"),
            false => assert_eq!((status.as_str(), requests[0].header("model")), ("200", Some("m")), "{name}"),
        }
    }
}

/// Guards against heads that are not looked at because they came with an earlier request.
#[tokio::test]
async fn malformed_heads_behind_other_requests_are_refused() {
    let engines = both_phases().await;
    let state = router_with_root(&engines);
    let sized = request("POST /again/x", "first", "Content-Length: 4", BODY);
    let chunked = request("POST /again/x", "first", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\nT: 1\r\n\r\n");
    let conflict = "Content-Length: 4\r\nTransfer-Encoding: chunked";
    let malformed = [
        request("POST /again/x#b", "second", "Content-Length: 4", BODY),
        request("POST /again/x", "second", conflict, "4\r\nbody\r\n0\r\n\r\n"),
        request("POST /again/x", "second", conflict, "4\r\nbody\r\n0\r\n\r\n").replacen("\r\n", "\n", 6),
    ];
    for first in [sized.as_str(), &chunked, "\r\n\r\n"] {
        for second in &malformed {
            let mut client = Client::connect(&state).await;
            client.write(&format!("{first}{second}")).await;
            let text = client.read_to_end().await;
            assert_eq!(received(&engines, "second").len(), 0, "{first:?} {second:?}");
            assert!(text.contains("HTTP/1.1 400 "), "{first:?} {second:?}: {text}");
        }
    }
}

#[tokio::test]
async fn sound_requests_in_one_write_are_all_served() {
    let engines = both_phases().await;
    let state = router_with_root(&engines);
    let mut client = Client::connect(&state).await;
    let requests: Vec<String> = (0..8)
        .map(|index| match index % 2 {
            0 => request("POST /again/x", &format!("a{index}"), "Content-Length: 4", BODY),
            _ => {
                request("POST /once/x?q", &format!("a{index}"), "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n")
            }
        })
        .collect();
    client.write(&requests.concat()).await;
    for index in 0..8 {
        let answer = client.read_response().await;
        assert_eq!(status(&answer.head), "200", "request {index}");
        assert_eq!(received(&engines, &format!("a{index}")).len(), 1);
    }
}
