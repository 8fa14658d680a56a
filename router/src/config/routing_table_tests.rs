use kernel::Rng;
use load_balancing::EngineTable;
use protocol::config::{read, Config};
use protocol::config_update::ConfigUpdate;

use super::{pick_weighted, RoutingTable};

fn config(revision: u64, routes: &[(&str, &str, &str)]) -> Config {
    let route = |(name, prefix, service): &(&str, &str, &str)| {
        serde_json::json!({"name": name, "hostname": "A.example", "path_prefix": prefix, "route_type": "streaming",
            "timeout_ms": 5, "service": service})
    };
    let text = serde_json::json!({"revision": revision, "route_table": routes.iter().map(route).collect::<Vec<_>>(),
        "service_table": [{"name": "s"}, {"name": "t"}, {"name": "u"}]});
    read(&text.to_string()).expect("valid configuration")
}

/// The routes of the initial table: name, prefix and service.
const INITIAL_ROUTES: [(&str, &str, &str); 3] = [("1", "/", "s"), ("2", "/x/y/", "t"), ("3", "/x/", "u")];

fn initial_table(engine_table: &mut EngineTable) -> RoutingTable {
    let full = ConfigUpdate::full(&config(1, &INITIAL_ROUTES));
    RoutingTable::default().apply(&full, engine_table).expect("the update is newer")
}

#[test]
fn the_route_with_the_longest_prefix_for_the_host_is_found() {
    let mut engine_table = EngineTable::default();
    let table = initial_table(&mut engine_table);
    let service = |host: &str, path: &str| table.find(host, path).map(|route| route.targets[0].0);
    assert_eq!(service("a.example", "/x/y/z"), Some(engine_table.service_index("t")));
    assert_eq!(service("a.example:80", "/x/z"), Some(engine_table.service_index("u")));
    assert_eq!(service("a.example", "/x"), Some(engine_table.service_index("s")));
    assert_eq!(service("b.example", "/x/"), None);
}

#[test]
fn a_chain_of_updates_gives_the_table_of_the_full_configuration() {
    let mut engine_table = EngineTable::default();
    let mut rng = Rng::new(7);
    let names: Vec<String> = (0..12).map(|at| format!("r{at}")).collect();
    let (mut current, mut table) = (config(1, &INITIAL_ROUTES), initial_table(&mut engine_table));
    for revision in 2..200 {
        let mut routes = Vec::new();
        let prefixes = ["/", "/a/", "/a/b/", "/c/", "/d/", "/e/", "/f/", "/g/", "/h/", "/i/", "/j/", "/k/"];
        let shift = rng.below(12) as usize;
        for (at, name) in names.iter().enumerate() {
            if rng.below(3) == 0 {
                continue;
            }
            let service = ["s", "t", "u"][rng.below(3) as usize];
            routes.push((name.as_str(), prefixes[(at + shift) % 12], service));
        }
        let next = config(revision, &routes);
        table = table.apply(&ConfigUpdate::between(&current, &next), &mut engine_table).expect("the update follows");
        let full = RoutingTable::default()
            .apply(&ConfigUpdate::full(&next), &mut engine_table)
            .expect("a full update applies");
        for prefix in prefixes {
            let path = format!("{prefix}x");
            let found = |table: &RoutingTable| {
                table.find("a.example", &path).map(|route| (route.name.clone(), route.targets.clone()))
            };
            assert_eq!(found(&table), found(&full), "revision {revision}, {path}");
        }
        current = next;
    }
}

#[test]
fn an_update_after_a_gap_and_an_older_one_change_nothing() {
    let mut engine_table = EngineTable::default();
    let table = initial_table(&mut engine_table);
    let (three, four) = (config(3, &INITIAL_ROUTES[..2]), config(4, &INITIAL_ROUTES[..1]));
    let gap = ConfigUpdate::between(&three, &four);
    assert!(table.apply(&gap, &mut engine_table).is_none(), "the update is based on revision 3, but 1 is held");
    let later = table.apply(&ConfigUpdate::full(&four), &mut engine_table).expect("a full update applies");
    let older = ConfigUpdate::full(&three);
    assert!(later.apply(&older, &mut engine_table).is_none(), "an older update was applied");
    assert!(later.apply(&gap, &mut engine_table).is_none(), "an update to the revision held was applied");
}

#[test]
fn services_are_picked_by_weight_and_one_of_weight_zero_never() {
    let targets = [(0, 0), (1, 90), (2, 10)];
    let count = (0..100).filter(|random| pick_weighted(&targets, *random) == 1).count();
    assert_eq!(count, 90);
    assert!((0..200).all(|random| pick_weighted(&targets, random) != 0));
}

#[test]
fn each_target_gets_about_its_share_of_200_requests() {
    let targets = [(1, 70), (2, 20), (3, 10)];
    for seed in 0..500 {
        let mut rng = Rng::new(seed);
        let mut counts = [0.0; 4];
        for _ in 0..200 {
            counts[pick_weighted(&targets, rng.next_u64()) as usize] += 1.0;
        }
        for (service, weight) in targets {
            let deviation = counts[service as usize] / 200.0 - weight as f64 / 100.0;
            assert!(deviation.abs() < 0.2, "seed {seed}, service {service}: {deviation}");
        }
    }
}
