fn config(revision: u64, routes: &[(&str, u64)]) -> crate::config::Config {
    let route = |(name, timeout): &(&str, u64)| {
        serde_json::json!({"name": name, "hostname": format!("{name}.example"), "path_prefix": "/", "service": "s",
            "route_type": "streaming", "timeout_ms": timeout})
    };
    let text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": routes.iter().map(route).collect::<Vec<_>>()});
    crate::config::read(&text.to_string()).expect("good")
}

#[test]
fn a_change_names_only_what_is_other() {
    let old = config(3, &[("a", 5), ("b", 5), ("c", 5)]);
    let new = config(8, &[("a", 5), ("b", 6), ("d", 5)]);
    let change = super::Change::between(&old, &new);
    let names: Vec<&str> = change.routes.iter().map(|route| route.name.as_str()).collect();
    assert_eq!((change.from, change.to, names), (3, 8, vec!["b", "d"]));
    assert_eq!((change.gone, change.services, change.lost), (vec!["c".to_string()], vec![], vec![]));
}

#[test]
fn its_size_goes_by_what_changed_and_not_by_the_length_of_the_whole() {
    let names: Vec<String> = (0..3000).map(|at| format!("r{at}")).collect();
    let mut routes: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 5)).collect();
    let old = config(1, &routes);
    routes[700].1 = 9;
    let new = config(2, &routes);
    let (step, whole) = (super::Change::between(&old, &new).write(), super::Change::whole(&new).write());
    assert!(step.len() < 600 && whole.len() > 30 * step.len(), "{} {}", step.len(), whole.len());
    assert!(whole.len() < 3000 * 40, "packed: {} for 3000 routes", whole.len());
}

#[test]
fn it_comes_back_as_it_was_and_a_torn_one_never_passes_for_another_length() {
    let change = super::Change::whole(&config(3, &[("a", 5), ("b", 5)]));
    let body = change.write();
    assert_eq!(super::Change::read(&body), Some(change));
    for cut in 0..body.len() {
        assert_eq!(super::Change::read(&body[..cut]), None, "cut at {cut}");
    }
}
