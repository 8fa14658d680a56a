//! Reuse of connections to engines and from clients: no request gets the response to another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::testing::engine::{
    engine_response, engines, events, received_requests, sealed_response, Engine, EngineAction, ReceivedRequest,
};
use crate::testing::router::{self, post, router, send_request, status, wait_for_idle_connections, Client};

/// Returns a response whose body contains the attempt id of its request.
fn response_for(request: &ReceivedRequest) -> String {
    engine_response(request, "200 OK", &format!("for-{}", request.attempt()))
}

/// Returns the connection on which each request arrived, counted from 0 among those that carried requests. On a slow
/// machine an engine may also be probed, on a separate connection.
fn connections(fleet: &[Engine]) -> Vec<usize> {
    let used: Vec<usize> = received_requests(fleet).iter().map(|request| request.connection).collect();
    let distinct: BTreeSet<usize> = used.iter().copied().collect();
    used.iter().map(|connection| distinct.range(..connection).count()).collect()
}

#[tokio::test]
async fn connection_is_reused_after_a_complete_response() {
    let fleet = engines("decode", 1, |request, _| EngineAction::Send(response_for(request))).await;
    let state = router(&fleet);
    for attempt in ["1", "2", "3"] {
        let text = send_request(&state, "once", attempt, "").await;
        assert!(text.ends_with(&format!("for-{attempt}")), "{text}");
        wait_for_idle_connections(&state, 1).await;
    }
    assert_eq!(connections(&fleet), [0, 0, 0]);
}

#[tokio::test]
async fn surplus_bytes_after_a_complete_response_close_the_connection() {
    for surplus in [sealed_response("1", "200 OK", "for-1"), "garbage\r\n\r\n".into(), "x".into()] {
        let fleet = engines("decode", 1, move |request, request_index| match request_index {
            0 => EngineAction::Send(format!("{}{surplus}", response_for(request))),
            _ => EngineAction::Send(response_for(request)),
        })
        .await;
        let state = router(&fleet);
        assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
        fleet[0].ended(1).await;
        let text = send_request(&state, "once", "2", "").await;
        assert!(text.ends_with("for-2"), "{text}");
        assert_eq!(connections(&fleet), [0, 1]);
    }
}

#[tokio::test]
async fn bytes_received_on_an_idle_connection_close_it() {
    let trigger = Arc::new(Notify::new());
    let engine_trigger = trigger.clone();
    let fleet = engines("decode", 1, move |request, request_index| match request_index {
        0 => EngineAction::SendAndLater(
            response_for(request),
            engine_trigger.clone(),
            sealed_response("1", "200 OK", "for-1"),
        ),
        _ => EngineAction::Send(response_for(request)),
    })
    .await;
    let state = router(&fleet);
    assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    trigger.notify_one();
    wait_for_idle_connections(&state, 0).await;
    assert!(send_request(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&fleet), [0, 1]);
}

#[tokio::test]
async fn surplus_response_in_place_of_the_next_is_dropped_with_its_connection() {
    for route in ["once", "stream", "again"] {
        let fleet = engines("decode", 2, |request, request_index| match request_index {
            0 => EngineAction::Send(response_for(request)),
            1 => EngineAction::Send(format!("{}{}", sealed_response("1", "200 OK", "for-1"), response_for(request))),
            _ => EngineAction::Send(response_for(request)),
        })
        .await;
        let state = router(&fleet[..1]);
        assert!(send_request(&state, route, "1", "").await.ends_with("for-1"));
        wait_for_idle_connections(&state, 1).await;
        router::apply_endpoint_list(&state, 2, &fleet);
        state.engines().engines[1].saturated_until = u64::MAX;
        let text = send_request(&state, route, "2", "").await;
        assert!(!text.contains("for-1"), "{text}");
        if route == "again" {
            assert!(text.ends_with("for-2"), "{text}");
        } else {
            assert_eq!((status(&text), received_requests(&fleet).len()), ("502", 2), "{text}");
        }
        wait_for_idle_connections(&state, usize::from(route == "again")).await;
    }
}

