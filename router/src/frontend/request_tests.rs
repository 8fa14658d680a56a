use http::HeaderMap;

use super::{has_unambiguous_framing, remove_hop_by_hop_headers};

fn headers(list: &[(&'static str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in list {
        map.append(*name, value.parse().expect("value"));
    }
    map
}

#[test]
fn heads_that_could_smuggle_a_request_are_rejected_as_ambiguous() {
    assert!(has_unambiguous_framing(&headers(&[("host", "a"), ("content-length", "3")])));
    assert!(has_unambiguous_framing(&headers(&[("host", "a"), ("transfer-encoding", " Chunked\t")])));
    for bad in [
        vec![("host", "a"), ("content-length", "3"), ("content-length", "3")],
        vec![("host", "a"), ("content-length", "3"), ("transfer-encoding", "chunked")],
        vec![("host", "a"), ("transfer-encoding", "x"), ("transfer-encoding", "chunked")],
        vec![("host", "a"), ("transfer-encoding", "gzip, chunked")],
        vec![("host", "a"), ("transfer-encoding", "chunked, chunked")],
        vec![("host", "a"), ("transfer-encoding", "gzip")],
        vec![("host", "a"), ("transfer-encoding", ", chunked")],
        vec![("host", "a"), ("transfer-encoding", "chunked;q=1")],
        vec![("host", "a"), ("transfer-encoding", "")],
        vec![("host", "a"), ("host", "b")],
        vec![],
    ] {
        assert!(!has_unambiguous_framing(&headers(&bad)), "{bad:?}");
    }
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut map = headers(&[("connection", "close, x-hop"), ("x-hop", "1"), ("keep-alive", "3"), ("x-end", "2")]);
    remove_hop_by_hop_headers(&mut map);
    assert_eq!(map.len(), 1);
    assert!(map.contains_key("x-end"));
}
