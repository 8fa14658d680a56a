//! Fingerprints of owner lists, conversion of units, and the encoding of messages.

use std::collections::HashSet;

use super::{from_milli, shard_owners_fingerprint, to_milli, ShardOwner, TokenRequest, TokenResponse};
use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

fn owner(ip: &str, zone: &str) -> ShardOwner {
    ShardOwner { ip: ip.into(), zone: zone.into() }
}

#[test]
fn different_owner_lists_have_different_fingerprints() {
    let owners = vec![owner("10.0.0.1", "a"), owner("10.0.0.2", "b")];
    let fewer = vec![owner("10.0.0.1", "a")];
    let moved = vec![owner("10.0.0.1", "b"), owner("10.0.0.2", "b")];
    let fingerprints = [
        shard_owners_fingerprint(&owners),
        shard_owners_fingerprint(&fewer),
        shard_owners_fingerprint(&moved),
        shard_owners_fingerprint(&[]),
    ];
    let unique: HashSet<u64> = fingerprints.into_iter().collect();
    assert_eq!(unique.len(), fingerprints.len());
    assert_eq!(shard_owners_fingerprint(&owners), shard_owners_fingerprint(&owners.clone()));
}

#[test]
fn thousandths_convert_back_and_negative_numbers_become_zero() {
    assert_eq!(from_milli(to_milli(0.125)), 0.125);
    assert_eq!(to_milli(-1.0), 0);
}

#[test]
fn quota_messages_decode_to_the_encoded_values() {
    let request = TokenRequest { tenant: "t".into(), rate_milli: 2500, burst_milli: 9000 };
    let messages = [
        Message::TokenRequest(Box::new(request)),
        Message::TokenResponse(Box::new(TokenResponse::Denied { retry_after_ms: 30 })),
        Message::ShardOwners(Box::new(vec![owner("10.0.0.1", "a")])),
    ];
    for message in messages {
        let frame = frame::encode(Kind::Notification, 0, &message).expect("encoded");
        assert_eq!(frame::decode_body(&frame[HEADER_BYTES..]).expect("decoded"), message);
    }
}
