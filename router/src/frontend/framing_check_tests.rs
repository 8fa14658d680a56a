//! Guards against heads that are not scanned, or whose facts are taken for those of another head.

use super::{HeadScanner, Position, RequestScanner};

/// Scans the bytes of a connection in pieces of this size. Returns for each complete head whether it is malformed.
fn scan(bytes: &str, piece: usize) -> Vec<bool> {
    let mut scanner = RequestScanner { position: Position::Head(HeadScanner::default()), head_length: 0 };
    let mut heads = Vec::new();
    for part in bytes.as_bytes().chunks(piece) {
        scanner.scan(part, |facts| heads.push(facts.is_malformed()));
    }
    heads
}

#[test]
fn each_head_of_a_connection_is_scanned_wherever_it_begins() {
    let sound = "POST / HTTP/1.1\r\nHost: h\r\n";
    let sized = format!("{sound}Content-Length: 4\r\n\r\nbody");
    let chunked = format!("{sound}Transfer-Encoding: chunked\r\n\r\n4;a=b\r\n\r\n\r\n\r\n0\r\nT: 1\r\n\r\n");
    let conflict = format!("{sound}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n");
    let fragment = "POST /a#b HTTP/1.1\r\nHost: h\r\n\r\n";
    for (bytes, expected) in [
        ([sized.as_str(), &chunked, &sized, &conflict].concat(), vec![false, false, false, true]),
        ([&chunked, fragment, &sized].concat(), vec![false, true, false]),
        (["\r\n\r\n\n", &conflict].concat(), vec![true]),
        ([&sized, "\r\n\r\n", &conflict].concat(), vec![false, true]),
        ([&conflict.replace("\r\n", "\n")].map(String::as_str).concat(), vec![true]),
        ([&sized, &sized[..20]].concat(), vec![false]),
    ] {
        for piece in [1, 2, 3, 1000] {
            assert_eq!(scan(&bytes, piece), expected, "{bytes:?} in pieces of {piece}");
        }
    }
}

#[test]
fn after_malformed_chunks_no_head_counts_as_sound() {
    let lost = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: 1\n\r\nGET / HTTP/1.1\r\n\r\n\r\n\r\n";
    assert_eq!(scan(lost, 1000), [false]);
}
