//! Heads that are valid or invalid, and the framing of those that are valid.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version};

use super::{BodyFraming, InvalidResponseHead};

/// Returns the framing of the response to a `method` request, from its status and headers.
fn framing_for(method: Method, status: u16, headers: &[(&str, &str)]) -> Result<BodyFraming, InvalidResponseHead> {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name: HeaderName = name.parse().expect("a name");
        map.append(name, HeaderValue::from_bytes(value.as_bytes()).expect("a value"));
    }
    BodyFraming::of(&method, StatusCode::from_u16(status).expect("a status"), Version::HTTP_11, &map)
}

fn framing(headers: &[(&str, &str)]) -> Result<BodyFraming, InvalidResponseHead> {
    framing_for(Method::POST, 200, headers)
}

#[test]
fn only_chunked_is_a_valid_transfer_coding() {
    for value in ["chunked", "Chunked", "CHUNKED", " \tchunked "] {
        assert_eq!(framing(&[("transfer-encoding", value)]), Ok(BodyFraming::Chunked(None)), "{value:?}");
    }
    let invalid =
        ["", "gzip", "identity", "chunke", "gzip, chunked", "chunked, chunked", "chunked,", ",chunked", "chunk\u{e9}d"];
    for value in invalid {
        let found = framing(&[("transfer-encoding", value)]);
        assert_eq!(found, Err(InvalidResponseHead::TransferEncoding), "{value:?}");
    }
    let repeated = framing(&[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")]);
    assert_eq!(repeated, Err(InvalidResponseHead::TransferEncoding));
}

#[test]
fn transfer_coding_is_invalid_in_http_1_0() {
    let mut headers = HeaderMap::new();
    headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
    let found = BodyFraming::of(&Method::GET, StatusCode::OK, Version::HTTP_10, &headers);
    assert_eq!(found, Err(InvalidResponseHead::OutdatedVersion));
}

#[test]
fn lengths_must_be_equal_numbers() {
    for value in ["7", "007", " 7 ", "7,7", "7, 7"] {
        assert_eq!(framing(&[("content-length", value)]), Ok(BodyFraming::Length(7)), "{value:?}");
    }
    assert_eq!(framing(&[("content-length", "7"), ("content-length", "7")]), Ok(BodyFraming::Length(7)));
    let invalid = ["", "-7", "+7", "7x", "7 7", "7,", ",7", "7,8", "18446744073709551616", "\u{667}"];
    for value in invalid {
        assert_eq!(framing(&[("content-length", value)]), Err(InvalidResponseHead::ContentLength), "{value:?}");
    }
    let differing = framing(&[("content-length", "7"), ("content-length", "8")]);
    assert_eq!(differing, Err(InvalidResponseHead::ContentLength));
}

#[test]
fn body_without_framing_ends_with_the_connection() {
    let found = framing(&[]).expect("a valid head");
    assert_eq!(found, BodyFraming::UntilClose);
    assert!(!found.is_complete_after(0) && !found.is_complete_after(7));
}

#[test]
fn body_of_another_length_than_stated_is_not_complete() {
    let length = ("content-length", "7");
    for headers in
        [&[length][..], &[length, ("transfer-encoding", "chunked")], &[("transfer-encoding", "chunked"), length]]
    {
        let found = framing(headers).expect("a valid head");
        let complete: Vec<u64> = (0..20).filter(|received_bytes| found.is_complete_after(*received_bytes)).collect();
        assert_eq!(complete, [7], "{headers:?}");
    }
    let invalid = framing(&[("transfer-encoding", "chunked"), ("content-length", "7x")]);
    assert_eq!(invalid, Err(InvalidResponseHead::ContentLength));
}

#[test]
fn status_must_be_below_600_and_agree_with_the_framing() {
    for status in [600, 999] {
        assert_eq!(framing_for(Method::GET, status, &[]), Err(InvalidResponseHead::Status), "{status}");
    }
    for header in [("content-length", "7"), ("transfer-encoding", "chunked")] {
        let found = framing_for(Method::GET, 204, &[header]);
        assert_eq!(found, Err(InvalidResponseHead::ExcludedBody), "{header:?}");
    }
}

#[test]
fn response_without_a_body_ends_with_its_head() {
    let length = [("content-length", "7")];
    assert_eq!(framing_for(Method::HEAD, 200, &length), Ok(BodyFraming::NoBody(Some(7))));
    assert_eq!(framing_for(Method::GET, 304, &length), Ok(BodyFraming::NoBody(Some(7))));
    assert_eq!(framing_for(Method::GET, 204, &[]), Ok(BodyFraming::NoBody(None)));
    assert_eq!(framing_for(Method::GET, 204, &[("content-length", "0")]), Ok(BodyFraming::NoBody(Some(0))));
}
