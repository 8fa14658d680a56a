use protocol::message::{EndpointList, EndpointUpdate, Engine};
use protocol::version_rollout;

use super::EngineTable;
use crate::engine_state::ReportedLoad;
use crate::phase::Phase;
use crate::selection::SelectionContext;

fn list(sequence: u64, entries: &[(&str, bool, u32)]) -> EndpointList {
    let engine = |(id, up, cold_ms): &(&str, bool, u32)| Engine {
        id: id.to_string(),
        service: "s".into(),
        addr: format!("10.0.0.1:{}", 80 + id.len()),
        zone: "a".into(),
        phase: "prefill".into(),
        model: String::new(),
        slots: 4,
        up: *up,
        cold_ms: *cold_ms,
    };
    EndpointList { zone: "a".into(), term: 1, sequence, engines: entries.iter().map(engine).collect() }
}

#[test]
fn update_returns_engines_that_drain_or_leave_and_ignores_an_older_list() {
    let mut engine_table = EngineTable::default();
    assert!(engine_table.update(&list(1, &[("i-1", true, 0), ("i-22", true, 900)]), 100).is_empty());
    assert_eq!(engine_table.engines[1].cold_until, 1000);
    assert_eq!(engine_table.update(&list(2, &[("i-1", false, 0), ("i-22", true, 0)]), 200), ["i-1"]);
    assert!(!engine_table.engines[0].up && engine_table.engines[0].listed);
    assert_eq!(engine_table.update(&list(3, &[("i-22", true, 0)]), 300), ["i-1"]);
    assert!(!engine_table.engines[0].listed);
    assert!(engine_table.update(&list(2, &[("i-1", true, 0)]), 400).is_empty(), "an older list changes nothing");
    assert!(!engine_table.engines[0].listed);
}

#[test]
fn estimated_load_adds_sends_since_the_report_and_decays_to_the_average() {
    let mut engine_table = EngineTable::default();
    engine_table.update(&list(1, &[("i-1", true, 0), ("i-22", true, 0)]), 0);
    assert_eq!(engine_table.estimated_load(0, 5), 0.0, "no report and nothing in flight");
    engine_table.engines[0].in_flight = 2;
    engine_table.record_reported_load(0, "5,1,8", 10);
    engine_table.engines[0].in_flight = 3;
    assert_eq!(engine_table.estimated_load(0, 10), 7.0);
    assert_eq!(engine_table.estimated_load(1, 10), 6.0, "an engine without a report counts as average");
    for _ in 0..200 {
        engine_table.record_reported_load(1, "1,0,8", 10);
    }
    let later: Vec<f64> = [10, 410, 810, 4010].map(|now| engine_table.estimated_load(0, now)).to_vec();
    assert!(later.windows(2).all(|pair| pair[0] > pair[1]), "{later:?}");
    assert!((later[3] - 4.0).abs() < 0.1, "expected the average plus own sends, got {}", later[3]);
    engine_table.engines[0].in_flight = 40;
    assert!(engine_table.estimated_load(0, 9000) >= 40.0, "never less than this router's requests in flight");
    engine_table.record_reported_load(0, "nonsense", 30);
    assert_eq!(engine_table.engines[0].reported_load, ReportedLoad { running: 5, waiting: 1 });
}

#[test]
fn a_suspected_engine_is_avoided_until_it_responds_and_a_retired_one_forever() {
    let mut engine_table = EngineTable::default();
    engine_table.update(&list(1, &[("i-1", true, 0), ("i-22", true, 0)]), 0);
    engine_table.engines[0].record_failure(100, 20_000);
    let candidates = |engine_table: &EngineTable, now| {
        let context = SelectionContext {
            engine_table,
            now,
            service: 0,
            zone: 0,
            excluded_zones: &[],
            tried_engines: &[],
            router_count: 1,
            cold_engine_rate: 0.0,
            weight_versions: None,
            is_confirmed: true,
            arm: Default::default(),
        };
        context.candidates(Phase::Prefill)
    };
    assert_eq!(candidates(&engine_table, 5000), [1], "a suspected engine gets no request");
    engine_table.engines[0].record_response(5000);
    assert_eq!(candidates(&engine_table, 5000), [0, 1]);
    engine_table.engines[1].retire();
    engine_table.update(&list(2, &[("i-1", true, 0), ("i-22", true, 0)]), 6000);
    assert_eq!(candidates(&engine_table, 6000), [0], "a retired id is never selected again");
}

