//! Reuse of connections, to engines and from clients: no request gets the response of another.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use crate::testing::engine::{answer, engines, events, sealed, seen, Act, Engine, Seen};
use crate::testing::router::{self, ask, post, router, status, wait_for_idle_connections, Client};

/// An answer with a body that names its request.
fn own(seen: &Seen) -> String {
    answer(seen, "200 OK", &format!("for-{}", seen.attempt()))
}

/// Returns which connection each request came on, counted from 0 among those that carried requests: a slow machine may have an engine
/// probed meanwhile, on a connection of its own.
fn connections(list: &[Engine]) -> Vec<usize> {
    let used: Vec<usize> = seen(list).iter().map(|seen| seen.connection).collect();
    let distinct: BTreeSet<usize> = used.iter().copied().collect();
    used.iter().map(|connection| distinct.range(..connection).count()).collect()
}

#[tokio::test]
async fn a_connection_whose_response_was_complete_is_reused() {
    let list = engines("decode", 1, |seen, _| Act::Send(own(seen))).await;
    let state = router(&list);
    for attempt in ["1", "2", "3"] {
        let text = ask(&state, "once", attempt, "").await;
        assert!(text.ends_with(&format!("for-{attempt}")), "{text}");
        wait_for_idle_connections(&state, 1).await;
    }
    assert_eq!(connections(&list), [0, 0, 0]);
}

#[tokio::test]
async fn bytes_after_a_complete_response_end_its_connection() {
    for surplus in [sealed("1", "200 OK", "for-1"), "garbage\r\n\r\n".into(), "x".into()] {
        let list = engines("decode", 1, move |seen, before| match before {
            0 => Act::Send(format!("{}{surplus}", own(seen))),
            _ => Act::Send(own(seen)),
        })
        .await;
        let state = router(&list);
        assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
        list[0].ended(1).await;
        let text = ask(&state, "once", "2", "").await;
        assert!(text.ends_with("for-2"), "{text}");
        assert_eq!(connections(&list), [0, 1]);
    }
}

#[tokio::test]
async fn bytes_that_come_while_a_connection_is_idle_end_it() {
    let when = Arc::new(Notify::new());
    let now = when.clone();
    let list = engines("decode", 1, move |seen, before| match before {
        0 => Act::SendAndLater(own(seen), now.clone(), sealed("1", "200 OK", "for-1")),
        _ => Act::Send(own(seen)),
    })
    .await;
    let state = router(&list);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    when.notify_one();
    wait_for_idle_connections(&state, 0).await;
    assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&list), [0, 1]);
}

#[tokio::test]
async fn a_surplus_answer_in_place_of_the_next_is_dropped_with_its_connection() {
    for route in ["once", "stream", "again"] {
        let list = engines("decode", 2, |seen, before| match before {
            0 => Act::Send(own(seen)),
            1 => Act::Send(format!("{}{}", sealed("1", "200 OK", "for-1"), own(seen))),
            _ => Act::Send(own(seen)),
        })
        .await;
        let state = router(&list[..1]);
        assert!(ask(&state, route, "1", "").await.ends_with("for-1"));
        wait_for_idle_connections(&state, 1).await;
        router::apply_endpoint_list(&state, 2, &list);
        state.engines().engines[1].saturated_until = u64::MAX;
        let text = ask(&state, route, "2", "").await;
        assert!(!text.contains("for-1"), "{text}");
        if route == "again" {
            assert!(text.ends_with("for-2"), "{text}");
        } else {
            assert_eq!((status(&text), seen(&list).len()), ("502", 2), "{text}");
        }
        wait_for_idle_connections(&state, usize::from(route == "again")).await;
    }
}

#[tokio::test]
async fn a_connection_that_its_engine_ends_is_not_used_again() {
    let ends: [fn(&Seen) -> Act; 3] = [
        |seen| Act::SendAndClose(own(seen)),
        |seen| Act::Send(own(seen).replace("Keep-Alive: timeout=30", "Connection: close")),
        |seen| Act::Send(own(seen).replace("Keep-Alive: timeout=30", "Keep-Alive: timeout=0")),
    ];
    for end in ends {
        let list =
            engines("decode", 1, move |seen, before| if before == 0 { end(seen) } else { Act::Send(own(seen)) }).await;
        let state = router(&list);
        assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
        list[0].ended(1).await;
        wait_for_idle_connections(&state, 0).await;
        assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
        assert_eq!(connections(&list), [0, 1]);
    }
}

