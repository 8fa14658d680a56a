//! Messages as earlier versions encoded them.

use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

/// Encodes messages as consecutive frames.
pub fn encode_frames(messages: &[Message]) -> Vec<u8> {
    let encode = |message: &Message| frame::encode(Kind::Notification, 0, message).expect("encoded");
    messages.iter().map(encode).collect::<Vec<_>>().concat()
}

/// Asserts that the messages encode to these bytes, and that the bytes decode to the messages.
pub fn assert_encoding(bytes: &[u8], messages: Vec<Message>) {
    assert_eq!(encode_frames(&messages), bytes);
    let mut rest = bytes;
    for expected in messages {
        let (header, body) = rest.split_first_chunk::<HEADER_BYTES>().expect("a header");
        let (body, remaining) = body.split_at(frame::decode_header(header).expect("a header").len);
        assert_eq!(frame::decode_body(body).expect("a body"), expected);
        rest = remaining;
    }
    assert!(rest.is_empty(), "{} bytes after the last frame", rest.len());
}
