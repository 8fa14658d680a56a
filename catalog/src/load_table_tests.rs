use protocol::message::EngineLoad;

use super::{LoadTable, CAPACITY, STALE_MS};

fn report(engine_hash: u64, load: u32, age_ms: u32) -> EngineLoad {
    EngineLoad { engine_hash, load, age_ms }
}

#[test]
fn loads_returns_the_newest_report_unless_it_is_stale() {
    let mut load_table = LoadTable::default();
    load_table.record(&report(1, 5, 0), 1000);
    load_table.record(&report(1, 9, 400), 1100);
    assert_eq!(
        load_table.loads([1, 2].into_iter(), 1100),
        [report(1, 5, 100)],
        "an older report must not replace a newer one"
    );
    load_table.record(&report(1, 2, 10), 1200);
    assert_eq!(load_table.loads([1].into_iter(), 1250), [report(1, 2, 60)]);
    assert!(load_table.loads([1].into_iter(), 1190 + STALE_MS).is_empty());
}

#[test]
fn a_full_table_removes_stale_entries_for_new_engines() {
    let mut load_table = LoadTable::default();
    (0..CAPACITY as u64 + 50).for_each(|engine_hash| load_table.record(&report(engine_hash, 1, 0), 10));
    assert_eq!(load_table.entries.len(), CAPACITY);
    load_table.record(&report(u64::MAX, 3, 0), 10 + STALE_MS);
    assert_eq!(load_table.loads([u64::MAX].into_iter(), 10 + STALE_MS).len(), 1);
}
