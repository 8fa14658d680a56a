//! One request and its response, with engines that misbehave: which response a client gets, and how often a request
//! reaches an engine.

use std::sync::{Arc, OnceLock};

use kernel::clock;
use load_balancing::RetryBudget;

use crate::state::State;
use crate::testing::engine::{answer, engines, not_executed, sealed, seen, Act, Engine, Seen};
use crate::testing::router::{ask, router, status, Client};

const UNREPEATABLE: [&str; 2] = ["once", "stream"];

#[tokio::test]
async fn an_answer_is_passed_on_unchanged() {
    let list = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "hello"))).await;
    let text = ask(&router(&list), "once", "1", "").await;
    assert_eq!(status(&text), "200");
    assert!(text.to_lowercase().contains("response-seal: seal-1"), "{text}");
    assert!(text.ends_with("hello"), "{text}");
    let seen = seen(&list).remove(0);
    assert!(seen.head.starts_with("POST /once/x HTTP/1.1\r\n"), "{}", seen.head);
    assert_eq!((seen.attempt(), &seen.body[..]), ("1", &b"body"[..]));
}

#[tokio::test]
async fn an_unrepeatable_request_is_sent_once_whatever_becomes_of_its_answer() {
    let faults: [fn(&Seen) -> Act; 8] = [
        |_| Act::SendAndReset(String::new()),
        |_| Act::SendAndClose(String::new()),
        |_| Act::SendAndClose("HTTP/1.1 200 O".into()),
        |_| Act::Send("no answer at all\r\n\r\n".into()),
        |seen| Act::SendAndReset(answer(seen, "200 OK", "whole")[..30].into()),
        |_| Act::Send(sealed("another", "200 OK", "of another")),
        |_| Act::Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nof another".into()),
        |seen| Act::Send(format!("HTTP/1.1 101 X\r\nAttempt-Id: {}\r\nUpgrade: x\r\n\r\n", seen.attempt())),
    ];
    for (at, fault) in faults.into_iter().enumerate() {
        for route in UNREPEATABLE {
            let list = engines("decode", 2, move |seen, _| fault(seen)).await;
            let text = ask(&router(&list), route, "1", "").await;
            assert_eq!(status(&text), "502", "fault {at} on {route}: {text}");
            assert!(!text.contains("of another"), "{text}");
            assert_eq!(seen(&list).len(), 1, "fault {at} on {route}");
        }
    }
}

#[tokio::test]
async fn a_retriable_status_without_not_executed_is_never_forwarded() {
    for code in ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"] {
        for route in UNREPEATABLE {
            let list = engines("decode", 2, move |seen, _| Act::Send(answer(seen, code, ""))).await;
            let text = ask(&router(&list), route, "1", "").await;
            assert_eq!(status(&text), "502", "{code} on {route}");
            assert!(!text.to_lowercase().contains("response-seal"), "another status than the engine gave: {text}");
            assert_eq!(seen(&list).len(), 1, "{code} on {route}");
        }
    }
}

#[tokio::test]
async fn a_success_that_says_it_was_not_run_counts_as_run() {
    let list = engines("decode", 2, |seen, _| {
        Act::Send(answer(seen, "200 OK", "x").replace("Keep-Alive: timeout=30", "Not-Executed: 1"))
    })
    .await;
    let text = ask(&router(&list), "once", "1", "").await;
    assert_eq!((status(&text), seen(&list).len()), ("502", 1), "{text}");
}

#[tokio::test]
async fn an_engines_failure_is_forwarded_with_its_seal() {
    for code in ["400 Bad Request", "500 Internal Server Error", "504 Gateway Timeout"] {
        let list = engines("decode", 2, move |seen, _| Act::Send(answer(seen, code, "why"))).await;
        let text = ask(&router(&list), "once", "1", "").await;
        assert_eq!(status(&text), &code[..3]);
        assert!(text.contains("seal-1") && text.ends_with("why"), "{text}");
        assert_eq!(seen(&list).len(), 1);
    }
}

#[tokio::test]
async fn a_request_that_was_not_run_goes_to_another_engine_or_is_refused() {
    for route in UNREPEATABLE {
        let list = engines("decode", 2, |seen, before| match before {
            0 => Act::Send(not_executed(seen)),
            _ => Act::Send(answer(seen, "200 OK", "second")),
        })
        .await;
        let text = ask(&router(&list), route, "1", "").await;
        assert_eq!((status(&text), seen(&list).len()), ("200", 2), "{text}");
        let list = engines("decode", 3, |seen, _| Act::Send(not_executed(seen))).await;
        let text = ask(&router(&list), route, "1", "").await;
        assert_eq!((status(&text), seen(&list).len()), ("503", 2), "{text}");
        assert!(text.to_lowercase().contains("retry-after"), "{text}");
    }
}

#[tokio::test]
async fn a_repeatable_request_is_sent_again_within_its_count() {
    for route in ["again", "resume"] {
        let list = engines("decode", 3, |seen, before| match before {
            0 => Act::SendAndReset(String::new()),
            _ => Act::Send(answer(seen, "200 OK", "second")),
        })
        .await;
        let text = ask(&router(&list), route, "1", "").await;
        assert_eq!((status(&text), seen(&list).len()), ("200", 2), "{text}");
        let list = engines("decode", 3, |_, _| Act::SendAndReset(String::new())).await;
        let state = router(&list);
        // The budget would bear more.
        *state.retry_budget() = RetryBudget::new(100.0, 10_000);
        let text = ask(&state, route, "1", "").await;
        assert_eq!((status(&text), seen(&list).len()), ("502", 2), "it may have run: {text}");
    }
}

