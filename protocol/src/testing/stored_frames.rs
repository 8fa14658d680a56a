//! Messages as earlier versions put them on the wire.

use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

/// Returns messages as frames, one after the other.
pub fn frames(messages: &[Message]) -> Vec<u8> {
    let encode = |message: &Message| frame::encode(Kind::Notification, 0, message).expect("sealed");
    messages.iter().map(encode).collect::<Vec<_>>().concat()
}

/// These bytes are what is written for these messages, and are read as them.
pub fn assert_stored(bytes: &[u8], messages: Vec<Message>) {
    assert_eq!(frames(&messages), bytes);
    let mut rest = bytes;
    for expected in messages {
        let (head, body) = rest.split_first_chunk::<HEADER_BYTES>().expect("a head");
        let (body, behind) = body.split_at(frame::decode_header(head).expect("a head").len);
        assert_eq!(frame::decode_body(body).expect("a body"), expected);
        rest = behind;
    }
    assert!(rest.is_empty(), "{} bytes behind the last frame", rest.len());
}
