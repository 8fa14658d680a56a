#[test]
fn prefix_keys_depend_on_the_seed_and_on_all_segments_in_order() {
    let segments = super::parse_prompt_prefix("5c1e07a2:800,91bd3f06:410,e4402b7d:250").expect("segments");
    assert_eq!(super::prefix_token_counts(&segments), [800, 1210, 1460]);
    let keys = super::prefix_keys(1, &segments);
    assert_eq!(super::prefix_keys(1, &segments[..2]), keys[..2]);
    let reordered = [segments[1], segments[0], segments[2]];
    assert_ne!(super::prefix_keys(1, &reordered)[2], keys[2]);
    assert_ne!(super::prefix_keys(2, &segments)[0], keys[0]);
    assert!(super::parse_prompt_prefix("5c1e07a2").is_none());
    assert!(super::parse_prompt_prefix("").is_none());
}
