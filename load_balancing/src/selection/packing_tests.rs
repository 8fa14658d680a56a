//! Tests of the placement of a candidate version's requests.

use std::collections::BTreeMap;

use protocol::message::{EndpointList, Engine};
use protocol::version_rollout::candidates_of;

use crate::engine_table::EngineTable;
use crate::phase::Phase;
use crate::selection::{Arm, CandidatePlacement, PackingStart, SelectionContext};

const SLOTS: u32 = 20;
const ENGINES: usize = 10;

fn engine(id: String) -> Engine {
    Engine {
        id,
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: SLOTS,
        up: true,
        cold_ms: 0,
    }
}

/// Returns a table with engines of both versions, where each stable engine reports `running` requests.
fn engine_table(running: u32) -> EngineTable {
    let mut engine_table = EngineTable::default();
    for (zone, prefix) in [("a".to_string(), "old"), (candidates_of("a"), "new")] {
        let engines = (0..ENGINES).map(|number| engine(format!("{prefix}-{number}"))).collect();
        engine_table.update(&EndpointList { zone, term: 1, sequence: 1, engines }, 0);
    }
    for number in 0..ENGINES {
        let index = engine_table.find(&format!("old-{number}")).expect("a listed engine");
        engine_table.record_reported_load(index, &format!("{running},0,{SLOTS}"), 0);
    }
    engine_table
}

/// Returns the number of requests that each engine gets out of 1,000 packed ones.
fn requests_by_engine(engine_table: &EngineTable, share: u32) -> BTreeMap<usize, u32> {
    placed(engine_table, |draw| CandidatePlacement::Packed { load_share: share, draw, first: PackingStart::default() })
}

/// Returns the number of requests that each engine gets out of 1,000.
fn placed(engine_table: &EngineTable, placement: impl Fn(u32) -> CandidatePlacement) -> BTreeMap<usize, u32> {
    let mut counts = BTreeMap::new();
    for step in 0..1000_u64 {
        let draw = ((step << 32) / 1000) as u32;
        let selection = SelectionContext {
            engine_table,
            now: 1000,
            service: 0,
            zone: 0,
            excluded_zones: &[],
            tried_engines: &[],
            router_count: 3,
            cold_engine_rate: 0.0,
            weight_versions: None,
            is_confirmed: true,
            arm: Arm::Candidate(placement(draw)),
        };
        let selected = selection.select_decode(100, &[], None, 7).expect("an engine");
        assert!(engine_table.engines[selected].is_candidate);
        *counts.entry(selected).or_default() += 1;
        assert!(selection.candidates(Phase::Prefill).is_empty(), "no prefill engine is listed");
    }
    counts
}

#[test]
fn packed_requests_go_to_as_few_engines_as_can_serve_them() {
    // Each of 10 engines reports 8 requests, of which one is being answered: three tenths of the other 70 are 21, and
    // an engine takes 13.
    let counts = requests_by_engine(&engine_table(8), 300);
    assert_eq!(counts.len(), 2);
    let most = counts.values().max().copied().unwrap_or_default();
    assert!((600..=640).contains(&most), "one engine takes 13 of 21: {counts:?}");
}

#[test]
fn a_small_packed_share_goes_to_one_engine() {
    assert_eq!(requests_by_engine(&engine_table(1), 300).len(), 1);
    assert_eq!(requests_by_engine(&engine_table(0), 300).len(), 1);
}

#[test]
fn a_full_packed_engine_is_skipped() {
    let mut engine_table = engine_table(1);
    let only = *requests_by_engine(&engine_table, 300).keys().next().expect("one engine");
    engine_table.record_reported_load(only, &format!("{SLOTS},0,{SLOTS}"), 1000);
    let counts = requests_by_engine(&engine_table, 300);
    assert!(!counts.contains_key(&only) && counts.len() == 1, "{counts:?}");
}

#[test]
fn a_canary_uses_its_share_of_the_engines_and_rotates_them_each_turn() {
    let engine_table = engine_table(5);
    let in_turn = |turn| placed(&engine_table, |draw| CandidatePlacement::Rotating { share: 200, draw, turn });
    let first = in_turn(0);
    assert_eq!(first.values().collect::<Vec<_>>(), [&500, &500], "{first:?}");
    let all: BTreeMap<usize, u32> = (0..5).flat_map(in_turn).collect();
    assert_eq!(all.len(), ENGINES, "five turns of two engines cover all");
    assert_eq!(in_turn(5), first);
    let single = placed(&engine_table, |draw| CandidatePlacement::Rotating { share: 40, draw, turn: 0 });
    assert_eq!(single.len(), 1, "a canary uses at least one engine");
}
