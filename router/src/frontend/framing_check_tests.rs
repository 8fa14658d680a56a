//! Guards against heads with both framing headers that are not noticed.

use super::HeadScanner;

/// Scans a head that arrives in pieces of this size. Returns whether its end was found and whether it has a conflict.
fn scan(head: &str, piece: usize) -> (bool, bool) {
    let mut scanner = HeadScanner::default();
    let is_complete = head.as_bytes().chunks(piece).any(|bytes| scanner.scan(bytes));
    (is_complete, scanner.has_conflict())
}

#[test]
fn both_framing_headers_are_noticed_in_any_order_case_and_splitting() {
    for (fields, is_conflict) in [
        ("Content-Length: 3\r\ntransfer-ENCODING: chunked\r\n", true),
        ("Transfer-Encoding: chunked\r\ncontent-length: 3\r\n", true),
        ("Transfer-Encoding: chunked\r\nA: b\r\ncontent-length:3\r\n", true),
        ("X: content-length: 3\r\nTransfer-Encoding: chunked\r\n", false),
        ("Content-Length: 3\r\nContent-Length: 3\r\n", false),
        ("content-lengt\r\nTransfer-Encoding: chunked\r\n", false),
        ("", false),
    ] {
        for piece in [1, 2, 3, 1000] {
            let head = format!("POST / HTTP/1.1\r\n{fields}\r\n");
            assert_eq!(scan(&head, piece), (true, is_conflict), "{fields:?} in pieces of {piece}");
        }
    }
}

#[test]
fn a_head_ends_only_at_an_empty_line() {
    for head in ["POST / HTTP/1.1\r\n", "A\r\n\r", "A\n\n", "A\r\nB\r\n", "\r\n\rA\r\n"] {
        assert!(!scan(head, 1).0, "{head:?}");
    }
    assert!(scan("A\r\r\n\r\n", 1).0);
}
