use std::sync::Arc;

use kernel::Rng;
use protocol::config::{read, Config};
use protocol::config_update::ConfigUpdate;

use super::{KeyDigest, Tenants};

type Item<'a> = (&'a str, Vec<&'a str>);

fn config(revision: u64, tenants: &[Item]) -> Config {
    let tenant = |(name, keys): &Item| serde_json::json!({"name": name, "api_keys": keys});
    let text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": [{"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5,
            "service": "s"}],
        "tenant_table": tenants.iter().map(tenant).collect::<Vec<_>>()});
    read(&text.to_string()).expect("good")
}

fn without_tenants(revision: u64) -> Config {
    Config { requires_keys: false, ..config(revision, &[]) }
}

fn full(config: &Config) -> Arc<Tenants> {
    Tenants::after(&Arc::default(), &ConfigUpdate::full(config))
}

fn owner_of(tenants: &Tenants, key: &str) -> Option<String> {
    tenants.find_by_key(&KeyDigest::of(key.as_bytes())).map(|tenant| tenant.name.clone())
}

/// The tenants after the change from one list to another, as routers get it.
fn after(old: &[Item], new: &[Item]) -> Arc<Tenants> {
    let (old, new) = (config(1, old), config(2, new));
    Tenants::after(&full(&old), &ConfigUpdate::between(&old, &new))
}

#[test]
fn each_key_is_its_tenants() {
    let tenants = full(&config(1, &[("one", vec!["k1", "k2"]), ("two", vec!["k3"]), ("none", vec![])]));
    let found: Vec<_> = ["k1", "k2", "k3", "k4", "", "K1"].iter().map(|key| owner_of(&tenants, key)).collect();
    let name = |name: &str| Some(name.to_string());
    assert_eq!(found, [name("one"), name("one"), name("two"), None, None, None]);
    assert!(tenants.requires_keys());
    assert!(!full(&without_tenants(1)).requires_keys());
    assert!(!Tenants::default().requires_keys());
}

#[test]
fn a_key_that_moves_to_another_tenant_in_one_change_is_that_ones() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let tenants =
            after(&[(from, vec!["moves", "stays"]), (to, vec![])], &[(from, vec!["stays"]), (to, vec!["moves"])]);
        assert_eq!(owner_of(&tenants, "moves").as_deref(), Some(to));
        assert_eq!(owner_of(&tenants, "stays").as_deref(), Some(from));
        // Its old holder may leave in the same change, and so may the new one come.
        let tenants = after(&[(from, vec!["moves"])], &[(to, vec!["moves"])]);
        assert_eq!(owner_of(&tenants, "moves").as_deref(), Some(to));
    }
}

#[test]
fn two_tenants_may_exchange_their_keys() {
    let tenants = after(&[("a", vec!["x"]), ("b", vec!["y"])], &[("a", vec!["y"]), ("b", vec!["x"])]);
    assert_eq!((owner_of(&tenants, "x").as_deref(), owner_of(&tenants, "y").as_deref()), (Some("b"), Some("a")));
}

#[test]
fn a_tenant_that_was_removed_and_added_again_has_its_new_keys_only() {
    let first = config(1, &[("a", vec!["old"]), ("b", vec!["other"])]);
    let (second, third) = (config(2, &[("b", vec!["other"])]), config(3, &[("a", vec!["new"]), ("b", vec!["other"])]));
    let removed = Tenants::after(&full(&first), &ConfigUpdate::between(&first, &second));
    assert_eq!(owner_of(&removed, "old"), None);
    let added = Tenants::after(&removed, &ConfigUpdate::between(&second, &third));
    let found = ["old", "new", "other"].map(|key| owner_of(&added, key));
    assert_eq!(found, [None, Some("a".to_string()), Some("b".to_string())]);
}

#[test]
fn the_last_tenant_that_leaves_lets_nobody_in() {
    let emptied = after(&[("a", vec!["k"])], &[]);
    assert_eq!((emptied.requires_keys(), owner_of(&emptied, "k")), (true, None));
}

