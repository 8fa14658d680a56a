//! Requests to faulty engines: which response the client gets, and how often a request reaches an engine.

use std::sync::{Arc, OnceLock};

use kernel::clock;
use load_balancing::RetryBudget;

use crate::state::State;
use crate::testing::engine::{
    engine_response, engines, not_executed, received_requests, sealed_response, Engine, EngineAction, ReceivedRequest,
};
use crate::testing::router::{router, send_request, status, Client};

const UNREPEATABLE_ROUTES: [&str; 2] = ["once", "stream"];

#[tokio::test]
async fn response_is_forwarded_unchanged() {
    let fleet =
        engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let text = send_request(&router(&fleet), "once", "1", "").await;
    assert_eq!(status(&text), "200");
    assert!(text.to_lowercase().contains("response-seal: seal-1"), "{text}");
    assert!(text.ends_with("hello"), "{text}");
    let request = received_requests(&fleet).remove(0);
    assert!(request.head.starts_with("POST /once/x HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!((request.attempt(), &request.body[..]), ("1", &b"body"[..]));
}

#[tokio::test]
async fn unrepeatable_request_is_sent_once_whatever_the_fault_of_its_response() {
    let faults: [fn(&ReceivedRequest) -> EngineAction; 8] = [
        |_| EngineAction::SendAndReset(String::new()),
        |_| EngineAction::SendAndClose(String::new()),
        |_| EngineAction::SendAndClose("HTTP/1.1 200 O".into()),
        |_| EngineAction::Send("no answer at all\r\n\r\n".into()),
        |request| EngineAction::SendAndReset(engine_response(request, "200 OK", "whole")[..30].into()),
        |_| EngineAction::Send(sealed_response("another", "200 OK", "of another")),
        |_| EngineAction::Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nof another".into()),
        |request| {
            EngineAction::Send(format!("HTTP/1.1 101 X\r\nAttempt-Id: {}\r\nUpgrade: x\r\n\r\n", request.attempt()))
        },
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        for route in UNREPEATABLE_ROUTES {
            let fleet = engines("decode", 2, move |request, _| fault(request)).await;
            let text = send_request(&router(&fleet), route, "1", "").await;
            assert_eq!(status(&text), "502", "fault {index} on {route}: {text}");
            assert!(!text.contains("of another"), "{text}");
            assert_eq!(received_requests(&fleet).len(), 1, "fault {index} on {route}");
        }
    }
}

#[tokio::test]
async fn retriable_status_without_not_executed_header_is_never_forwarded() {
    for code in ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"] {
        for route in UNREPEATABLE_ROUTES {
            let fleet =
                engines("decode", 2, move |request, _| EngineAction::Send(engine_response(request, code, ""))).await;
            let text = send_request(&router(&fleet), route, "1", "").await;
            assert_eq!(status(&text), "502", "{code} on {route}");
            assert!(
                !text.to_lowercase().contains("response-seal"),
                "a seal on a status that is not the engine's: {text}"
            );
            assert_eq!(received_requests(&fleet).len(), 1, "{code} on {route}");
        }
    }
}

#[tokio::test]
async fn success_with_not_executed_header_counts_as_executed() {
    let fleet = engines("decode", 2, |request, _| {
        EngineAction::Send(engine_response(request, "200 OK", "x").replace("Keep-Alive: timeout=30", "Not-Executed: 1"))
    })
    .await;
    let text = send_request(&router(&fleet), "once", "1", "").await;
    assert_eq!((status(&text), received_requests(&fleet).len()), ("502", 1), "{text}");
}

#[tokio::test]
async fn error_response_of_an_engine_is_forwarded_with_its_seal() {
    for code in ["400 Bad Request", "500 Internal Server Error", "504 Gateway Timeout"] {
        let fleet =
            engines("decode", 2, move |request, _| EngineAction::Send(engine_response(request, code, "why"))).await;
        let text = send_request(&router(&fleet), "once", "1", "").await;
        assert_eq!(status(&text), &code[..3]);
        assert!(text.contains("seal-1") && text.ends_with("why"), "{text}");
        assert_eq!(received_requests(&fleet).len(), 1);
    }
}

#[tokio::test]
async fn request_that_was_not_executed_goes_to_another_engine_or_is_refused() {
    for route in UNREPEATABLE_ROUTES {
        let fleet = engines("decode", 2, |request, request_index| match request_index {
            0 => EngineAction::Send(not_executed(request)),
            _ => EngineAction::Send(engine_response(request, "200 OK", "second")),
        })
        .await;
        let text = send_request(&router(&fleet), route, "1", "").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("200", 2), "{text}");
        let fleet = engines("decode", 3, |request, _| EngineAction::Send(not_executed(request))).await;
        let text = send_request(&router(&fleet), route, "1", "").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("503", 2), "{text}");
        assert!(text.to_lowercase().contains("retry-after"), "{text}");
    }
}

#[tokio::test]
async fn repeatable_request_is_retried_up_to_its_retry_count() {
    for route in ["again", "resume"] {
        let fleet = engines("decode", 3, |request, request_index| match request_index {
            0 => EngineAction::SendAndReset(String::new()),
            _ => EngineAction::Send(engine_response(request, "200 OK", "second")),
        })
        .await;
        let text = send_request(&router(&fleet), route, "1", "").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("200", 2), "{text}");
        let fleet = engines("decode", 3, |_, _| EngineAction::SendAndReset(String::new())).await;
        let state = router(&fleet);
        // The retry budget would allow more sends.
        *state.retry_budget() = RetryBudget::new(100.0, 10_000);
        let text = send_request(&state, route, "1", "").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("502", 2), "it may have been executed: {text}");
    }
}

