#[test]
fn known_prefix_count_ends_at_the_first_key_without_a_fresh_owner() {
    let mut cache = super::OwnerCache::new(10, 1000);
    cache.record(1, "i-1", 0);
    cache.record(2, "i-1", 0);
    assert_eq!(cache.known_prefix_count(&[1, 2, 3], 10), 2);
    assert_eq!(cache.known_prefix_count(&[3, 1, 2], 10), 0);
    assert_eq!(cache.known_prefix_count(&[1, 2, 3], 1000), 0);
}

#[test]
fn suppression_applies_to_one_engine_and_key_until_it_expires() {
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
