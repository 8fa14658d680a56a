#[test]
fn only_the_missing_suffix_is_unknown() {
    let mut cache = super::OwnerCache::new(10, 1000);
    cache.record(1, "i-1", 0);
    cache.record(2, "i-1", 0);
    assert_eq!(cache.known_prefix_count(&[1, 2, 3], 10), 2);
    assert_eq!(cache.known_prefix_count(&[3, 1, 2], 10), 0);
    assert_eq!(cache.known_prefix_count(&[1, 2, 3], 1000), 0);
}

#[test]
fn a_short_transfer_suppresses_one_engine_for_one_key_only() {
    let mut cache = super::OwnerCache::new(10, 1000);
    for (key, engine) in [(1, "i-1"), (1, "i-2"), (2, "i-1")] {
        cache.record(key, engine, 0);
    }
    cache.suppress("i-1", 1, 500);
    assert_eq!(cache.owners(1, 100), ["i-2"]);
    assert_eq!(cache.owners(2, 100), ["i-1"]);
    assert_eq!(cache.owners(1, 500), ["i-1", "i-2"]);
    assert_eq!(cache.entries(600).len(), 3);
}
