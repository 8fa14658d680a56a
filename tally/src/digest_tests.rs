//! Digests of keys and their text form.

use super::{digest_key, parse_key, to_key};

#[test]
fn digests_of_different_keys_or_tallies_differ() {
    let digest = digest_key("t3", "5c0e7a21d94b36f8");
    assert_eq!(digest, digest_key("t3", "5c0e7a21d94b36f8"));
    assert_ne!(digest, digest_key("t3", "5c0e7a21d94b36f9"));
    assert_ne!(digest_key("ab", "c"), digest_key("a", "bc"), "the boundary between name and key is part of the digest");
}

#[test]
fn a_digest_keeps_its_stored_value() {
    assert_eq!(to_key(digest_key("t3", "5c0e7a21d94b36f8")), "/ec0994a7f48474fb775682f5694ff508");
}

#[test]
fn a_digest_in_text_form_is_parsed_and_a_client_key_is_not() {
    let digest = digest_key("t", "k");
    assert_eq!(parse_key(&to_key(digest)), Some(digest));
    let text = to_key(digest);
    for key in ["k", "", "/", &text[1..], &text[..32], "/zz000000000000000000000000000000"] {
        assert_eq!(parse_key(key), None, "{key}");
    }
}
