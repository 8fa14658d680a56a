//! Digests of keys, and their form as text.

use super::{digest_key, parse_key, to_key};

#[test]
fn a_digest_belongs_to_one_key_of_one_tally() {
    let digest = digest_key("t3", "5c0e7a21d94b36f8");
    assert_eq!(digest, digest_key("t3", "5c0e7a21d94b36f8"));
    assert_ne!(digest, digest_key("t3", "5c0e7a21d94b36f9"));
    assert_ne!(digest_key("ab", "c"), digest_key("a", "bc"), "the names are told apart");
}

#[test]
fn digests_are_stored_and_stay_as_they_are() {
    assert_eq!(to_key(digest_key("t3", "5c0e7a21d94b36f8")), "/ec0994a7f48474fb775682f5694ff508");
}

#[test]
fn the_text_of_a_digest_is_read_back_and_no_clients_key_is_taken_for_one() {
    let digest = digest_key("t", "k");
    assert_eq!(parse_key(&to_key(digest)), Some(digest));
    let text = to_key(digest);
    for key in ["k", "", "/", &text[1..], &text[..32], "/zz000000000000000000000000000000"] {
        assert_eq!(parse_key(key), None, "{key}");
    }
}
