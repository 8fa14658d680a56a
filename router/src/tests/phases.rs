//! Requests that one engine prefills and another decodes: which KV cache the decode engine is sent, and how often.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::testing::engine::{
    engine_response, engines, events, handle, held, not_executed, received_requests, Engine, EngineAction,
    ReceivedRequest, PROMPT,
};
use crate::testing::router::{self, router, send_request, status};

/// Starts two prefill engines and two decode engines, each kind with its script.
async fn start_fleet(
    prefill: impl Fn(&ReceivedRequest, usize) -> EngineAction + Send + Sync + 'static,
    decode: impl Fn(&ReceivedRequest, usize) -> EngineAction + Send + Sync + 'static,
) -> Vec<Engine> {
    let mut fleet = engines("prefill", 2, prefill).await;
    fleet.extend(engines("decode", 2, decode).await);
    fleet
}

/// Returns the script of a prefill engine that holds KV caches, and notifies when a handle is released.
fn releasing_prefill(
    released: Arc<Notify>,
) -> impl Fn(&ReceivedRequest, usize) -> EngineAction + Send + Sync + 'static {
    move |request, _| {
        if request.head.starts_with("DELETE") {
            released.notify_one();
        }
        EngineAction::Send(held(request))
    }
}

fn prefills(fleet: &[Engine]) -> Vec<ReceivedRequest> {
    let all = received_requests(&fleet[..2]).into_iter();
    all.filter(|request| request.header("serving-phase") == Some("prefill")).collect()
}

fn releases(fleet: &[Engine]) -> Vec<String> {
    let all = received_requests(&fleet[..2]).into_iter();
    all.filter(|request| request.head.starts_with("DELETE")).map(|request| request.head).collect()
}

/// Returns the KV source in each request to a decode engine.
fn kv_sources(fleet: &[Engine]) -> Vec<Option<String>> {
    received_requests(&fleet[2..]).iter().map(|request| request.header("kv-source").map(str::to_string)).collect()
}

fn expected_kv_source(fleet: &[Engine], id: &str) -> Option<String> {
    let prefill_engine =
        fleet[..2].iter().find(|engine| !engine.received_requests().is_empty()).expect("a prefill engine was called");
    Some(format!("{}/h{id}", prefill_engine.addr))
}

fn complete_stream(request: &ReceivedRequest) -> EngineAction {
    EngineAction::Send(events(request, 1, 3, true))
}

#[tokio::test]
async fn each_request_decodes_with_the_kv_cache_of_its_own_prompt() {
    let fleet =
        start_fleet(|request, _| EngineAction::Send(held(request)), |request, _| complete_stream(request)).await;
    let state = router(&fleet);
    let (one, two) =
        tokio::join!(send_request(&state, "stream", "1", PROMPT), send_request(&state, "resume", "2", PROMPT));
    assert!(one.contains("seal-1") && two.contains("seal-2"), "{one}{two}");
    let decodes = received_requests(&fleet[2..]);
    assert_eq!(decodes.len(), 2);
    for request in decodes {
        let source = request.header("kv-source").expect("a KV source").to_string();
        assert!(source.ends_with(&format!("/h{}", request.attempt())), "{source} for {}", request.attempt());
    }
}

