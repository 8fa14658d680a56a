use super::count_framings;

#[test]
fn both_framing_headers_are_counted_in_any_order_and_case() {
    assert_eq!(count_framings(b"POST / HTTP/1.1\r\nContent-Length: 3\r\ntransfer-ENCODING: chunked"), 2);
    assert_eq!(count_framings(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 3"), 2);
    assert_eq!(count_framings(b"POST / HTTP/1.1\r\nX: content-length: 3\r\nTransfer-Encoding: chunked"), 1);
}
