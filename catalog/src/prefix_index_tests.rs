#[test]
fn owners_excludes_stale_registrations_and_removed_engines() {
    let mut prefix_index = super::PrefixIndex::new(10, 30_000);
    prefix_index.register(1, "i-1", 0);
    prefix_index.register(1, "i-2", 10_000);
    assert_eq!(prefix_index.owners(1, 20_000), ["i-1", "i-2"]);
    assert_eq!(prefix_index.owners(1, 30_000), ["i-2"]);
    prefix_index.remove_engine("i-2");
    assert!(prefix_index.owners(1, 20_000).iter().all(|engine| engine == "i-1"));
}

#[test]
fn a_full_index_evicts_the_oldest_keys() {
    let mut prefix_index = super::PrefixIndex::new(2, 1000);
    for key in 0..5 {
        prefix_index.register(key, "i-1", 0);
    }
    assert_eq!(prefix_index.len(), 2);
    assert!(prefix_index.owners(4, 0).len() == 1 && prefix_index.owners(0, 0).is_empty());
}

#[test]
fn registering_a_key_again_protects_it_from_eviction() {
    let mut prefix_index = super::PrefixIndex::new(2, 1000);
    for key in [1, 2, 1, 3] {
        prefix_index.register(key, "i-1", 0);
    }
    assert_eq!(prefix_index.owners(1, 0), ["i-1"]);
    assert!(prefix_index.owners(2, 0).is_empty(), "the least recently registered key is evicted");
    assert_eq!(prefix_index.owners(3, 0), ["i-1"]);
}
