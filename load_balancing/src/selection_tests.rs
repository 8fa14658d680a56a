use protocol::message::{EndpointList, Engine};

use super::{Arm, CachedPrefix, SelectionContext};
use crate::engine_table::EngineTable;
use crate::phase::Phase;

fn engine_table() -> EngineTable {
    let engine = |id: &str, zone: &str, phase: &str, up: bool| Engine {
        id: id.into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        zone: zone.into(),
        phase: phase.into(),
        model: String::new(),
        slots: 8,
        up,
        cold_ms: 0,
    };
    let mut engine_table = EngineTable::default();
    for zone in ["a", "b"] {
        engine_table.set_region(zone, "r");
        let list = vec![
            engine(&format!("p-{zone}"), zone, "prefill", true),
            engine(&format!("d-{zone}"), zone, "decode", true),
            engine(&format!("x-{zone}"), zone, "decode", false),
        ];
        engine_table.update(&EndpointList { zone: zone.into(), term: 1, sequence: 1, engines: list }, 0);
    }
    engine_table
}

fn context<'a>(engine_table: &'a EngineTable, excluded: &'a [u32], tried: &'a [usize]) -> SelectionContext<'a> {
    SelectionContext {
        engine_table,
        now: 1000,
        service: 0,
        zone: 0,
        excluded_zones: excluded,
        tried_engines: tried,
        router_count: 3,
        cold_engine_rate: 3.0,
        weight_versions: None,
        is_confirmed: true,
        arm: Arm::Stable,
    }
}

fn cached(engine: usize, tokens: u32) -> CachedPrefix {
    CachedPrefix { engine, tokens }
}

fn id(engine_table: &EngineTable, index: Option<usize>) -> &str {
    index.map_or("", |index| engine_table.engines[index].id.as_str())
}

#[test]
fn the_owner_of_the_longest_prefix_does_the_prefill_unless_it_is_loaded() {
    let mut engine_table = engine_table();
    let far = engine_table.find("p-b").expect("a listed engine");
    assert_eq!(
        id(
            &engine_table,
            context(&engine_table, &[], &[])
                .select_prefill(9000, &[cached(far, 6000)], 6000, 5)
                .map(|best| best.engine)
        ),
        "p-b"
    );
    engine_table.engines[far].in_flight = 4;
    engine_table.record_prefill(0, 3000);
    assert_eq!(
        id(
            &engine_table,
            context(&engine_table, &[], &[])
                .select_prefill(9000, &[cached(far, 6000)], 6000, 5)
                .map(|best| best.engine)
        ),
        "p-a"
    );
}

#[test]
fn all_routers_choose_the_same_prefill_engine_for_a_prefix_without_owner() {
    let engine_table = engine_table();
    let mut remote = context(&engine_table, &[], &[]);
    let near = remote.select_prefill(9000, &[], 6000, 77).map(|best| best.engine);
    remote.zone = 1;
    assert_eq!(near, remote.select_prefill(9000, &[], 6000, 77).map(|best| best.engine));
}

#[test]
fn draining_excluded_and_tried_engines_are_never_selected() {
    let engine_table = engine_table();
    let tried = [engine_table.find("d-a").expect("a listed engine")];
    assert_eq!(id(&engine_table, context(&engine_table, &[], &tried).select_decode(10, &[], None, 1)), "d-b");
    assert_eq!(id(&engine_table, context(&engine_table, &[0], &[]).select_decode(10, &[], None, 1)), "d-b");
    assert_eq!(context(&engine_table, &[0, 1], &[]).select_decode(10, &[], None, 1), None);
}

#[test]
fn a_decode_engine_does_prefill_only_when_prefill_engines_are_loaded() {
    let mut engine_table = engine_table();
    engine_table.record_prefill(0, 3000);
    let costs = |engine_table: &EngineTable| {
        let context = context(engine_table, &[], &[]);
        (
            context.select_prefill(3000, &[], 0, 1).expect("prefill engine").cost,
            context.select_combined(3000, &[], 1).expect("decode engine").cost,
        )
    };
    let (prefill, combined) = costs(&engine_table);
    assert!(prefill < combined);
    for index in [engine_table.find("p-a"), engine_table.find("p-b")].into_iter().flatten() {
        engine_table.record_reported_load(index, "8,1,8", 900);
    }
    let (prefill, combined) = costs(&engine_table);
    assert!(prefill > combined);
}

