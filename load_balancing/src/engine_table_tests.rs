use protocol::message::{EndpointList, Engine};

use super::EngineTable;
use crate::place::{Half, View};

fn sheet(count: u64, list: &[(&str, bool, u32)]) -> EndpointList {
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
    EndpointList { zone: "a".into(), term: 1, sequence: count, engines: list.iter().map(engine).collect() }
}

#[test]
fn engines_that_drain_or_go_are_told_once_and_out_of_the_path() {
    let mut engine_table = EngineTable::default();
    assert!(engine_table.take(&sheet(1, &[("i-1", true, 0), ("i-22", true, 900)]), 100).is_empty());
    assert_eq!(engine_table.list[1].cold_until, 1000);
    assert_eq!(engine_table.take(&sheet(2, &[("i-1", false, 0), ("i-22", true, 0)]), 200), ["i-1"]);
    assert!(!engine_table.list[0].up && engine_table.list[0].here);
    assert_eq!(engine_table.take(&sheet(3, &[("i-22", true, 0)]), 300), ["i-1"]);
    assert!(!engine_table.list[0].here);
    assert!(engine_table.take(&sheet(2, &[("i-1", true, 0)]), 400).is_empty(), "an older sheet changes nothing");
    assert!(!engine_table.list[0].here);
}

#[test]
fn pressure_moves_with_own_sends_since_the_report_and_fades_into_the_average() {
    let mut engine_table = EngineTable::default();
    engine_table.take(&sheet(1, &[("i-1", true, 0), ("i-22", true, 0)]), 0);
    assert_eq!(engine_table.pressure(0, 5), 0.0, "nothing is known and nothing sent");
    engine_table.list[0].busy = 2;
    engine_table.report(0, "5,1,8", 10);
    engine_table.list[0].busy = 3;
    assert_eq!(engine_table.pressure(0, 10), 7.0);
    assert_eq!(engine_table.pressure(1, 10), 6.0, "an engine not heard of is like the average");
    for _ in 0..200 {
        engine_table.report(1, "1,0,8", 10);
    }
    let later: Vec<f64> = [10, 410, 810, 4010].map(|now| engine_table.pressure(0, now)).to_vec();
    assert!(later.windows(2).all(|pair| pair[0] > pair[1]), "{later:?}");
    assert!((later[3] - 4.0).abs() < 0.1, "the average and the own sends: {}", later[3]);
    engine_table.list[0].busy = 40;
    assert!(engine_table.pressure(0, 9000) >= 40.0, "never below what was sent from here");
    engine_table.report(0, "nonsense", 30);
    assert_eq!(engine_table.list[0].load, (5, 1));
}

#[test]
fn a_dark_engine_is_left_alone_until_it_answers_and_its_address_until_never() {
    let mut engine_table = EngineTable::default();
    engine_table.take(&sheet(1, &[("i-1", true, 0), ("i-22", true, 0)]), 0);
    engine_table.list[0].strike(100, 20_000);
    let open = |engine_table: &EngineTable, now| {
        let view = View {
            engine_table,
            now,
            service: 0,
            zone: 0,
            shut: &[],
            tried: &[],
            seats: 1,
            ramp: 0.0,
            weights: None,
            confirmed: true,
            arm: Default::default(),
        };
        view.open(Half::Prefill)
    };
    assert_eq!(open(&engine_table, 5000), [1], "no request tests it");
    engine_table.list[0].good(5000);
    assert_eq!(open(&engine_table, 5000), [0, 1]);
    engine_table.list[1].over();
    engine_table.take(&sheet(2, &[("i-1", true, 0), ("i-22", true, 0)]), 6000);
    assert_eq!(open(&engine_table, 6000), [0], "an id whose address went to another never comes back");
}
