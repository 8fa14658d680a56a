//! Responses that break off, and streams that are resumed at another engine.

use crate::testing::engine::{answer, engines, events, seen, Act, Seen};
use crate::testing::router::{ask, router};

const UNREPEATABLE: [&str; 2] = ["once", "stream"];

#[tokio::test]
async fn an_answer_that_ends_early_does_not_look_complete() {
    let faults: [fn(&Seen) -> Act; 4] = [
        |seen| Act::SendAndClose(events(seen, 1, 3, false)),
        |seen| Act::SendAndReset(events(seen, 1, 3, false)),
        |seen| Act::SendAndClose(format!("{}5\r\nid: ", events(seen, 1, 3, false))),
        // Without a length or chunks nobody can tell a break from the end.
        |seen| Act::SendAndClose(answer(seen, "200 OK", "id: 1\n\n").replace("Content-Length: 7\r\n", "")),
    ];
    for (at, fault) in faults.into_iter().enumerate() {
        for route in UNREPEATABLE {
            let list = engines("decode", 2, move |seen, _| fault(seen)).await;
            let text = ask(&router(&list), route, "1", "").await;
            assert!(!text.ends_with("\r\n0\r\n\r\n"), "fault {at} on {route}: {text}");
            assert_eq!(seen(&list).len(), 1, "fault {at} on {route}");
        }
    }
    let list = engines("decode", 1, |seen, _| {
        Act::SendAndClose(answer(seen, "200 OK", "part").replace("Content-Length: 4", "Content-Length: 9"))
    })
    .await;
    let text = ask(&router(&list), "once", "1", "").await;
    assert!(text.to_lowercase().contains("content-length: 9"), "{text}");
}

/// The body of an answer that came in chunks. None: it has no end.
fn unchunked(text: &str) -> Option<String> {
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
async fn a_cut_stream_goes_on_behind_its_last_whole_event() {
    let list = engines("decode", 2, |seen, before| match before {
        0 => Act::SendAndReset(format!("{}c\r\nid: 3\ndata: \r\n", events(seen, 1, 3, false))),
        _ => Act::Send(events(seen, 3, 5, true)),
    })
    .await;
    let text = ask(&router(&list), "resume", "1", "").await;
    let expected: String = (1..5).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect();
    assert_eq!(unchunked(&text), Some(expected), "{text}");
    let lasts: Vec<_> =
        seen(&list).iter().filter_map(|seen| seen.header("last-event-id").map(str::to_string)).collect();
    assert_eq!(lasts, ["2"]);
}

#[tokio::test]
async fn a_stream_is_not_joined_with_what_is_no_engines_stream() {
    let joins: [fn(&Seen) -> String; 3] = [
        |seen| events(seen, 2, 4, true).replace("Response-Seal", "Other"),
        |seen| events(seen, 2, 4, true).replace("Attempt-Id: 1", "Attempt-Id: 2"),
        |seen| answer(seen, "500 Internal Server Error", "id: 2\n\n"),
    ];
    for join in joins {
        let list = engines("decode", 2, move |seen, before| match before {
            0 => Act::SendAndReset(events(seen, 1, 2, false)),
            _ => Act::Send(join(seen)),
        })
        .await;
        let text = ask(&router(&list), "resume", "1", "").await;
        assert!(text.contains("id: 1") && !text.contains("id: 2"), "{text}");
        assert!(!text.ends_with("0\r\n\r\n"), "{text}");
    }
}

#[tokio::test]
async fn a_stream_whose_events_have_no_ids_is_not_restarted() {
    let list = engines("decode", 2, |seen, before| match before {
        0 => Act::SendAndReset(events(seen, 1, 3, false).replace("id: ", "in: ")),
        _ => Act::Send(events(seen, 1, 5, true)),
    })
    .await;
    let text = ask(&router(&list), "resume", "1", "").await;
    assert_eq!(text.matches("token-1").count(), 1, "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
}

#[tokio::test]
async fn a_body_without_events_is_not_restarted_once_a_part_was_forwarded() {
    let large = "x".repeat(300 * 1024);
    let list = engines("decode", 2, move |seen, before| {
        let text = events(seen, 1, 2, false);
        let chunk = format!("{:x}\r\n{large}\r\n", large.len());
        if before == 0 {
            Act::SendAndClose(format!("{text}{chunk}"))
        } else {
            Act::Send(events(seen, 2, 5, true))
        }
    })
    .await;
    let text = ask(&router(&list), "resume", "1", "").await;
    assert!(text.contains("xxx") && !text.contains("token-2"), "joined");
    assert!(!text.ends_with("0\r\n\r\n"));
}