#[tokio::test]
async fn a_repeat_after_a_failure_draws_on_the_budget_once() {
    let list = engines("decode", 2, |seen, before| match before {
        0 => Act::Send(answer(seen, "500 Internal Server Error", "first")),
        _ => Act::Send(answer(seen, "200 OK", "second")),
    })
    .await;
    let text = ask(&router(&list), "again", "1", "").await;
    assert_eq!((status(&text), seen(&list).len()), ("200", 2), "{text}");
}

#[tokio::test]
async fn an_unanswered_send_is_waited_for_and_never_repeated() {
    for route in UNREPEATABLE {
        let list = engines("decode", 2, |_, _| Act::Silence).await;
        let text = ask(&router(&list), route, "1", "Time-Budget: 300\r\n").await;
        assert_eq!((status(&text), seen(&list).len()), ("504", 1), "{text}");
    }
}

#[tokio::test]
async fn a_response_that_comes_before_its_request_is_not_forwarded() {
    let stale = sealed("stale", "200 OK", "of another");
    for route in UNREPEATABLE {
        let list = [Engine::start_greeting("g", "decode", &stale, |_| Act::Silence).await];
        let text = ask(&router(&list), route, "1", "Time-Budget: 2000\r\n").await;
        assert!(!text.contains("of another"), "{text}");
        assert!(["502", "503"].contains(&status(&text)), "{text}");
        assert!(status(&text) == "502" || seen(&list).is_empty(), "refused, yet an engine has it");
    }
}

#[tokio::test]
async fn a_request_without_an_id_gets_no_answer_that_bears_one() {
    let list = engines("decode", 1, |_, _| Act::Send(sealed("another", "200 OK", "of another"))).await;
    let mut client = Client::connect(&router(&list)).await;
    client.write("POST /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
    let text = client.rest().await;
    assert_eq!(status(&text), "502", "{text}");
}

#[tokio::test]
async fn a_request_with_two_ids_reaches_no_engine() {
    let list = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "x"))).await;
    let text = ask(&router(&list), "once", "1", "Attempt-Id: 2\r\n").await;
    assert_eq!((status(&text), seen(&list).len()), ("400", 0), "{text}");
}

#[tokio::test]
async fn interim_answers_are_not_the_answer() {
    let list = engines("decode", 1, |seen, _| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        Act::Send(format!("{interim}{}", answer(seen, "200 OK", "final")))
    })
    .await;
    let text = ask(&router(&list), "once", "1", "").await;
    assert_eq!(status(&text), "200");
    assert!(text.ends_with("final"), "{text}");
}

#[tokio::test]
async fn a_success_without_a_seal_is_not_forwarded() {
    for route in UNREPEATABLE {
        let list = engines("decode", 2, |seen, _| {
            Act::Send(answer(seen, "200 OK", "unsealed").replace("Response-Seal", "Other"))
        })
        .await;
        let text = ask(&router(&list), route, "1", "").await;
        assert_eq!((status(&text), seen(&list).len()), ("502", 1), "{text}");
        assert!(!text.contains("unsealed"), "{text}");
    }
}

#[tokio::test]
async fn what_only_the_system_may_set_is_not_taken_from_a_client() {
    let list = engines("decode", 1, |seen, _| Act::Send(answer(seen, "200 OK", "x"))).await;
    let forged = "Kv-Source: 10.0.0.1:80/of-another\r\nServing-Phase: prefill\r\nTarget-Instance: other\r\n\
                  Expected-Version: 7\r\nUrgency-Class: 0\r\nX-Other: kept\r\n";
    ask(&router(&list), "once", "1", forged).await;
    let seen = seen(&list).remove(0);
    for name in ["kv-source", "serving-phase", "expected-version", "urgency-class"] {
        assert_eq!(seen.header(name), None, "{name}");
    }
    assert_eq!(seen.header("target-instance"), Some("decode-0"));
    assert_eq!(seen.header("x-other"), Some("kept"));
}

/// Engines that do not respond; each is marked as failed as soon as a request has reached it.
async fn unresponsive_after_first_request(state: Arc<OnceLock<Arc<State>>>) -> Vec<Engine> {
    engines("decode", 2, move |seen, before| {
        let state = state.get().expect("set");
        let now = clock::now() + 1;
        if before == 0 {
            state.engines().engines.iter_mut().for_each(|engine| engine.record_failure(now, 0));
            return Act::Silence;
        }
        Act::Send(answer(seen, "200 OK", "second"))
    })
    .await
}

#[tokio::test]
async fn only_a_repeatable_request_leaves_an_engine_that_is_found_unresponsive() {
    for route in ["once", "stream", "again", "resume"] {
        let cell = Arc::new(OnceLock::new());
        let list = unresponsive_after_first_request(cell.clone()).await;
        let state = router(&list);
        assert!(cell.set(state.clone()).is_ok());
        let once = UNREPEATABLE.contains(&route);
        // What is sent once is waited for until its time is up; the others have all the time that they need.
        let budget = if once { "Time-Budget: 400\r\n" } else { "" };
        let text = ask(&state, route, "1", budget).await;
        let expected = if once { ("504", 1) } else { ("200", 2) };
        assert_eq!((status(&text), seen(&list).len()), expected, "{route}: {text}");
    }
}