#[test]
fn decode_is_selected_in_the_zone_of_the_kv_cache() {
    let engine_table = engine_table();
    let from = engine_table.find("p-b");
    assert_eq!(id(&engine_table, context(&engine_table, &[], &[]).select_decode(60_000, &[], from, 1)), "d-b");
}

#[test]
fn a_cold_engine_is_selected_only_as_often_as_slow_start_allows() {
    let mut engine_table = engine_table();
    let index = engine_table.find("d-a").expect("a listed engine");
    engine_table.engines[index].cold_until = 5000;
    engine_table.engines[index].slow_start.record_send(900);
    assert_eq!(id(&engine_table, context(&engine_table, &[], &[]).select_decode(10, &[], None, 1)), "d-b");
    engine_table.engines[index].cold_until = 0;
    assert_eq!(id(&engine_table, context(&engine_table, &[], &[]).select_decode(10, &[], None, 1)), "d-a");
}

#[test]
fn deferrable_work_is_admitted_only_beside_lightly_loaded_phases() {
    let mut engine_table = engine_table();
    assert!(context(&engine_table, &[], &[]).has_spare_capacity(0.3));
    for id in ["d-a", "d-b"] {
        let index = engine_table.find(id).expect("a listed engine");
        engine_table.record_reported_load(index, "4,0,8", 900);
    }
    assert!(!context(&engine_table, &[], &[]).has_spare_capacity(0.3));
    assert!(context(&engine_table, &[], &[]).has_spare_capacity(0.6), "a higher share admits work at a higher load");
    for id in ["p-a", "p-b"] {
        let index = engine_table.find(id).expect("a listed engine");
        engine_table.record_reported_load(index, "3,0,8", 900);
    }
    assert!(
        !context(&engine_table, &[], &[]).has_spare_capacity(0.6),
        "no work is admitted while prefill engines are loaded"
    );
}

#[test]
fn an_engine_in_another_region_is_selected_only_if_no_nearer_one_is_available() {
    let mut engine_table = engine_table();
    engine_table.set_region("b", "other");
    let far = engine_table.find("p-b").expect("a listed engine");
    assert_eq!(
        id(
            &engine_table,
            context(&engine_table, &[], &[])
                .select_prefill(9000, &[cached(far, 6000)], 6000, 5)
                .map(|best| best.engine)
        ),
        "p-a"
    );
    let tried = [engine_table.find("p-a").expect("a listed engine")];
    assert_eq!(
        id(
            &engine_table,
            context(&engine_table, &[], &tried).select_prefill(9000, &[], 6000, 5).map(|best| best.engine)
        ),
        "p-b"
    );
}

#[test]
fn is_saturated_requires_every_decode_engine_to_be_full() {
    let mut engine_table = engine_table();
    for (id, load) in [("d-a", "9,3,8"), ("d-b", "4,0,8")] {
        let index = engine_table.find(id).expect("a listed engine");
        engine_table.record_reported_load(index, load, 900);
    }
    assert!(!context(&engine_table, &[], &[]).is_saturated(1.25));
    let index = engine_table.find("d-b").expect("a listed engine");
    engine_table.record_reported_load(index, "8,2,8", 900);
    assert!(context(&engine_table, &[], &[]).is_saturated(1.25));
    assert!(!context(&engine_table, &[], &[]).is_saturated(1.5), "a higher share is reached later");
}

#[test]
fn an_owner_of_a_shorter_prefix_is_not_preferred_to_the_home_engine() {
    let engine_table = engine_table();
    let (near, far) =
        (engine_table.find("p-a").expect("a listed engine"), engine_table.find("p-b").expect("a listed engine"));
    let chosen = |key, prefixes: &[CachedPrefix]| {
        context(&engine_table, &[], &[]).select_prefill(9000, prefixes, 6000, key).map(|best| best.engine)
    };
    let home = |key| engine_table.subset(0, Phase::Prefill, false).expect("a subset").home_engines(key, 1, |_| true)[0];
    let key = (0..).find(|key| home(*key) == near).expect("a key whose home engine is near");
    assert_eq!(chosen(key, &[cached(far, 2500)]), Some(near), "an owner of a shorter prefix is not preferred");
    assert_eq!(chosen(key, &[cached(far, 6000)]), Some(far), "an owner of the whole shared prefix is preferred");
}
