use protocol::config::{read, Config};
use protocol::message::{Message, SubscriptionRenewal};
use tokio::task;

use super::{Event, Links, PUSHED_MOST};
use crate::testing::controller::{controllers, Manner};

fn config() -> Config {
    let text = serde_json::json!({"revision": 7, "route_table": [], "service_table": []});
    read(&text.to_string()).expect("good")
}

fn follow() -> Message {
    let empty = String::new;
    let follow = SubscriptionRenewal {
        node: "edge-1".into(),
        zone: "a".into(),
        incarnation: 1,
        config_revision: 0,
        evacuation_versions: Vec::new(),
        list_versions: Vec::new(),
        in_flight: Vec::new(),
        frontend_address: empty(),
    };
    Message::SubscriptionRenewal(Box::new(follow))
}

#[tokio::test]
async fn what_was_pushed_before_an_answer_comes_before_it() {
    let (controllers, port) = controllers(1, &config());
    let mut links = Links::new(port);
    links.call(&controllers[0].ip, follow(), 5, 5000);
    assert!(matches!(links.next().await, Event::Pushed(Message::ConfigUpdate(_))));
    let Event::Ended(end) = links.next().await else { panic!("an answer") };
    assert_eq!((end.controller.as_str(), end.sent), ("127.0.0.1", 5));
    assert!(matches!(end.reply, Some(Message::SubscriptionRenewed(_))));
}

#[tokio::test]
async fn calls_to_several_controllers_run_at_once_and_one_that_is_closed_is_not_reported() {
    let (controllers, port) = controllers(2, &config());
    controllers[0].set(Manner::Frozen);
    let mut links = Links::new(port);
    links.call(&controllers[0].ip, follow(), 5, 60_000);
    links.call(&controllers[1].ip, follow(), 6, 60_000);
    assert!(matches!(links.next().await, Event::Pushed(_)));
    assert!(matches!(links.next().await, Event::Ended(end) if end.controller == controllers[1].ip));
    links.keep(|controller| controller != controllers[0].ip);
    controllers[0].set(Manner::Confirming);
    links.call(&controllers[0].ip, follow(), 7, 60_000);
    assert!(matches!(links.next().await, Event::Pushed(_)));
    assert!(matches!(links.next().await, Event::Ended(end) if end.sent == 7), "not the call that was given up");
}

#[tokio::test]
async fn an_answer_to_a_call_that_was_given_up_is_not_taken_for_that_to_the_next() {
    let (controllers, port) = controllers(1, &config());
    let mut links = Links::new(port);
    links.call(&controllers[0].ip, follow(), 5, 60_000);
    // The change is pushed right before the answer.
    while links.pushed.is_empty() {
        task::yield_now().await;
    }
    for _ in 0..100 {
        task::yield_now().await;
    }
    links.close(&controllers[0].ip);
    links.call(&controllers[0].ip, follow(), 6, 60_000);
    loop {
        if let Event::Ended(end) = links.next().await {
            assert_eq!(end.sent, 6);
            return;
        }
    }
}

#[tokio::test]
async fn a_queue_that_was_full_is_noticed_with_the_first_message_taken() {
    let mut links = Links::new(1);
    let doubt = Message::SuspectEngine(Box::new(("i-1".into(), true)));
    for _ in 0..PUSHED_MOST / 2 {
        assert!(links.push.try_send(doubt.clone()).is_ok());
    }
    assert!(matches!(links.next().await, Event::Pushed(_)));
    assert!(!links.may_have_dropped());
    while links.push.try_send(doubt.clone()).is_ok() {}
    assert!(matches!(links.next().await, Event::Pushed(_)));
    assert!(links.may_have_dropped());
}