#[tokio::test]
async fn prefill_response_with_a_wrong_attempt_id_or_handle_is_not_used() {
    let wrong_responses: [fn(&ReceivedRequest) -> String; 3] = [
        |_| handle("another", "another"),
        |_| handle("another", "another").replace("Attempt-Id: another\r\n", ""),
        |request| handle(request.attempt(), "another/../x"),
    ];
    for wrong_response in wrong_responses {
        let fleet = start_fleet(
            move |request, _| EngineAction::Send(wrong_response(request)),
            |request, _| complete_stream(request),
        )
        .await;
        let text = send_request(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!(kv_sources(&fleet), [None]);
        assert_eq!(prefills(&fleet).len(), 1, "the prefill is not repeated");
    }
}

#[tokio::test]
async fn prefill_without_a_response_is_not_repeated() {
    for fault in [EngineAction::SendAndReset as fn(String) -> EngineAction, EngineAction::SendAndClose] {
        let fleet = start_fleet(move |_, _| fault(String::new()), |request, _| complete_stream(request)).await;
        let text = send_request(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!((prefills(&fleet).len(), kv_sources(&fleet)), (1, vec![None]));
    }
}

#[tokio::test]
async fn unrepeatable_request_reaches_one_decode_engine_whatever_the_fault_of_its_response() {
    let faults: [fn(&ReceivedRequest) -> EngineAction; 4] = [
        |_| EngineAction::SendAndReset(String::new()),
        |request| EngineAction::Send(engine_response(request, "503 Service Unavailable", "")),
        |request| EngineAction::Send(held(request)),
        |request| EngineAction::SendAndReset(events(request, 1, 2, false)),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        let fleet = start_fleet(|request, _| EngineAction::Send(held(request)), move |request, _| fault(request)).await;
        let text = send_request(&router(&fleet), "stream", "1", PROMPT).await;
        assert_eq!(kv_sources(&fleet), [expected_kv_source(&fleet, "1")], "fault {index}");
        assert!(status(&text) == "502" || (index == 3 && !text.ends_with("0\r\n\r\n")), "fault {index}: {text}");
        assert!(!text.contains("kv_handle"), "{text}");
    }
}

#[tokio::test]
async fn handle_is_released_and_not_sent_again_once_a_decode_engine_may_have_used_it() {
    let released = Arc::new(Notify::new());
    let fleet = start_fleet(releasing_prefill(released.clone()), |request, request_index| {
        if request_index == 0 {
            EngineAction::SendAndReset(String::new())
        } else {
            complete_stream(request)
        }
    })
    .await;
    let text = send_request(&router(&fleet), "resume", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    let sent_sources: Vec<_> = kv_sources(&fleet).into_iter().flatten().collect();
    assert_eq!((sent_sources.len(), received_requests(&fleet[2..]).len()), (1, 2), "{sent_sources:?}");
    released.notified().await;
    assert_eq!(releases(&fleet).len(), 1);
}

#[tokio::test]
async fn handle_close_to_its_expiry_is_not_sent() {
    let fleet =
        start_fleet(|request, _| EngineAction::Send(held(request)), |request, _| complete_stream(request)).await;
    let text = send_request(&router::router_holding(&fleet, 0.4), "stream", "1", PROMPT).await;
    assert_eq!((status(&text), kv_sources(&fleet)), ("200", vec![None]), "{text}");
}

#[tokio::test]
async fn handle_rejected_by_a_decode_engine_is_released_and_the_next_engine_prefills_the_prompt() {
    let released = Arc::new(Notify::new());
    let fleet = start_fleet(releasing_prefill(released.clone()), |request, request_index| {
        if request_index == 0 {
            EngineAction::Send(not_executed(request))
        } else {
            complete_stream(request)
        }
    })
    .await;
    let text = send_request(&router(&fleet), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    released.notified().await;
    assert!(releases(&fleet)[0].starts_with("DELETE /kv-handle/h1 "), "{:?}", releases(&fleet));
    let sent_sources: Vec<_> = kv_sources(&fleet).into_iter().flatten().collect();
    assert_eq!((sent_sources.len(), received_requests(&fleet[2..]).len()), (1, 2), "{sent_sources:?}");
}

#[tokio::test]
async fn rejected_prefill_is_retried_on_another_engine_within_the_retry_count() {
    let fleet = start_fleet(
        |request, request_index| {
            EngineAction::Send(if request_index == 0 { not_executed(request) } else { held(request) })
        },
        |request, _| complete_stream(request),
    )
    .await;
    let text = send_request(&router(&fleet), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    assert!(prefills(&fleet).len() <= 2 && received_requests(&fleet[2..]).len() == 1);
}