#[test]
fn a_table_that_comes_or_goes_without_any_tenant_is_noticed() {
    let (none, empty) = (without_tenants(1), config(2, &[]));
    let came = Tenants::after(&full(&none), &ConfigUpdate::between(&none, &empty));
    assert!(came.requires_keys());
    let gone = Tenants::after(&came, &ConfigUpdate::between(&empty, &without_tenants(3)));
    assert!(!gone.requires_keys());
}

#[test]
fn a_whole_configuration_leaves_nothing_of_the_one_before() {
    let current = full(&config(1, &[("a", vec!["old"])]));
    let change = ConfigUpdate::full(&config(2, &[("b", vec!["new"])]));
    let tenants = Tenants::after(&current, &change);
    assert_eq!((owner_of(&tenants, "old"), owner_of(&tenants, "new").as_deref()), (None, Some("b")));
}

#[test]
fn a_change_without_tenants_shares_those_that_are_held() {
    let (old, new) = (config(1, &[("a", vec!["k"])]), config(2, &[("a", vec!["k"])]));
    let current = full(&old);
    assert!(Arc::ptr_eq(&current, &Tenants::after(&current, &ConfigUpdate::between(&old, &new))));
}

#[test]
fn a_chain_of_changes_gives_the_tenants_that_the_whole_gives() {
    let mut rng = Rng::new(11);
    let keys: Vec<String> = (0..20).map(|at| format!("key-{at}")).collect();
    let names = ["a", "b", "c", "d", "e"];
    let mut current = config(1, &[]);
    let mut tenants = full(&current);
    for revision in 2..300 {
        // Each tenant is there or not; each key is one tenant's or nobody's.
        let mut list: Vec<Item> = names.iter().filter(|_| rng.below(4) > 0).map(|name| (*name, vec![])).collect();
        for key in &keys {
            let at = rng.below(names.len() as u64 + 1) as usize;
            if let Some((_, current)) = list.get_mut(at) {
                current.push(key);
            }
        }
        let next = config(revision, &list);
        tenants = Tenants::after(&tenants, &ConfigUpdate::between(&current, &next));
        let expected = full(&next);
        for key in &keys {
            assert_eq!(owner_of(&tenants, key), owner_of(&expected, key), "revision {revision}, {key}");
        }
        assert!(tenants.requires_keys() && expected.requires_keys());
        current = next;
    }
}

#[test]
fn a_key_that_several_tenants_hold_is_nobodys() {
    // No valid configuration has one: the change is made by hand.
    let mut change = ConfigUpdate::full(&config(1, &[("a", vec!["own", "shared"]), ("b", vec![])]));
    change.tenants[1].api_keys = vec!["shared".into()];
    let tenants = Tenants::after(&Arc::default(), &change);
    assert_eq!((owner_of(&tenants, "own").as_deref(), owner_of(&tenants, "shared")), (Some("a"), None));
    // Its own key named twice is still its own.
    change.tenants[1].api_keys = vec!["twice".into(), "twice".into()];
    let tenants = Tenants::after(&Arc::default(), &change);
    assert_eq!(owner_of(&tenants, "twice").as_deref(), Some("b"));
}

#[test]
fn a_tenant_whose_name_no_header_can_carry_is_not_served() {
    let mut change = ConfigUpdate::full(&config(1, &[("a", vec!["k"]), ("b", vec!["other"])]));
    change.tenants[0].name = "a\r\nTenant: b".into();
    let tenants = Tenants::after(&Arc::default(), &change);
    assert_eq!((owner_of(&tenants, "k"), owner_of(&tenants, "other").as_deref()), (None, Some("b")));
    assert!(tenants.requires_keys());
}

#[test]
fn nothing_that_is_printed_holds_a_key_or_its_digest() {
    let key = "x42q492cqf75rjvz48wu";
    let tenants = full(&config(1, &[("a", vec![key])]));
    let text = format!("{tenants:?}");
    assert!(text.contains("KeyDigest(..)"), "{text}");
    let KeyDigest(digest) = KeyDigest::of(key.as_bytes());
    for shown in
        [key.to_string(), format!("{digest:?}"), format!("{:02x}{:02x}{:02x}", digest[0], digest[1], digest[2])]
    {
        assert!(!text.contains(&shown), "{text}");
    }
}
