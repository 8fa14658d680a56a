use super::EventBuffer;

#[test]
fn oldest_events_give_way_and_numbers_rise() {
    let mut buffer = EventBuffer::new(2);
    for word in ["a", "b", "c"] {
        buffer.push(0, word);
    }
    let kept: Vec<&str> = buffer.events_since(0).map(|numbered| numbered.event).collect();
    assert_eq!(kept, ["b", "c"]);
    assert_eq!(buffer.last_number(), 3);
}
