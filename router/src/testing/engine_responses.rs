//! The responses of fake engines.

use crate::testing::engine::ReceivedRequest;

/// Returns an engine's response to a request, with the seal and the attempt id of that request.
pub fn engine_response(request: &ReceivedRequest, status: &str, body: &str) -> String {
    sealed_response(request.attempt(), status, body)
}

/// Returns a sealed response to an attempt.
pub fn sealed_response(attempt: &str, status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\nKeep-Alive: timeout=30\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the response of an engine that did not execute the request.
pub fn not_executed(request: &ReceivedRequest) -> String {
    let attempt = request.attempt();
    format!("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Returns the head of a stream and the events `from..to`, followed by the end of the stream if it is `complete`.
pub fn events(request: &ReceivedRequest, from: u32, to: u32, complete: bool) -> String {
    let attempt = request.attempt();
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal-{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for id in from..to {
        let event = format!("id: {id}\ndata: token-{id}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    if complete {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// Returns the head of a complete stream of two events, and the rest of that stream.
pub fn head_and_rest(request: &ReceivedRequest) -> (String, String) {
    let complete = events(request, 1, 3, true);
    let (head, rest) = complete.split_at(complete.find("\r\n\r\n").expect("a head") + 4);
    (head.into(), rest.into())
}

/// The header lines of a request whose prompt can be prefilled by one engine and decoded by another.
pub const PROMPT: &str = "Model: m\r\nToken-Count: 150,10\r\nPrompt-Prefix: ab:100,cd:50\r\n";

/// Returns the response of a prefill engine that holds the KV cache, with a handle that contains the attempt id.
pub fn held(request: &ReceivedRequest) -> String {
    handle(request.attempt(), request.attempt())
}

/// Returns the response of a prefill engine to an attempt, with the handle `h` followed by `id`.
pub fn handle(attempt: &str, id: &str) -> String {
    let body = format!("{{\"kv_handle\":\"h{id}\",\"token_count\":150,\"revision\":1}}");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nKeep-Alive: timeout=30\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
