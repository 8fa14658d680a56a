//! Tests that only complete events are returned, however the bytes of the stream are split.

use super::EventSplitter;

#[test]
fn feed_returns_only_complete_events_for_every_chunk_size() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for chunk_size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for chunk in text.chunks(chunk_size) {
            out.extend_from_slice(&splitter.feed(chunk));
        }
        assert_eq!(out, &text[..text.len() - 13], "chunk size {chunk_size}");
        assert_eq!(splitter.last_event_id.as_deref(), Some("2"));
        assert_eq!(splitter.events, 2);
        assert_eq!(&splitter.take_partial_event()[..], b"id: 3\ndata: c");
    }
}

#[test]
fn discarded_partial_event_is_not_returned() {
    let mut splitter = EventSplitter::default();
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.discard_partial_event();
    assert_eq!(&splitter.feed(b"id: 2\ndata: b\n\n")[..], b"id: 2\ndata: b\n\n");
}
