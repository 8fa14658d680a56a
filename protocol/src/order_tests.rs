//! Orders keep the place that earlier versions gave them.
use super::{ArchivedOrder, Order};

#[test]
fn a_later_variant_takes_no_more_room_than_the_first_ones() {
    // As it was when only `Change`, `Evacuate` and `ReadConfig` were there.
    assert_eq!(std::mem::size_of::<ArchivedOrder>(), 32);
    let order = Order::EvacuateFrom { zone: "a".into(), on: true, version: 3 };
    let msg = crate::msg::Msg::Order(Box::new(order));
    let frame = crate::frame::seal(crate::frame::Kind::Ask, 1, &msg).expect("sealed");
    assert_eq!(crate::frame::open(&frame[crate::frame::HEAD..]).expect("read"), msg);
}
