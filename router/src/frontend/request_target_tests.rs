//! Accepted and refused forms of request targets.

use http::{Method, Request};

use super::{origin_form, MalformedTarget};

fn forwarded(method: Method, target: &str) -> Result<String, MalformedTarget> {
    let request = Request::builder().method(method).uri(target).header("host", "h.example").body(()).expect("a URI");
    origin_form(&request.into_parts().0).map(|target| target.to_string())
}

#[test]
fn the_path_and_the_query_of_each_accepted_form_are_kept() {
    for (target, expected) in [
        ("/a/b?c=d", "/a/b?c=d"),
        ("//a//b", "//a//b"),
        ("/a%2Fb/../c;d?e=%00&f=?/", "/a%2Fb/../c;d?e=%00&f=?/"),
        ("/a?", "/a?"),
        ("http://h.example/a?b", "/a?b"),
        ("HTTP://H.Example:80/a", "/a"),
        ("https://h.example:443/a", "/a"),
        ("http://h.example", "/"),
        ("http://h.example?number=1", "/?number=1"),
        ("http://h.example/?", "/?"),
    ] {
        assert_eq!(forwarded(Method::POST, target).as_deref(), Ok(expected), "{target}");
    }
    assert_eq!(forwarded(Method::OPTIONS, "*").as_deref(), Ok("*"));
}

#[test]
fn targets_of_other_hosts_and_forms_are_refused() {
    for target in [
        "http://other.example/a",
        "http://h.example:8080/a",
        "http://user@h.example/a",
        "https://h.example:80/a",
        "ftp://h.example/a",
        "h.example",
        "h.example:80",
        "*",
    ] {
        assert_eq!(forwarded(Method::POST, target), Err(MalformedTarget), "{target}");
    }
    assert_eq!(forwarded(Method::CONNECT, "h.example:80"), Err(MalformedTarget));
}
