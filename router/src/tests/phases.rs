//! Requests that one engine prefills and another decodes: which KV cache the decode engine is sent, and how often.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::testing::engine::{answer, engines, events, handle, held, not_executed, seen, Act, Engine, Seen, PROMPT};
use crate::testing::router::{self, ask, router, status};

/// Starts two prefill engines and two decode engines, each kind with its script.
async fn start_fleet(
    prefill: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static,
    decode: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static,
) -> Vec<Engine> {
    let mut fleet = engines("prefill", 2, prefill).await;
    fleet.extend(engines("decode", 2, decode).await);
    fleet
}

/// Returns the script of a prefill engine that holds KV caches, and notifies when a handle is released.
fn releasing_prefill(released: Arc<Notify>) -> impl Fn(&Seen, usize) -> Act + Send + Sync + 'static {
    move |seen, _| {
        if seen.head.starts_with("DELETE") {
            released.notify_one();
        }
        Act::Send(held(seen))
    }
}

fn prefills(fleet: &[Engine]) -> Vec<Seen> {
    let all = seen(&fleet[..2]).into_iter();
    all.filter(|seen| seen.header("serving-phase") == Some("prefill")).collect()
}

fn releases(fleet: &[Engine]) -> Vec<String> {
    let all = seen(&fleet[..2]).into_iter();
    all.filter(|seen| seen.head.starts_with("DELETE")).map(|seen| seen.head).collect()
}

/// Returns the KV source in each request to a decode engine.
fn kv_sources(fleet: &[Engine]) -> Vec<Option<String>> {
    seen(&fleet[2..]).iter().map(|seen| seen.header("kv-source").map(str::to_string)).collect()
}

fn expected_kv_source(fleet: &[Engine], id: &str) -> Option<String> {
    let prefill_engine =
        fleet[..2].iter().find(|engine| !engine.seen().is_empty()).expect("a prefill engine was called");
    Some(format!("{}/h{id}", prefill_engine.addr))
}

fn complete_stream(seen: &Seen) -> Act {
    Act::Send(events(seen, 1, 3, true))
}

#[tokio::test]
async fn each_request_decodes_with_the_kv_cache_of_its_own_prompt() {
    let fleet = start_fleet(|seen, _| Act::Send(held(seen)), |seen, _| complete_stream(seen)).await;
    let state = router(&fleet);
    let (one, two) = tokio::join!(ask(&state, "stream", "1", PROMPT), ask(&state, "resume", "2", PROMPT));
    assert!(one.contains("seal-1") && two.contains("seal-2"), "{one}{two}");
    let decodes = seen(&fleet[2..]);
    assert_eq!(decodes.len(), 2);
    for seen in decodes {
        let source = seen.header("kv-source").expect("a KV source").to_string();
        assert!(source.ends_with(&format!("/h{}", seen.attempt())), "{source} for {}", seen.attempt());
    }
}

#[tokio::test]
async fn prefill_response_with_a_wrong_attempt_id_or_handle_is_not_used() {
    let wrong_responses: [fn(&Seen) -> String; 3] = [
        |_| handle("another", "another"),
        |_| handle("another", "another").replace("Attempt-Id: another\r\n", ""),
        |seen| handle(seen.attempt(), "another/../x"),
    ];
    for wrong_response in wrong_responses {
        let fleet = start_fleet(move |seen, _| Act::Send(wrong_response(seen)), |seen, _| complete_stream(seen)).await;
        let text = ask(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!(kv_sources(&fleet), [None]);
        assert_eq!(prefills(&fleet).len(), 1, "the prefill is not repeated");
    }
}

#[tokio::test]
async fn prefill_without_a_response_is_not_repeated() {
    for fault in [Act::SendAndReset as fn(String) -> Act, Act::SendAndClose] {
        let fleet = start_fleet(move |_, _| fault(String::new()), |seen, _| complete_stream(seen)).await;
        let text = ask(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!((prefills(&fleet).len(), kv_sources(&fleet)), (1, vec![None]));
    }
}

#[tokio::test]
async fn unrepeatable_request_reaches_one_decode_engine_whatever_the_fault_of_its_response() {
    let faults: [fn(&Seen) -> Act; 4] = [
        |_| Act::SendAndReset(String::new()),
        |seen| Act::Send(answer(seen, "503 Service Unavailable", "")),
        |seen| Act::Send(held(seen)),
        |seen| Act::SendAndReset(events(seen, 1, 2, false)),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        let fleet = start_fleet(|seen, _| Act::Send(held(seen)), move |seen, _| fault(seen)).await;
        let text = ask(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(kv_sources(&fleet), [expected_kv_source(&fleet, "1")], "fault {index}");
        assert!(status(&text) == "502" || (index == 3 && !text.ends_with("0\r\n\r\n")), "fault {index}: {text}");
        assert!(!text.contains("kv_handle"), "{text}");
    }
}

#[tokio::test]
async fn handle_is_released_and_not_sent_again_once_a_decode_engine_may_have_used_it() {
    let released = Arc::new(Notify::new());
    let fleet = start_fleet(releasing_prefill(released.clone()), |seen, request_index| {
        if request_index == 0 {
            Act::SendAndReset(String::new())
        } else {
            complete_stream(seen)
        }
    })
    .await;
    let text = ask(&router(&fleet), "resume", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    let sent_sources: Vec<_> = kv_sources(&fleet).into_iter().flatten().collect();
    assert_eq!((sent_sources.len(), seen(&fleet[2..]).len()), (1, 2), "{sent_sources:?}");
    released.notified().await;
    assert_eq!(releases(&fleet).len(), 1);
}

#[tokio::test]
async fn handle_close_to_its_expiry_is_not_sent() {
    let fleet = start_fleet(|seen, _| Act::Send(held(seen)), |seen, _| complete_stream(seen)).await;
    let text = ask(&router::router_holding(&fleet, 0.4), "stream", "1", PROMPT).await;
    assert_eq!((status(&text), kv_sources(&fleet)), ("200", vec![None]), "{text}");
}

#[tokio::test]
async fn handle_rejected_by_a_decode_engine_is_released_and_the_next_engine_prefills_the_prompt() {
    let released = Arc::new(Notify::new());
    let fleet = start_fleet(releasing_prefill(released.clone()), |seen, request_index| {
        if request_index == 0 {
            Act::Send(not_executed(seen))
        } else {
            complete_stream(seen)
        }
    })
    .await;
    let text = ask(&router(&fleet), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    released.notified().await;
    assert!(releases(&fleet)[0].starts_with("DELETE /kv-handle/h1 "), "{:?}", releases(&fleet));
    let sent_sources: Vec<_> = kv_sources(&fleet).into_iter().flatten().collect();
    assert_eq!((sent_sources.len(), seen(&fleet[2..]).len()), (1, 2), "{sent_sources:?}");
}

#[tokio::test]
async fn rejected_prefill_is_retried_on_another_engine_within_the_retry_count() {
    let fleet = start_fleet(
        |seen, request_index| Act::Send(if request_index == 0 { not_executed(seen) } else { held(seen) }),
        |seen, _| complete_stream(seen),
    )
    .await;
    let text = ask(&router(&fleet), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    assert!(prefills(&fleet).len() <= 2 && seen(&fleet[2..]).len() == 1);
}
