use std::sync::Arc;

use kernel::Rng;
use protocol::config::{read, Config};
use protocol::config_update::ConfigUpdate;

use super::{KeyDigest, Tenants};

/// The name and the keys of a tenant.
type TenantItem<'a> = (&'a str, Vec<&'a str>);

fn config(revision: u64, tenants: &[TenantItem]) -> Config {
    let tenant = |(name, keys): &TenantItem| serde_json::json!({"name": name, "api_keys": keys});
    let text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": [{"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5,
            "service": "s"}],
        "tenant_table": tenants.iter().map(tenant).collect::<Vec<_>>()});
    read(&text.to_string()).expect("valid configuration")
}

fn without_tenants(revision: u64) -> Config {
    Config { requires_keys: false, ..config(revision, &[]) }
}

fn full(config: &Config) -> Arc<Tenants> {
    Tenants::apply(&Arc::default(), &ConfigUpdate::full(config))
}

fn owner_of(tenants: &Tenants, key: &str) -> Option<String> {
    tenants.find_by_key(&KeyDigest::of(key.as_bytes())).map(|tenant| tenant.name.clone())
}

/// Returns the tenants of the first list after an update to the second, as routers receive it.
fn after_update(old: &[TenantItem], new: &[TenantItem]) -> Arc<Tenants> {
    let (old, new) = (config(1, old), config(2, new));
    Tenants::apply(&full(&old), &ConfigUpdate::between(&old, &new))
}

#[test]
fn each_key_belongs_to_its_tenant() {
    let tenants = full(&config(1, &[("one", vec!["k1", "k2"]), ("two", vec!["k3"]), ("none", vec![])]));
    let found: Vec<_> = ["k1", "k2", "k3", "k4", "", "K1"].iter().map(|key| owner_of(&tenants, key)).collect();
    let name = |name: &str| Some(name.to_string());
    assert_eq!(found, [name("one"), name("one"), name("two"), None, None, None]);
    assert!(tenants.requires_keys());
    assert!(!full(&without_tenants(1)).requires_keys());
    assert!(!Tenants::default().requires_keys());
}

#[test]
fn a_key_that_moves_to_another_tenant_in_one_update_belongs_to_its_new_owner() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let tenants = after_update(
            &[(from, vec!["moves", "stays"]), (to, vec![])],
            &[(from, vec!["stays"]), (to, vec!["moves"])],
        );
        assert_eq!(owner_of(&tenants, "moves").as_deref(), Some(to));
        assert_eq!(owner_of(&tenants, "stays").as_deref(), Some(from));
        // The old owner may be removed and the new one added in the same update.
        let tenants = after_update(&[(from, vec!["moves"])], &[(to, vec!["moves"])]);
        assert_eq!(owner_of(&tenants, "moves").as_deref(), Some(to));
    }
}

#[test]
fn two_tenants_can_swap_their_keys_in_one_update() {
    let tenants = after_update(&[("a", vec!["x"]), ("b", vec!["y"])], &[("a", vec!["y"]), ("b", vec!["x"])]);
    assert_eq!((owner_of(&tenants, "x").as_deref(), owner_of(&tenants, "y").as_deref()), (Some("b"), Some("a")));
}

#[test]
fn a_tenant_that_is_removed_and_added_again_has_its_new_keys_only() {
    let first = config(1, &[("a", vec!["old"]), ("b", vec!["other"])]);
    let (second, third) = (config(2, &[("b", vec!["other"])]), config(3, &[("a", vec!["new"]), ("b", vec!["other"])]));
    let removed = Tenants::apply(&full(&first), &ConfigUpdate::between(&first, &second));
    assert_eq!(owner_of(&removed, "old"), None);
    let added = Tenants::apply(&removed, &ConfigUpdate::between(&second, &third));
    let found = ["old", "new", "other"].map(|key| owner_of(&added, key));
    assert_eq!(found, [None, Some("a".to_string()), Some("b".to_string())]);
}

