use protocol::config::{read, Config};
use protocol::message::{Message, SubscriptionRenewal};
use protocol::Dialer;
use tokio::task;

use super::{Event, Links, PUSH_QUEUE_CAPACITY};
use crate::testing::controller::{controllers, ResponseMode};

fn config() -> Config {
    let text = serde_json::json!({"revision": 7, "route_table": [], "service_table": []});
    read(&text.to_string()).expect("valid configuration")
}

fn renewal() -> Message {
    let empty = String::new;
    let renewal = SubscriptionRenewal {
        node: "edge-1".into(),
        zone: "a".into(),
        incarnation: 1,
        config_revision: 0,
        evacuation_versions: Vec::new(),
        list_versions: Vec::new(),
        in_flight: Vec::new(),
        frontend_address: empty(),
    };
    Message::SubscriptionRenewal(Box::new(renewal))
}

#[tokio::test]
async fn a_push_before_a_response_is_returned_before_it() {
    let (controllers, port) = controllers(1, &config());
    let mut links = Links::new(Dialer::default(), port);
    links.call(&controllers[0].ip, renewal(), 5, 5000);
    assert!(matches!(links.next_event().await, Event::Pushed(Message::ConfigUpdate(_))));
    let Event::CallFinished(finished) = links.next_event().await else { panic!("the call has not finished") };
    assert_eq!((finished.controller.as_str(), finished.sent_at), ("127.0.0.1", 5));
    assert!(matches!(finished.reply, Some(Message::SubscriptionRenewed(_))));
}

#[tokio::test]
async fn calls_run_concurrently_and_a_call_on_a_closed_connection_is_not_reported() {
    let (controllers, port) = controllers(2, &config());
    controllers[0].set_mode(ResponseMode::Frozen);
    let mut links = Links::new(Dialer::default(), port);
    links.call(&controllers[0].ip, renewal(), 5, 60_000);
    links.call(&controllers[1].ip, renewal(), 6, 60_000);
    assert!(matches!(links.next_event().await, Event::Pushed(_)));
    assert!(
        matches!(links.next_event().await, Event::CallFinished(finished) if finished.controller == controllers[1].ip)
    );
    links.retain(|controller| controller != controllers[0].ip);
    controllers[0].set_mode(ResponseMode::Confirming);
    links.call(&controllers[0].ip, renewal(), 7, 60_000);
    assert!(matches!(links.next_event().await, Event::Pushed(_)));
    assert!(
        matches!(links.next_event().await, Event::CallFinished(finished) if finished.sent_at == 7),
        "not the abandoned call"
    );
}

#[tokio::test]
async fn a_response_to_an_abandoned_call_is_not_attributed_to_the_next() {
    let (controllers, port) = controllers(1, &config());
    let mut links = Links::new(Dialer::default(), port);
    links.call(&controllers[0].ip, renewal(), 5, 60_000);
    // The configuration update is pushed right before the response.
    while links.push_receiver.is_empty() {
        task::yield_now().await;
    }
    for _ in 0..100 {
        task::yield_now().await;
    }
    links.close(&controllers[0].ip);
    links.call(&controllers[0].ip, renewal(), 6, 60_000);
    loop {
        if let Event::CallFinished(finished) = links.next_event().await {
            assert_eq!(finished.sent_at, 6);
            return;
        }
    }
}

#[tokio::test]
async fn a_full_queue_is_detected_with_the_first_message_received() {
    let mut links = Links::new(Dialer::default(), 1);
    let report = Message::SuspectEngine(Box::new(("i-1".into(), true)));
    for _ in 0..PUSH_QUEUE_CAPACITY / 2 {
        assert!(links.push_sender.try_send(report.clone()).is_ok());
    }
    assert!(matches!(links.next_event().await, Event::Pushed(_)));
    assert!(!links.may_have_dropped());
    while links.push_sender.try_send(report.clone()).is_ok() {}
    assert!(matches!(links.next_event().await, Event::Pushed(_)));
    assert!(links.may_have_dropped());
}
