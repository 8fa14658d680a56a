//! Truncated responses, and streams that are resumed at another engine.

use crate::testing::engine::{engine_response, engines, events, received_requests, EngineAction, ReceivedRequest};
use crate::testing::router::{router, send_request};

const UNREPEATABLE_ROUTES: [&str; 2] = ["once", "stream"];

#[tokio::test]
async fn truncated_response_does_not_look_complete() {
    let faults: [fn(&ReceivedRequest) -> EngineAction; 4] = [
        |request| EngineAction::SendAndClose(events(request, 1, 3, false)),
        |request| EngineAction::SendAndReset(events(request, 1, 3, false)),
        |request| EngineAction::SendAndClose(format!("{}5\r\nid: ", events(request, 1, 3, false))),
        // Without a length or chunks, a broken connection cannot be distinguished from the end of the body.
        |request| {
            EngineAction::SendAndClose(
                engine_response(request, "200 OK", "id: 1\n\n").replace("Content-Length: 7\r\n", ""),
            )
        },
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        for route in UNREPEATABLE_ROUTES {
            let fleet = engines("decode", 2, move |request, _| fault(request)).await;
            let text = send_request(&router(&fleet), route, "1", "").await;
            assert!(!text.ends_with("\r\n0\r\n\r\n"), "fault {index} on {route}: {text}");
            assert_eq!(received_requests(&fleet).len(), 1, "fault {index} on {route}");
        }
    }
    let fleet = engines("decode", 1, |request, _| {
        EngineAction::SendAndClose(
            engine_response(request, "200 OK", "part").replace("Content-Length: 4", "Content-Length: 9"),
        )
    })
    .await;
    let text = send_request(&router(&fleet), "once", "1", "").await;
    assert!(text.to_lowercase().contains("content-length: 9"), "{text}");
}

/// Returns the body of a chunked response, or `None` if it is incomplete.
fn decode_chunked(text: &str) -> Option<String> {
    let (_, mut rest) = text.split_once("\r\n\r\n")?;
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return (after == "\r\n").then_some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size..)?.strip_prefix("\r\n")?;
    }
}

#[tokio::test]
async fn broken_stream_is_resumed_after_its_last_complete_event() {
    let fleet = engines("decode", 2, |request, request_index| match request_index {
        0 => EngineAction::SendAndReset(format!("{}c\r\nid: 3\ndata: \r\n", events(request, 1, 3, false))),
        _ => EngineAction::Send(events(request, 3, 5, true)),
    })
    .await;
    let text = send_request(&router(&fleet), "resume", "1", "").await;
    let expected: String = (1..5).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect();
    assert_eq!(decode_chunked(&text), Some(expected), "{text}");
    let last_event_ids: Vec<_> = received_requests(&fleet)
        .iter()
        .filter_map(|request| request.header("last-event-id").map(str::to_string))
        .collect();
    assert_eq!(last_event_ids, ["2"]);
}

#[tokio::test]
async fn broken_stream_is_not_resumed_with_an_invalid_response() {
    let invalid_responses: [fn(&ReceivedRequest) -> String; 3] = [
        |request| events(request, 2, 4, true).replace("Response-Seal", "Other"),
        |request| events(request, 2, 4, true).replace("Attempt-Id: 1", "Attempt-Id: 2"),
        |request| engine_response(request, "500 Internal Server Error", "id: 2\n\n"),
    ];
    for invalid_response in invalid_responses {
        let fleet = engines("decode", 2, move |request, request_index| match request_index {
            0 => EngineAction::SendAndReset(events(request, 1, 2, false)),
            _ => EngineAction::Send(invalid_response(request)),
        })
        .await;
        let text = send_request(&router(&fleet), "resume", "1", "").await;
        assert!(text.contains("id: 1") && !text.contains("id: 2"), "{text}");
        assert!(!text.ends_with("0\r\n\r\n"), "{text}");
    }
}

#[tokio::test]
async fn broken_stream_without_event_ids_is_not_restarted() {
    let fleet = engines("decode", 2, |request, request_index| match request_index {
        0 => EngineAction::SendAndReset(events(request, 1, 3, false).replace("id: ", "in: ")),
        _ => EngineAction::Send(events(request, 1, 5, true)),
    })
    .await;
    let text = send_request(&router(&fleet), "resume", "1", "").await;
    assert_eq!(text.matches("token-1").count(), 1, "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
}

#[tokio::test]
async fn broken_body_without_events_is_not_restarted_after_a_part_was_forwarded() {
    let large = "x".repeat(300 * 1024);
    let fleet = engines("decode", 2, move |request, request_index| {
        let text = events(request, 1, 2, false);
        let chunk = format!("{:x}\r\n{large}\r\n", large.len());
        if request_index == 0 {
            EngineAction::SendAndClose(format!("{text}{chunk}"))
        } else {
            EngineAction::Send(events(request, 2, 5, true))
        }
    })
    .await;
    let text = send_request(&router(&fleet), "resume", "1", "").await;
    assert!(text.contains("xxx") && !text.contains("token-2"), "the two bodies were joined");
    assert!(!text.ends_with("0\r\n\r\n"));
}
