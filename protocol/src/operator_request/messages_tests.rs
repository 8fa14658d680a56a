//! The archived form of requests keeps the size that earlier versions expect.

use super::{ArchivedOperatorRequest, OperatorRequest};
use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

#[test]
fn a_later_variant_is_no_larger_than_the_first_ones() {
    // As it was when only `Change`, `Evacuate` and `ReadConfig` were there.
    assert_eq!(size_of::<ArchivedOperatorRequest>(), 32);
    let request = OperatorRequest::EvacuateFrom { zone: "a".into(), on: true, version: 3 };
    let msg = Message::OperatorRequest(Box::new(request));
    let frame = frame::encode(Kind::Request, 1, &msg).expect("sealed");
    assert_eq!(frame::decode_body(&frame[HEADER_BYTES..]).expect("read"), msg);
}
