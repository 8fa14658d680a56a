//! Orders keep the place that earlier versions gave them.

use std::mem;

use super::{ArchivedOrder, Order};
use crate::frame::{self, Kind, HEAD};
use crate::msg::Msg;

#[test]
fn a_later_variant_takes_no_more_room_than_the_first_ones() {
    // As it was when only `Change`, `Evacuate` and `ReadConfig` were there.
    assert_eq!(mem::size_of::<ArchivedOrder>(), 32);
    let order = Order::EvacuateFrom { zone: "a".into(), on: true, version: 3 };
    let msg = Msg::Order(Box::new(order));
    let frame = frame::seal(Kind::Ask, 1, &msg).expect("sealed");
    assert_eq!(frame::open(&frame[HEAD..]).expect("read"), msg);
}
