//! The archived form of requests keeps the size that earlier versions expect.

use super::{ArchivedOperatorRequest, OperatorRequest};
use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::Message;

#[test]
fn later_variants_do_not_enlarge_the_archived_request() {
    // The size when only `Change`, `Evacuate` and `ReadConfig` existed.
    assert_eq!(size_of::<ArchivedOperatorRequest>(), 32);
    let request = OperatorRequest::EvacuateFrom { zone: "a".into(), on: true, version: 3 };
    let msg = Message::OperatorRequest(Box::new(request));
    let frame = frame::encode(Kind::Request, 1, &msg).expect("encoded");
    assert_eq!(frame::decode_body(&frame[HEADER_BYTES..]).expect("decoded"), msg);
}