#[test]
fn total_load_saturates_on_overflow() {
    let load = ReportedLoad { running: u32::MAX, waiting: 1 };
    assert_eq!(load.total(), u32::MAX);
}

fn listed(id: &str, up: bool) -> Engine {
    Engine {
        id: id.into(),
        service: "s".into(),
        addr: format!("{id}:80"),
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: 8,
        up,
        cold_ms: 0,
    }
}

fn list_of(sequence: u64, engines: Vec<Engine>) -> EndpointList {
    EndpointList { zone: "a".into(), term: 9, sequence, engines }
}

/// Returns the ids of the engines that accept requests, and the sequence of the list held.
fn usable(engine_table: &EngineTable) -> (Vec<&str>, u64) {
    let usable = engine_table.engines.iter().filter(|engine| engine.up && engine.listed);
    let versions = engine_table.list_versions();
    (usable.map(|engine| engine.id.as_str()).collect(), versions.first().map_or(0, |version| version.sequence))
}

#[test]
fn an_incremental_update_leads_to_the_same_engines_as_the_whole_list() {
    let old = list_of(1, vec![listed("i-1", true), listed("i-2", true), listed("i-3", true)]);
    let new = list_of(2, vec![listed("i-1", true), listed("i-2", false), listed("i-4", true)]);
    let (mut from_whole_list, mut from_update) = (EngineTable::default(), EngineTable::default());
    for engine_table in [&mut from_whole_list, &mut from_update] {
        engine_table.update(&old, 0);
    }
    let mut departed_by_list = from_whole_list.update(&new, 10);
    let mut departed_by_update = from_update.apply_update(&EndpointUpdate::between(&old, &new), 10);
    departed_by_list.sort();
    departed_by_update.sort();
    assert_eq!(departed_by_list, ["i-2", "i-3"], "one drains and one has left");
    assert_eq!(departed_by_update, departed_by_list);
    assert_eq!(usable(&from_update), usable(&from_whole_list));
    assert_eq!(usable(&from_update), (vec!["i-1", "i-4"], 2));
}

#[test]
fn an_update_based_on_a_version_not_held_is_ignored() {
    let lists: Vec<EndpointList> =
        (1..=3).map(|sequence| list_of(sequence, vec![listed(&format!("i-{sequence}"), true)])).collect();
    let mut engine_table = EngineTable::default();
    engine_table.update(&lists[0], 0);
    let last = EndpointUpdate::between(&lists[1], &lists[2]);
    assert!(engine_table.apply_update(&last, 0).is_empty());
    assert_eq!(usable(&engine_table), (vec!["i-1"], 1), "the list held is unchanged");
    engine_table.apply_update(&EndpointUpdate::between(&lists[0], &lists[1]), 0);
    engine_table.apply_update(&last, 0);
    assert_eq!(usable(&engine_table), (vec!["i-3"], 3));
    engine_table.apply_update(&EndpointUpdate::whole(&lists[1]), 0);
    assert_eq!(usable(&engine_table), (vec!["i-3"], 3), "an older list must not replace a newer one");
}

/// When a rollout completes, its engines move from their zone's list of candidates to its list of stable engines.
#[test]
fn an_engine_that_moves_between_the_lists_of_its_zone_stays_usable() {
    let candidates = version_rollout::candidates_of("a");
    let of_candidates = |sequence, engines| EndpointList { zone: candidates.clone(), ..list_of(sequence, engines) };
    let (before, after) = (of_candidates(1, vec![listed("i-2", true)]), of_candidates(2, Vec::new()));
    let mut engine_table = EngineTable::default();
    engine_table.update(&list_of(1, vec![listed("i-1", true)]), 0);
    engine_table.update(&before, 0);
    let moved = list_of(2, vec![listed("i-1", true), listed("i-2", true)]);
    engine_table.apply_update(&EndpointUpdate::between(&list_of(1, vec![listed("i-1", true)]), &moved), 10);
    assert!(
        engine_table.apply_update(&EndpointUpdate::between(&before, &after), 10).is_empty(),
        "the engine has not left"
    );
    assert_eq!(usable(&engine_table).0, ["i-1", "i-2"]);
    assert!(engine_table.engines.iter().all(|engine| !engine.is_candidate));
}
