//! Requests that one engine prefills and another decodes: whose KV cache is named, and how often.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::testing::engine::{answer, engines, events, handle, held, not_executed, seen, Act, Engine, Seen, PROMPT};
use crate::testing::router::{self, ask, router, status};

/// Prefill engines that give a handle and release it, and decode engines that follow a script.
async fn fleet(
    prefill: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static,
    decode: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static,
) -> Vec<Engine> {
    let mut list = engines("prefill", 2, prefill).await;
    list.extend(engines("decode", 2, decode).await);
    list
}

/// The script of a prefill engine that notifies when a handle is released.
fn freeing_prefill(released: Arc<Notify>) -> impl Fn(&Seen, usize) -> Act + Send + Sync + 'static {
    move |seen, _| {
        if seen.head.starts_with("DELETE") {
            released.notify_one();
        }
        Act::Send(held(seen))
    }
}

fn prefills(list: &[Engine]) -> Vec<Seen> {
    let all = seen(&list[..2]).into_iter();
    all.filter(|seen| seen.header("serving-phase") == Some("prefill")).collect()
}

fn releases(list: &[Engine]) -> Vec<String> {
    let all = seen(&list[..2]).into_iter();
    all.filter(|seen| seen.head.starts_with("DELETE")).map(|seen| seen.head).collect()
}

/// Returns what each request to a decode engine names as the source of its KV cache.
fn sources(list: &[Engine]) -> Vec<Option<String>> {
    seen(&list[2..]).iter().map(|seen| seen.header("kv-source").map(str::to_string)).collect()
}

fn source(list: &[Engine], id: &str) -> Option<String> {
    let prefill_engine =
        list[..2].iter().find(|engine| !engine.seen().is_empty()).expect("a prefill engine was called");
    Some(format!("{}/h{id}", prefill_engine.addr))
}

fn stream(seen: &Seen) -> Act {
    Act::Send(events(seen, 1, 3, true))
}

#[tokio::test]
async fn each_request_continues_with_the_cache_of_its_own_prompt() {
    let list = fleet(|seen, _| Act::Send(held(seen)), |seen, _| stream(seen)).await;
    let state = router(&list);
    let (one, two) = tokio::join!(ask(&state, "stream", "1", PROMPT), ask(&state, "resume", "2", PROMPT));
    assert!(one.contains("seal-1") && two.contains("seal-2"), "{one}{two}");
    let made = seen(&list[2..]);
    assert_eq!(made.len(), 2);
    for seen in made {
        let source = seen.header("kv-source").expect("named").to_string();
        assert!(source.ends_with(&format!("/h{}", seen.attempt())), "{source} for {}", seen.attempt());
    }
}

#[tokio::test]
async fn a_prefill_response_of_another_request_names_no_handle() {
    let others: [fn(&Seen) -> String; 3] = [
        |_| handle("another", "another"),
        |_| handle("another", "another").replace("Attempt-Id: another\r\n", ""),
        |seen| handle(seen.attempt(), "another/../x"),
    ];
    for other in others {
        let list = fleet(move |seen, _| Act::Send(other(seen)), |seen, _| stream(seen)).await;
        let text = ask(&router(&list), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!(sources(&list), [None]);
        assert_eq!(prefills(&list).len(), 1, "a prefill is not repeated on a guess");
    }
}

#[tokio::test]
async fn a_prefill_without_a_response_is_not_repeated() {
    for fault in [Act::SendAndReset as fn(String) -> Act, Act::SendAndClose] {
        let list = fleet(move |_, _| fault(String::new()), |seen, _| stream(seen)).await;
        let text = ask(&router(&list), "stream", "1", PROMPT).await;
        assert_eq!(status(&text), "200", "{text}");
        assert_eq!((prefills(&list).len(), sources(&list)), (1, vec![None]));
    }
}

#[tokio::test]
async fn an_unrepeatable_request_reaches_one_decode_engine_whatever_becomes_of_its_response() {
    let faults: [fn(&Seen) -> Act; 4] = [
        |_| Act::SendAndReset(String::new()),
        |seen| Act::Send(answer(seen, "503 Service Unavailable", "")),
        |seen| Act::Send(held(seen)),
        |seen| Act::SendAndReset(events(seen, 1, 2, false)),
    ];
    for (at, fault) in faults.into_iter().enumerate() {
        let list = fleet(|seen, _| Act::Send(held(seen)), move |seen, _| fault(seen)).await;
        let text = ask(&router(&list), "stream", "1", PROMPT).await;
        assert_eq!(sources(&list), [source(&list, "1")], "fault {at}");
        assert!(status(&text) == "502" || (at == 3 && !text.ends_with("0\r\n\r\n")), "fault {at}: {text}");
        assert!(!text.contains("kv_handle"), "{text}");
    }
}

#[tokio::test]
async fn a_handle_is_named_to_one_decode_engine_that_may_have_taken_it() {
    let released = Arc::new(Notify::new());
    let list = fleet(freeing_prefill(released.clone()), |seen, before| {
        if before == 0 {
            Act::SendAndReset(String::new())
        } else {
            stream(seen)
        }
    })
    .await;
    let text = ask(&router(&list), "resume", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    let named: Vec<_> = sources(&list).into_iter().flatten().collect();
    assert_eq!((named.len(), seen(&list[2..]).len()), (1, 2), "{named:?}");
    released.notified().await;
    assert_eq!(releases(&list).len(), 1);
}

#[tokio::test]
async fn a_handle_near_its_end_is_not_named() {
    let list = fleet(|seen, _| Act::Send(held(seen)), |seen, _| stream(seen)).await;
    let text = ask(&router::router_holding(&list, 0.4), "stream", "1", PROMPT).await;
    assert_eq!((status(&text), sources(&list)), ("200", vec![None]), "{text}");
}

#[tokio::test]
async fn a_cache_that_a_decode_engine_could_not_take_is_released_and_the_prompt_prefilled_there() {
    let released = Arc::new(Notify::new());
    let list = fleet(freeing_prefill(released.clone()), |seen, before| {
        if before == 0 {
            Act::Send(not_executed(seen))
        } else {
            stream(seen)
        }
    })
    .await;
    let text = ask(&router(&list), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    released.notified().await;
    assert!(releases(&list)[0].starts_with("DELETE /kv-handle/h1 "), "{:?}", releases(&list));
    let named: Vec<_> = sources(&list).into_iter().flatten().collect();
    assert_eq!((named.len(), seen(&list[2..]).len()), (1, 2), "{named:?}");
}

#[tokio::test]
async fn a_prefill_engine_that_does_not_execute_is_followed_by_another_within_the_retry_count() {
    let list = fleet(
        |seen, before| Act::Send(if before == 0 { not_executed(seen) } else { held(seen) }),
        |seen, _| stream(seen),
    )
    .await;
    let text = ask(&router(&list), "stream", "1", PROMPT).await;
    assert_eq!(status(&text), "200", "{text}");
    assert!(prefills(&list).len() <= 2 && seen(&list[2..]).len() == 1);
}
