//! Marks of lists, and that the messages come back as they were.

use std::collections::HashSet;

use super::{from_milli, shard_owners_fingerprint, to_milli, ShardOwner, TokenRequest, TokenResponse};
use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

fn holder(ip: &str, zone: &str) -> ShardOwner {
    ShardOwner { ip: ip.into(), zone: zone.into() }
}

#[test]
fn lists_that_differ_have_other_marks() {
    let one = vec![holder("10.0.0.1", "a"), holder("10.0.0.2", "b")];
    let less = vec![holder("10.0.0.1", "a")];
    let moved = vec![holder("10.0.0.1", "b"), holder("10.0.0.2", "b")];
    let fingerprints = [
        shard_owners_fingerprint(&one),
        shard_owners_fingerprint(&less),
        shard_owners_fingerprint(&moved),
        shard_owners_fingerprint(&[]),
    ];
    let unique: HashSet<u64> = fingerprints.into_iter().collect();
    assert_eq!(unique.len(), fingerprints.len());
    assert_eq!(shard_owners_fingerprint(&one), shard_owners_fingerprint(&one.clone()));
}

#[test]
fn thousandths_come_back() {
    assert_eq!(from_milli(to_milli(0.125)), 0.125);
    assert_eq!(to_milli(-1.0), 0);
}

#[test]
fn messages_come_back_as_they_were() {
    let spend = TokenRequest { tenant: "t".into(), rate_milli: 2500, burst_milli: 9000 };
    let messages = [
        Message::TokenRequest(Box::new(spend)),
        Message::TokenResponse(Box::new(TokenResponse::Denied { retry_after_ms: 30 })),
        Message::ShardOwners(Box::new(vec![holder("10.0.0.1", "a")])),
    ];
    for message in messages {
        let frame = frame::encode(Kind::Notification, 0, &message).expect("sealed");
        assert_eq!(frame::decode_body(&frame[HEADER_BYTES..]).expect("whole"), message);
    }
}