#[test]
fn keys_are_still_required_after_the_last_tenant_is_removed() {
    let emptied = after_update(&[("a", vec!["k"])], &[]);
    assert_eq!((emptied.requires_keys(), owner_of(&emptied, "k")), (true, None));
}

#[test]
fn adding_or_removing_an_empty_tenant_table_changes_whether_keys_are_required() {
    let (none, empty) = (without_tenants(1), config(2, &[]));
    let added = Tenants::apply(&full(&none), &ConfigUpdate::between(&none, &empty));
    assert!(added.requires_keys());
    let removed = Tenants::apply(&added, &ConfigUpdate::between(&empty, &without_tenants(3)));
    assert!(!removed.requires_keys());
}

#[test]
fn a_full_configuration_replaces_all_tenants() {
    let current = full(&config(1, &[("a", vec!["old"])]));
    let update = ConfigUpdate::full(&config(2, &[("b", vec!["new"])]));
    let tenants = Tenants::apply(&current, &update);
    assert_eq!((owner_of(&tenants, "old"), owner_of(&tenants, "new").as_deref()), (None, Some("b")));
}

#[test]
fn an_update_without_tenants_shares_the_current_ones() {
    let (old, new) = (config(1, &[("a", vec!["k"])]), config(2, &[("a", vec!["k"])]));
    let current = full(&old);
    assert!(Arc::ptr_eq(&current, &Tenants::apply(&current, &ConfigUpdate::between(&old, &new))));
}

#[test]
fn a_chain_of_updates_gives_the_tenants_of_the_full_configuration() {
    let mut rng = Rng::new(11);
    let keys: Vec<String> = (0..20).map(|at| format!("key-{at}")).collect();
    let names = ["a", "b", "c", "d", "e"];
    let mut current = config(1, &[]);
    let mut tenants = full(&current);
    for revision in 2..300 {
        // Each tenant exists or not; each key belongs to one tenant or to none.
        let mut list: Vec<TenantItem> = names.iter().filter(|_| rng.below(4) > 0).map(|name| (*name, vec![])).collect();
        for key in &keys {
            let index = rng.below(names.len() as u64 + 1) as usize;
            if let Some((_, tenant_keys)) = list.get_mut(index) {
                tenant_keys.push(key);
            }
        }
        let next = config(revision, &list);
        tenants = Tenants::apply(&tenants, &ConfigUpdate::between(&current, &next));
        let expected = full(&next);
        for key in &keys {
            assert_eq!(owner_of(&tenants, key), owner_of(&expected, key), "revision {revision}, {key}");
        }
        assert!(tenants.requires_keys() && expected.requires_keys());
        current = next;
    }
}

#[test]
fn a_key_of_several_tenants_is_unknown() {
    // No valid configuration has such a key, so the update is modified by hand.
    let mut update = ConfigUpdate::full(&config(1, &[("a", vec!["own", "shared"]), ("b", vec![])]));
    update.tenants[1].api_keys = vec!["shared".into()];
    let tenants = Tenants::apply(&Arc::default(), &update);
    assert_eq!((owner_of(&tenants, "own").as_deref(), owner_of(&tenants, "shared")), (Some("a"), None));
    // A key that one tenant lists twice still belongs to it.
    update.tenants[1].api_keys = vec!["twice".into(), "twice".into()];
    let tenants = Tenants::apply(&Arc::default(), &update);
    assert_eq!(owner_of(&tenants, "twice").as_deref(), Some("b"));
}

#[test]
fn keys_of_a_tenant_whose_name_is_not_a_valid_header_value_are_unknown() {
    let mut update = ConfigUpdate::full(&config(1, &[("a", vec!["k"]), ("b", vec!["other"])]));
    update.tenants[0].name = "a\r\nTenant: b".into();
    let tenants = Tenants::apply(&Arc::default(), &update);
    assert_eq!((owner_of(&tenants, "k"), owner_of(&tenants, "other").as_deref()), (None, Some("b")));
    assert!(tenants.requires_keys());
}

#[test]
fn debug_output_contains_neither_keys_nor_their_digests() {
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
