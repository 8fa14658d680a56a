//! Reuse of connections to engines and from clients: no request gets the response to another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::testing::engine::{answer, engines, events, sealed, seen, Act, Engine, Seen};
use crate::testing::router::{self, ask, post, router, status, wait_for_idle_connections, Client};

/// Returns a response whose body contains the attempt id of its request.
fn response_for(seen: &Seen) -> String {
    answer(seen, "200 OK", &format!("for-{}", seen.attempt()))
}

/// Returns the connection on which each request arrived, counted from 0 among those that carried requests. On a slow
/// machine an engine may also be probed, on a separate connection.
fn connections(fleet: &[Engine]) -> Vec<usize> {
    let used: Vec<usize> = seen(fleet).iter().map(|seen| seen.connection).collect();
    let distinct: BTreeSet<usize> = used.iter().copied().collect();
    used.iter().map(|connection| distinct.range(..connection).count()).collect()
}

#[tokio::test]
async fn connection_is_reused_after_a_complete_response() {
    let fleet = engines("decode", 1, |seen, _| Act::Send(response_for(seen))).await;
    let state = router(&fleet);
    for attempt in ["1", "2", "3"] {
        let text = ask(&state, "once", attempt, "").await;
        assert!(text.ends_with(&format!("for-{attempt}")), "{text}");
        wait_for_idle_connections(&state, 1).await;
    }
    assert_eq!(connections(&fleet), [0, 0, 0]);
}

#[tokio::test]
async fn surplus_bytes_after_a_complete_response_close_the_connection() {
    for surplus in [sealed("1", "200 OK", "for-1"), "garbage\r\n\r\n".into(), "x".into()] {
        let fleet = engines("decode", 1, move |seen, request_index| match request_index {
            0 => Act::Send(format!("{}{surplus}", response_for(seen))),
            _ => Act::Send(response_for(seen)),
        })
        .await;
        let state = router(&fleet);
        assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
        fleet[0].ended(1).await;
        let text = ask(&state, "once", "2", "").await;
        assert!(text.ends_with("for-2"), "{text}");
        assert_eq!(connections(&fleet), [0, 1]);
    }
}

#[tokio::test]
async fn bytes_received_on_an_idle_connection_close_it() {
    let trigger = Arc::new(Notify::new());
    let engine_trigger = trigger.clone();
    let fleet = engines("decode", 1, move |seen, request_index| match request_index {
        0 => Act::SendAndLater(response_for(seen), engine_trigger.clone(), sealed("1", "200 OK", "for-1")),
        _ => Act::Send(response_for(seen)),
    })
    .await;
    let state = router(&fleet);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    trigger.notify_one();
    wait_for_idle_connections(&state, 0).await;
    assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&fleet), [0, 1]);
}

#[tokio::test]
async fn surplus_response_in_place_of_the_next_is_dropped_with_its_connection() {
    for route in ["once", "stream", "again"] {
        let fleet = engines("decode", 2, |seen, request_index| match request_index {
            0 => Act::Send(response_for(seen)),
            1 => Act::Send(format!("{}{}", sealed("1", "200 OK", "for-1"), response_for(seen))),
            _ => Act::Send(response_for(seen)),
        })
        .await;
        let state = router(&fleet[..1]);
        assert!(ask(&state, route, "1", "").await.ends_with("for-1"));
        wait_for_idle_connections(&state, 1).await;
        router::apply_endpoint_list(&state, 2, &fleet);
        state.engines().engines[1].saturated_until = u64::MAX;
        let text = ask(&state, route, "2", "").await;
        assert!(!text.contains("for-1"), "{text}");
        if route == "again" {
            assert!(text.ends_with("for-2"), "{text}");
        } else {
            assert_eq!((status(&text), seen(&fleet).len()), ("502", 2), "{text}");
        }
        wait_for_idle_connections(&state, usize::from(route == "again")).await;
    }
}

#[tokio::test]
async fn connection_closed_by_its_engine_is_not_reused() {
    let ends: [fn(&Seen) -> Act; 3] = [
        |seen| Act::SendAndClose(response_for(seen)),
        |seen| Act::Send(response_for(seen).replace("Keep-Alive: timeout=30", "Connection: close")),
        |seen| Act::Send(response_for(seen).replace("Keep-Alive: timeout=30", "Keep-Alive: timeout=0")),
    ];
    for end in ends {
        let fleet = engines(
            "decode",
            1,
            move |seen, request_index| if request_index == 0 { end(seen) } else { Act::Send(response_for(seen)) },
        )
        .await;
        let state = router(&fleet);
        assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
        fleet[0].ended(1).await;
        wait_for_idle_connections(&state, 0).await;
        assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
        assert_eq!(connections(&fleet), [0, 1]);
    }
}

