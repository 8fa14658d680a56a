//! Events come out whole however the bytes of the stream are split.

use super::EventSplitter;

#[test]
fn only_whole_events_come_out_however_the_bytes_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for step in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for piece in text.chunks(step) {
            out.extend_from_slice(&splitter.feed(piece));
        }
        assert_eq!(out, &text[..text.len() - 13], "step {step}");
        assert_eq!(splitter.last_event_id.as_deref(), Some("2"));
        assert_eq!(splitter.events, 2);
        assert_eq!(&splitter.take_partial_event()[..], b"id: 3\ndata: c");
    }
}

#[test]
fn a_cut_event_is_thrown_away() {
    let mut splitter = EventSplitter::default();
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.discard_partial_event();
    assert_eq!(&splitter.feed(b"id: 2\ndata: b\n\n")[..], b"id: 2\ndata: b\n\n");
}
