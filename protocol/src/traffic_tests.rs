//! Frames are counted under the kind of their message.

use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;
use strum::IntoEnumIterator;

use super::{record, register, Direction};
use crate::frame::{self, Kind};
use crate::message::{Message, MessageKind};
use crate::{stored_by_5_tests, stored_by_6_tests, stored_by_7_tests, stored_by_8_tests, stored_by_9_tests};

#[test]
fn message_kind_finds_every_kind_in_its_frame() {
    let messages = [
        stored_by_5_tests::messages(),
        stored_by_6_tests::messages(),
        stored_by_7_tests::messages(),
        stored_by_8_tests::messages(),
        stored_by_9_tests::messages(),
    ]
    .concat();
    for message in &messages {
        let frame = frame::encode(Kind::Notification, 0, message).expect("it fits into a frame");
        assert_eq!(frame::message_kind(&frame), Some(MessageKind::from(message)));
    }
    let covered: Vec<MessageKind> = messages.iter().map(MessageKind::from).collect();
    let missing: Vec<MessageKind> = MessageKind::iter().filter(|kind| !covered.contains(kind)).collect();
    assert!(missing.is_empty(), "no message of kinds {missing:?}");
    assert_eq!(frame::message_kind(&[0; frame::HEADER_BYTES]), None);
}

#[test]
fn bytes_are_counted_by_kind_and_direction() {
    let message = Message::UsageRequest(Box::new(7));
    let frame = frame::encode(Kind::Request, 1, &message).expect("it fits into a frame");
    record(Direction::Sent, &frame);
    record(Direction::Sent, &frame);
    let mut registry = Registry::with_prefix("test");
    register(&mut registry);
    let mut output = String::new();
    text::encode(&mut output, &registry).expect("encoded");
    let labels = "{message=\"UsageRequest\",direction=\"Sent\"}";
    assert!(output.contains(&format!("test_messages_total{labels} 2\n")), "{output}");
    let bytes = 2 * frame.len();
    assert!(output.contains(&format!("test_message_bytes_total{labels} {bytes}\n")), "{output}");
}
