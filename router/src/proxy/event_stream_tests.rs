use super::Splitter;

#[test]
fn only_whole_events_come_out_however_the_bytes_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    for step in 1..text.len() {
        let mut split = Splitter::default();
        let mut out = Vec::new();
        for piece in text.chunks(step) {
            out.extend_from_slice(&split.feed(piece));
        }
        assert_eq!(out, &text[..text.len() - 13], "step {step}");
        assert_eq!(split.last.as_deref(), Some("2"));
        assert_eq!(split.events, 2);
        assert_eq!(&split.end()[..], b"id: 3\ndata: c");
    }
}

#[test]
fn a_cut_event_is_thrown_away() {
    let mut split = Splitter::default();
    split.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    split.cut();
    assert_eq!(&split.feed(b"id: 2\ndata: b\n\n")[..], b"id: 2\ndata: b\n\n");
}