#[tokio::test]
async fn a_request_on_a_connection_that_ends_meanwhile_is_not_sent_twice() {
    let list = engines("decode", 2, |seen, _| match seen.attempt() {
        "1" => Act::Send(own(seen)),
        _ if seen.connection == 0 => Act::SendAndReset(String::new()),
        _ => Act::Send(own(seen)),
    })
    .await;
    let state = router(&list[..1]);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    let text = ask(&state, "once", "2", "").await;
    assert_eq!(status(&text), "502", "it may have run: {text}");
    assert_eq!(connections(&list), [0, 0]);
}

#[tokio::test]
async fn an_engine_does_not_get_the_connections_of_the_one_before_it() {
    let mut list = engines("decode", 1, |seen, _| Act::Send(own(seen))).await;
    let state = router(&list);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    list[0].id = "successor".into();
    router::apply_endpoint_list(&state, 2, &list);
    assert!(ask(&state, "once", "2", "").await.ends_with("for-2"));
    assert_eq!(connections(&list), [0, 1]);
}

#[tokio::test]
async fn a_cut_answer_ends_its_connection_and_touches_no_other() {
    let list = engines("decode", 1, |seen, before| match before {
        1 => Act::SendAndReset(events(seen, 1, 3, false)),
        _ => Act::Send(own(seen)),
    })
    .await;
    let state = router(&list);
    assert!(ask(&state, "once", "1", "").await.ends_with("for-1"));
    wait_for_idle_connections(&state, 1).await;
    assert!(!ask(&state, "stream", "2", "").await.ends_with("0\r\n\r\n"));
    wait_for_idle_connections(&state, 0).await;
    assert!(ask(&state, "once", "3", "").await.ends_with("for-3"));
}

#[tokio::test]
async fn requests_that_a_client_sends_at_once_are_answered_in_their_order() {
    let list = engines("decode", 3, |seen, _| match seen.attempt() {
        "2" => Act::SendAndReset(String::new()),
        _ => Act::Send(own(seen)),
    })
    .await;
    let mut client = Client::connect(&router(&list)).await;
    let all = [
        post("once", "1", ""),
        post("once", "2", ""),
        post("gone", "3", ""),
        post("once", "4", "Connection: close\r\n"),
    ];
    client.write(&all.concat()).await;
    let text = client.rest().await;
    let answers: Vec<&str> = text.split("HTTP/1.1 ").skip(1).collect();
    let statuses: Vec<&str> = answers.iter().map(|answer| &answer[..3]).collect();
    assert_eq!(statuses, ["200", "502", "404", "200"], "{text}");
    assert!(answers[0].ends_with("for-1") && answers[3].ends_with("for-4"), "{text}");
    assert_eq!(seen(&list).len(), 3);
}

#[tokio::test]
async fn a_client_that_leaves_takes_its_request_with_it() {
    for route in ["once", "again", "resume"] {
        let list = engines("decode", 2, |seen, _| Act::Send(events(seen, 1, 3, false))).await;
        let state = router(&list);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        client.until("token-2").await;
        drop(client);
        ended_once(&list).await;
        assert_eq!(seen(&list).len(), 1, "{route}");
        wait_for_idle_connections(&state, 0).await;
    }
}

#[tokio::test]
async fn a_client_that_leaves_before_the_answer_takes_its_request_with_it() {
    for route in ["once", "again", "resume"] {
        let asked = Arc::new(Notify::new());
        let now = asked.clone();
        let list = engines("decode", 2, move |_, _| {
            now.notify_one();
            Act::Silence
        })
        .await;
        let state = router(&list);
        let mut client = Client::connect(&state).await;
        client.write(&post(route, "1", "")).await;
        asked.notified().await;
        drop(client);
        ended_once(&list).await;
        assert_eq!(seen(&list).len(), 1, "{route}");
    }
}

/// Waits until one of two engines has lost a connection: long before the request's time is up.
async fn ended_once(list: &[Engine]) {
    let ended = async {
        tokio::select! {
            () = list[0].ended(1) => {}
            () = list[1].ended(1) => {}
        }
    };
    let bound = Duration::from_secs(10);
    time::timeout(bound, ended).await.expect("the engine's connection is closed");
}
