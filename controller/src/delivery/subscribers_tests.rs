//! Leases of subscribers, full send buffers, and resending of controller lists.

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
fn a_lease_counts_until_it_expires_after_its_connection_closed() {
    let (sender, receiver) = mpsc::channel(4);
    let mut table = SubscriberTable::default();
    table.list.insert("router-1".into(), subscriber(Responder::new(sender), 1600));
    drop(receiver);
    table.remove_expired(1599);
    assert_eq!(table.confirmations("rule", 1, 1599), (1, 0), "it may still act under an older limit");
    table.remove_expired(1600);
    assert!(table.list.is_empty());
}

#[test]
fn a_connected_subscriber_with_a_full_buffer_is_behind_and_stays_in_the_table() {
    let (sender, mut receiver) = mpsc::channel(1);
    let mut table = SubscriberTable::default();
    table.list.insert("router-1".into(), subscriber(Responder::new(sender), 1600));
    let subscriber = table.list.get_mut("router-1").expect("inserted");
    assert!(subscriber.send(&message()) && !subscriber.is_behind);
    assert!(!subscriber.send(&message()) && subscriber.is_behind);
    assert!(receiver.try_recv().is_ok());
    assert!(subscriber.send(&message()) && subscriber.is_behind, "it stays behind until its next renewal");
    table.remove_expired(5000);
    assert_eq!(table.list.len(), 1, "it is still connected");
    assert_eq!(table.confirmations("rule", 1, 5000), (0, 0));
}

#[test]
fn an_unchanged_list_of_controllers_is_resent_only_after_the_interval() {
    let (sender, _receiver) = mpsc::channel(1);
    let mut subscriber = subscriber(Responder::new(sender), 1600);
    let (first, second) = (["10.0.0.1".to_string()], ["10.0.0.1".to_string(), "10.0.0.2".to_string()]);
    assert!(subscriber.needs_controllers(&first, 0));
    assert!(!subscriber.needs_controllers(&first, 3999));
    assert!(subscriber.needs_controllers(&first, 4000), "the first list may have been lost with its connection");
    assert!(subscriber.needs_controllers(&second, 4001));
    assert!(!subscriber.needs_controllers(&second, 4002));
}

#[test]
fn sent_controllers_is_none_for_another_run_of_a_router() {
    let (sender, _receiver) = mpsc::channel(1);
    let mut first = subscriber(Responder::new(sender), 1600);
    assert!(first.needs_controllers(&["10.0.0.1".to_string()], 7));
    let sent = first.sent_controllers;
    let subscribers = Subscribers::default();
    subscribers.insert("router-1".into(), first);
    assert_eq!(subscribers.sent_controllers("router-1", 1), sent);
    assert_eq!(subscribers.sent_controllers("router-1", 2), None);
    assert_eq!(subscribers.sent_controllers("router-2", 1), None);
}
