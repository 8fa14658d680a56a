use super::EventBuffer;

#[test]
fn full_buffer_evicts_the_oldest_event_and_numbers_keep_increasing() {
    let mut buffer = EventBuffer::new(2);
    for event in ["a", "b", "c"] {
        buffer.push(0, event);
    }
    let kept: Vec<&str> = buffer.events_since(0).map(|numbered| numbered.event).collect();
    assert_eq!(kept, ["b", "c"]);
    assert_eq!(buffer.last_number(), 3);
}
