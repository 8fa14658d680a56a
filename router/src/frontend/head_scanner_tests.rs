//! Guards against heads with both framing headers that are not noticed.

use super::{HeadFacts, HeadScanner};
use crate::frontend::body_scanner::BodyScanner;

/// Scans a head that arrives in pieces of this size. Returns what it says, `None` if its end was not found.
fn scan(head: &str, piece: usize) -> Option<HeadFacts> {
    let mut scanner = HeadScanner::default();
    let is_complete = head.as_bytes().chunks(piece).any(|bytes| scanner.scan(bytes).is_some());
    is_complete.then(|| scanner.facts())
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
            let conflict = scan(&head, piece).map(|facts| facts.has_conflicting_framings);
            assert_eq!(conflict, Some(is_conflict), "{fields:?} in pieces of {piece}");
        }
    }
}

#[test]
fn a_fragment_is_noticed_in_the_target_alone() {
    for (head, has_fragment) in [
        ("POST /a#b HTTP/1.1\r\n\r\n", true),
        ("\r\nPOST http://h/?a#b HTTP/1.1\r\n\r\n", true),
        ("POST /a# HTTP/1.1\r\n\r\n", true),
        ("P#ST /a%23b HTTP/1.1\r\nA: #\r\n\r\n", false),
    ] {
        assert_eq!(scan(head, 1000).map(|facts| facts.has_fragment), Some(has_fragment), "{head:?}");
    }
}

/// The HTTP library takes a lone LF for the end of a line, and passes over empty lines before the request line.
#[test]
fn a_head_ends_only_at_an_empty_line_after_the_request_line() {
    for head in ["POST / HTTP/1.1\r\n", "A\r\n\r", "A\r\nB\r\n", "\r\n\rA\r\n", "\r\n\r\n", "\n\n", "A\n", "A\r\n\rB\n"]
    {
        assert_eq!(scan(head, 1), None, "{head:?}");
    }
    for head in ["A\r\r\n\r\n", "A\n\n", "A\r\nB\n\r\n", "\r\n\r\nA\r\n\r\n"] {
        assert!(scan(head, 1).is_some(), "{head:?}");
    }
}

#[test]
fn the_length_of_the_body_is_read() {
    for (fields, body) in [
        ("", BodyScanner::Sized(0)),
        ("Content-Length:  17 \r\nA: 5\r\n", BodyScanner::Sized(17)),
        ("Transfer-Encoding: chunked\r\n", BodyScanner::chunked()),
    ] {
        let mut scanner = HeadScanner::default();
        assert!(scanner.scan(format!("POST / HTTP/1.1\r\n{fields}\r\n").as_bytes()).is_some());
        assert_eq!(scanner.body(), body, "{fields:?}");
    }
}
