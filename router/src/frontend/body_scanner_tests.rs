//! The ends of bodies, for any splitting of their bytes.

use super::{BodyScan, BodyScanner};

/// Scans bytes in pieces of this size. Returns the position of the end, `Ok(None)` if it is not reached.
fn end_of(mut scanner: BodyScanner, bytes: &[u8], piece: usize) -> Result<Option<usize>, ()> {
    let mut before = 0;
    for part in bytes.chunks(piece) {
        match scanner.scan(part) {
            BodyScan::Finished(size) => return Ok(Some(before + size)),
            BodyScan::Unfinished => before += part.len(),
            BodyScan::Malformed => return Err(()),
        }
    }
    Ok(None)
}

#[test]
fn a_sized_body_ends_after_its_length() {
    for piece in [1, 2, 100] {
        assert_eq!(end_of(BodyScanner::Sized(3), b"abcdef", piece), Ok(Some(3)));
        assert_eq!(end_of(BodyScanner::Sized(7), b"abcdef", piece), Ok(None));
    }
}

#[test]
fn chunks_end_with_the_empty_line_after_the_last_one() {
    for body in [
        "0\r\n\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
        "A;name=\"v\"\r\n0\r\n\r\n0\r\n\r\n\r\n00\r\n\r\n",
        "1 \r\na\r\n0;x\r\nTrailer: 1\r\nOther: 2\r\n\r\n",
    ] {
        for piece in [1, 2, 3, 100] {
            let bytes = format!("{body}POST / HTTP/1.1\r\n");
            let end = end_of(BodyScanner::chunked(), bytes.as_bytes(), piece);
            assert_eq!(end, Ok(Some(body.len())), "{body:?} in pieces of {piece}");
        }
    }
}

/// A line end that is read in two ways would move the beginning of the next request.
#[test]
fn chunks_with_other_line_ends_are_malformed() {
    for body in [
        "3\nabc\r\n",
        "3\r\nabc\n",
        "3\r\nabcd\r\n",
        "0\r\nA: b\n\r\n",
        "0\r\n\n",
        "3;a\rb\r\n",
        "fffffffffffffffff\r\n",
    ] {
        for piece in [1, 100] {
            assert_eq!(end_of(BodyScanner::chunked(), body.as_bytes(), piece), Err(()), "{body:?}");
        }
    }
}
