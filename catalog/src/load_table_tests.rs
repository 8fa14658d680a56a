use protocol::message::EngineLoad;

use super::{LoadTable, CAPACITY, STALE_MS};

fn reported(engine_hash: u64, load: u32, age_ms: u32) -> EngineLoad {
    EngineLoad { engine_hash, load, age_ms }
}

#[test]
fn the_newest_report_counts_and_a_stale_one_is_not_returned() {
    let mut load_table = LoadTable::default();
    load_table.record(&reported(1, 5, 0), 1000);
    load_table.record(&reported(1, 9, 400), 1100);
    assert_eq!(
        load_table.loads([1, 2].into_iter(), 1100),
        [reported(1, 5, 100)],
        "what is late does not replace what is newer"
    );
    load_table.record(&reported(1, 2, 10), 1200);
    assert_eq!(load_table.loads([1].into_iter(), 1250), [reported(1, 2, 60)]);
    assert!(load_table.loads([1].into_iter(), 1190 + STALE_MS).is_empty());
}

#[test]
fn capacity_is_bounded_and_stale_entries_make_room() {
    let mut load_table = LoadTable::default();
    (0..CAPACITY as u64 + 50).for_each(|engine_hash| load_table.record(&reported(engine_hash, 1, 0), 10));
    assert_eq!(load_table.entries.len(), CAPACITY);
    load_table.record(&reported(u64::MAX, 3, 0), 10 + STALE_MS);
    assert_eq!(load_table.loads([u64::MAX].into_iter(), 10 + STALE_MS).len(), 1);
}