#[tokio::test]
async fn retry_after_an_error_response_draws_on_the_budget_once() {
    let fleet = engines("decode", 2, |request, request_index| match request_index {
        0 => EngineAction::Send(engine_response(request, "500 Internal Server Error", "first")),
        _ => EngineAction::Send(engine_response(request, "200 OK", "second")),
    })
    .await;
    let text = send_request(&router(&fleet), "again", "1", "").await;
    assert_eq!((status(&text), received_requests(&fleet).len()), ("200", 2), "{text}");
}

#[tokio::test]
async fn unrepeatable_request_without_a_response_ends_at_its_deadline_and_is_not_retried() {
    for route in UNREPEATABLE_ROUTES {
        let fleet = engines("decode", 2, |_, _| EngineAction::Silence).await;
        let text = send_request(&router(&fleet), route, "1", "Time-Budget: 300\r\n").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("504", 1), "{text}");
    }
}

#[tokio::test]
async fn response_sent_before_its_request_is_not_forwarded() {
    let stale = sealed_response("stale", "200 OK", "of another");
    for route in UNREPEATABLE_ROUTES {
        let fleet = [Engine::start_greeting("g", "decode", &stale, |_| EngineAction::Silence).await];
        let text = send_request(&router(&fleet), route, "1", "Time-Budget: 2000\r\n").await;
        assert!(!text.contains("of another"), "{text}");
        assert!(["502", "503"].contains(&status(&text)), "{text}");
        assert!(
            status(&text) == "502" || received_requests(&fleet).is_empty(),
            "refused although an engine received it"
        );
    }
}

#[tokio::test]
async fn request_without_an_attempt_id_gets_no_response_that_has_one() {
    let fleet =
        engines("decode", 1, |_, _| EngineAction::Send(sealed_response("another", "200 OK", "of another"))).await;
    let mut client = Client::connect(&router(&fleet)).await;
    client.write("POST /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
    let text = client.read_to_end().await;
    assert_eq!(status(&text), "502", "{text}");
}

#[tokio::test]
async fn request_with_two_attempt_ids_reaches_no_engine() {
    let fleet = engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "x"))).await;
    let text = send_request(&router(&fleet), "once", "1", "Attempt-Id: 2\r\n").await;
    assert_eq!((status(&text), received_requests(&fleet).len()), ("400", 0), "{text}");
}

#[tokio::test]
async fn interim_responses_are_not_taken_for_the_final_one() {
    let fleet = engines("decode", 1, |request, _| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        EngineAction::Send(format!("{interim}{}", engine_response(request, "200 OK", "final")))
    })
    .await;
    let text = send_request(&router(&fleet), "once", "1", "").await;
    assert_eq!(status(&text), "200");
    assert!(text.ends_with("final"), "{text}");
}

#[tokio::test]
async fn success_without_a_seal_is_not_forwarded() {
    for route in UNREPEATABLE_ROUTES {
        let fleet = engines("decode", 2, |request, _| {
            EngineAction::Send(engine_response(request, "200 OK", "unsealed").replace("Response-Seal", "Other"))
        })
        .await;
        let text = send_request(&router(&fleet), route, "1", "").await;
        assert_eq!((status(&text), received_requests(&fleet).len()), ("502", 1), "{text}");
        assert!(!text.contains("unsealed"), "{text}");
    }
}

#[tokio::test]
async fn internal_headers_set_by_a_client_are_not_forwarded() {
    let fleet = engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "x"))).await;
    let forged = "Kv-Source: 10.0.0.1:80/of-another\r\nServing-Phase: prefill\r\nTarget-Instance: other\r\n\
                  Expected-Version: 7\r\nUrgency-Class: 0\r\nX-Other: kept\r\n";
    send_request(&router(&fleet), "once", "1", forged).await;
    let request = received_requests(&fleet).remove(0);
    for name in ["kv-source", "serving-phase", "expected-version", "urgency-class"] {
        assert_eq!(request.header(name), None, "{name}");
    }
    assert_eq!(request.header("target-instance"), Some("decode-0"));
    assert_eq!(request.header("x-other"), Some("kept"));
}

/// Starts two engines. When the first request arrives, both are marked as failed and it gets no response; later
/// requests get one.
async fn unresponsive_after_first_request(state: Arc<OnceLock<Arc<State>>>) -> Vec<Engine> {
    engines("decode", 2, move |request, request_index| {
        let state = state.get().expect("the router's state");
        let now = clock::now() + 1;
        if request_index == 0 {
            state.engines().engines.iter_mut().for_each(|engine| engine.record_failure(now, 0));
            return EngineAction::Silence;
        }
        EngineAction::Send(engine_response(request, "200 OK", "second"))
    })
    .await
}

#[tokio::test]
async fn only_repeatable_requests_are_rerouted_from_an_unresponsive_engine() {
    for route in ["once", "stream", "again", "resume"] {
        let state_cell = Arc::new(OnceLock::new());
        let fleet = unresponsive_after_first_request(state_cell.clone()).await;
        let state = router(&fleet);
        assert!(state_cell.set(state.clone()).is_ok());
        let is_sent_once = UNREPEATABLE_ROUTES.contains(&route);
        // A request that is sent once waits until its deadline, so it gets a short one.
        let budget = if is_sent_once { "Time-Budget: 400\r\n" } else { "" };
        let text = send_request(&state, route, "1", budget).await;
        let expected = if is_sent_once { ("504", 1) } else { ("200", 2) };
        assert_eq!((status(&text), received_requests(&fleet).len()), expected, "{route}: {text}");
    }
}