#[tokio::test]
async fn connection_closed_by_its_engine_is_not_reused() {
    let ends: [fn(&ReceivedRequest) -> EngineAction; 3] = [
        |request| EngineAction::SendAndClose(response_for(request)),
        |request| EngineAction::Send(response_for(request).replace("Keep-Alive: timeout=30", "Connection: close")),
        |request| EngineAction::Send(response_for(request).replace("Keep-Alive: timeout=30", "Keep-Alive: timeout=0")),
    ];
    for end in ends {
        let fleet = engines("decode", 1, move |request, request_index| {
            if request_index == 0 {
                end(request)
            } else {
                EngineAction::Send(response_for(request))
            }
        })
        .await;
        let state = router(&fleet);
        assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
        fleet[0].ended(1).await;
        wait_for_idle_connections(&state, 0).await;
        assert!(send_request(&state, "once", "2", "").await.ends_with("for-2"));
        assert_eq!(connections(&fleet), [0, 1]);
    }
}

#[tokio::test]
async fn request_on_a_connection_that_is_reset_is_not_sent_twice() {
    let fleet = engines("decode", 2, |request, _| match request.attempt() {
        "1" => EngineAction::Send(response_for(request)),
        _ if request.connection == 0 => EngineAction::SendAndReset(String::new()),
        _ => EngineAction::Send(response_for(request)),
    })
    .await;
    let state = router(&fleet[..1]);
    assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    let text = send_request(&state, "once", "2", "").await;
    assert_eq!(status(&text), "502", "it may have been executed: {text}");
    assert_eq!(connections(&fleet), [0, 0]);
}

#[tokio::test]
async fn connection_is_not_reused_for_another_engine_at_the_same_address() {
    let mut fleet = engines("decode", 1, |request, _| EngineAction::Send(response_for(request))).await;
    let state = router(&fleet);
    assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    fleet[0].id = "successor".into();
    router::apply_endpoint_list(&state, 2, &fleet);
    assert!(send_request(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&fleet), [0, 1]);
}

#[tokio::test]
async fn truncated_response_closes_its_connection_and_affects_no_other_request() {
    let fleet = engines("decode", 1, |request, request_index| match request_index {
        1 => EngineAction::SendAndReset(events(request, 1, 3, false)),
        _ => EngineAction::Send(response_for(request)),
    })
    .await;
    let state = router(&fleet);
    assert!(send_request(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    assert!(!send_request(&state, "stream", "2", "").await.ends_with("0\r\n\r\n"));
    wait_for_idle_connections(&state, 0).await;
    assert!(send_request(&state, "once", "3", "").await.ends_with("for-3"));
}

#[tokio::test]
async fn pipelined_requests_get_their_responses_in_order() {
    let fleet = engines("decode", 3, |request, _| match request.attempt() {
        "2" => EngineAction::SendAndReset(String::new()),
        _ => EngineAction::Send(response_for(request)),
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
    let text = client.read_to_end().await;
    let responses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
    let statuses: Vec<&str> = responses.iter().map(|response| &response[..3]).collect();
    assert_eq!(statuses, ["200", "502", "404", "200"], "{text}");
    assert!(responses[0].ends_with("for-1") && responses[3].ends_with("for-4"), "{text}");
    assert_eq!(received_requests(&fleet).len(), 3);
}

#[tokio::test]
async fn request_is_aborted_when_its_client_disconnects_during_the_response() {
    for route in ["once", "again", "resume"] {
        let fleet = engines("decode", 2, |request, _| EngineAction::Send(events(request, 1, 3, false))).await;
        let state = router(&fleet);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        client.read_until("token-2").await;
        drop(client);
        any_connection_ended(&fleet).await;
        assert_eq!(received_requests(&fleet).len(), 1, "{route}");
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
            EngineAction::Silence
        })
        .await;
        let state = router(&fleet);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        received.notified().await;
        drop(client);
        any_connection_ended(&fleet).await;
        assert_eq!(received_requests(&fleet).len(), 1, "{route}");
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