#[tokio::test]
async fn request_on_a_connection_that_is_reset_is_not_sent_twice() {
    let fleet = engines("decode", 2, |seen, _| match seen.attempt() {
        "1" => Act::Send(response_for(seen)),
        _ if seen.connection == 0 => Act::SendAndReset(String::new()),
        _ => Act::Send(response_for(seen)),
    })
    .await;
    let state = router(&fleet[..1]);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    let text = ask(&state, "once", "2", "").await;
    assert_eq!(status(&text), "502", "it may have been executed: {text}");
    assert_eq!(connections(&fleet), [0, 0]);
}

#[tokio::test]
async fn connection_is_not_reused_for_another_engine_at_the_same_address() {
    let mut fleet = engines("decode", 1, |seen, _| Act::Send(response_for(seen))).await;
    let state = router(&fleet);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    fleet[0].id = "successor".into();
    router::apply_endpoint_list(&state, 2, &fleet);
    assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&fleet), [0, 1]);
}

#[tokio::test]
async fn truncated_response_closes_its_connection_and_affects_no_other_request() {
    let fleet = engines("decode", 1, |seen, request_index| match request_index {
        1 => Act::SendAndReset(events(seen, 1, 3, false)),
        _ => Act::Send(response_for(seen)),
    })
    .await;
    let state = router(&fleet);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    assert!(!ask(&state, "stream", "2", "").await.ends_with("0\r\n\r\n"));
    wait_for_idle_connections(&state, 0).await;
    assert!(ask(&state, "once", "3", "").await.ends_with("for-3"));
}

#[tokio::test]
async fn pipelined_requests_get_their_responses_in_order() {
    let fleet = engines("decode", 3, |seen, _| match seen.attempt() {
        "2" => Act::SendAndReset(String::new()),
        _ => Act::Send(response_for(seen)),
    })
    .await;
    let mut client = Client::connect(&router(&fleet)).await;
    let all = [
        post("once", "1", ""),
        post("once", "2", ""),
        post("gone", "3", ""),
        post("once", "4", "Connection: close\r\n"),
    ];
    client.write(&all.concat()).await;
    let text = client.rest().await;
    let responses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
    let statuses: Vec<&str> = responses.iter().map(|response| &response[..3]).collect();
    assert_eq!(statuses, ["200", "502", "404", "200"], "{text}");
    assert!(responses[0].ends_with("for-1") && responses[3].ends_with("for-4"), "{text}");
    assert_eq!(seen(&fleet).len(), 3);
}

#[tokio::test]
async fn request_is_aborted_when_its_client_disconnects_during_the_response() {
    for route in ["once", "again", "resume"] {
        let fleet = engines("decode", 2, |seen, _| Act::Send(events(seen, 1, 3, false))).await;
        let state = router(&fleet);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        client.until("token-2").await;
        drop(client);
        any_connection_ended(&fleet).await;
        assert_eq!(seen(&fleet).len(), 1, "{route}");
        wait_for_idle_connections(&state, 0).await;
    }
}

#[tokio::test]
async fn request_is_aborted_when_its_client_disconnects_before_the_response() {
    for route in ["once", "again", "resume"] {
        let received = Arc::new(Notify::new());
        let notify = received.clone();
        let fleet = engines("decode", 2, move |_, _| {
            notify.notify_one();
            Act::Silence
        })
        .await;
        let state = router(&fleet);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        received.notified().await;
        drop(client);
        any_connection_ended(&fleet).await;
        assert_eq!(seen(&fleet).len(), 1, "{route}");
    }
}

/// Waits until a connection to one of two engines has ended, long before the deadline of the request.
async fn any_connection_ended(fleet: &[Engine]) {
    let ended = async {
        tokio::select! {
            () = fleet[0].ended(1) => {}
            () = fleet[1].ended(1) => {}
        }
    };
    let timeout = Duration::from_secs(10);
    time::timeout(timeout, ended).await.expect("the engine's connection is closed");
}
