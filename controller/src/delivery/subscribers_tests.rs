use protocol::link::Responder;
use protocol::message::Message;
use tokio::sync::mpsc;

use super::{Follower, Followers};

fn follower(mouth: Responder, until: u64) -> Follower {
    Follower {
        mouth,
        zone: "a".into(),
        config: 0,
        behind: false,
        rules: Default::default(),
        until,
        reads: 2,
        closed: Default::default(),
        sheets: Default::default(),
    }
}

fn message() -> Message {
    Message::Rejected(Box::new(1))
}

#[test]
fn a_lease_counts_until_it_lapses_also_when_the_connection_is_gone() {
    let (out, queue) = mpsc::channel(4);
    let mut followers = Followers::default();
    followers.list.insert("router-1".into(), follower(Responder::new(out), 1600));
    drop(queue);
    followers.forget_lapsed(1599);
    assert_eq!(followers.confirmations("rule", 1, 1599), (1, 0), "it may still act under an older rule");
    followers.forget_lapsed(1600);
    assert!(followers.list.is_empty());
}

#[test]
fn a_follower_that_does_not_read_is_behind_and_keeps_its_lease() {
    let (out, mut queue) = mpsc::channel(1);
    let mut followers = Followers::default();
    followers.list.insert("router-1".into(), follower(Responder::new(out), 1600));
    let held = followers.list.get_mut("router-1").expect("held");
    assert!(held.send(&message()) && !held.behind);
    assert!(!held.send(&message()) && held.behind);
    assert!(queue.try_recv().is_ok());
    assert!(held.send(&message()) && held.behind, "only its next call ends it");
    followers.forget_lapsed(5000);
    assert_eq!(followers.list.len(), 1, "it is still connected");
    assert_eq!(followers.confirmations("rule", 1, 5000), (0, 0));
}
