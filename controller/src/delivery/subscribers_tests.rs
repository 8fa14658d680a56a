//! Leases of subscribers, and subscribers that do not read.

use protocol::link::Responder;
use protocol::message::Message;
use tokio::sync::mpsc;

use super::{Subscriber, SubscriberTable, Subscribers};

fn subscriber(responder: Responder, lease_expires_at: u64) -> Subscriber {
    Subscriber {
        responder,
        zone: "a".into(),
        incarnation: 1,
        sent_controllers: None,
        config_revision: 0,
        is_behind: false,
        confirmed_limits: Default::default(),
        lease_expires_at,
        protocol_version: 2,
        evacuation_versions: Default::default(),
        list_versions: Default::default(),
    }
}

fn message() -> Message {
    Message::Rejected(Box::new(1))
}

#[test]
fn a_lease_counts_until_it_lapses_also_when_the_connection_is_gone() {
    let (out, queue) = mpsc::channel(4);
    let mut table = SubscriberTable::default();
    table.list.insert("router-1".into(), subscriber(Responder::new(out), 1600));
    drop(queue);
    table.forget_lapsed(1599);
    assert_eq!(table.confirmations("rule", 1, 1599), (1, 0), "it may still act under an older rule");
    table.forget_lapsed(1600);
    assert!(table.list.is_empty());
}

#[test]
fn a_subscriber_that_does_not_read_is_behind_and_keeps_its_lease() {
    let (out, mut queue) = mpsc::channel(1);
    let mut table = SubscriberTable::default();
    table.list.insert("router-1".into(), subscriber(Responder::new(out), 1600));
    let subscriber = table.list.get_mut("router-1").expect("inserted");
    assert!(subscriber.send(&message()) && !subscriber.is_behind);
    assert!(!subscriber.send(&message()) && subscriber.is_behind);
    assert!(queue.try_recv().is_ok());
    assert!(subscriber.send(&message()) && subscriber.is_behind, "only its next call ends it");
    table.forget_lapsed(5000);
    assert_eq!(table.list.len(), 1, "it is still connected");
    assert_eq!(table.confirmations("rule", 1, 5000), (0, 0));
}

#[test]
fn an_unchanged_list_of_controllers_is_sent_again_after_a_while_only() {
    let (out, _queue) = mpsc::channel(1);
    let mut subscriber = subscriber(Responder::new(out), 1600);
    let (one, two) = (["10.0.0.1".to_string()], ["10.0.0.1".to_string(), "10.0.0.2".to_string()]);
    assert!(subscriber.needs_controllers(&one, 0));
    assert!(!subscriber.needs_controllers(&one, 3999));
    assert!(subscriber.needs_controllers(&one, 4000), "the first may have been lost with its connection");
    assert!(subscriber.needs_controllers(&two, 4001));
    assert!(!subscriber.needs_controllers(&two, 4002));
}

#[test]
fn another_run_of_a_router_has_been_sent_no_controllers() {
    let (out, _queue) = mpsc::channel(1);
    let mut first = subscriber(Responder::new(out), 1600);
    assert!(first.needs_controllers(&["10.0.0.1".to_string()], 7));
    let sent = first.sent_controllers;
    let subscribers = Subscribers::default();
    subscribers.insert("router-1".into(), first);
    assert_eq!(subscribers.sent_controllers("router-1", 1), sent);
    assert_eq!(subscribers.sent_controllers("router-1", 2), None);
    assert_eq!(subscribers.sent_controllers("router-2", 1), None);
}
