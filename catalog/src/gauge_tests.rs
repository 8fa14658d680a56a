use protocol::message::EngineLoad;

use super::{Gauge, ROOM, STALE_MS};

fn told(name: u64, load: u32, age_ms: u32) -> EngineLoad {
    EngineLoad { engine_hash: name, load, age_ms }
}

#[test]
fn the_newest_word_counts_and_an_old_one_is_not_told() {
    let mut gauge = Gauge::default();
    gauge.note(&told(1, 5, 0), 1000);
    gauge.note(&told(1, 9, 400), 1100);
    assert_eq!(gauge.tell([1, 2].into_iter(), 1100), [told(1, 5, 100)], "what is late does not replace what is newer");
    gauge.note(&told(1, 2, 10), 1200);
    assert_eq!(gauge.tell([1].into_iter(), 1250), [told(1, 2, 60)]);
    assert!(gauge.tell([1].into_iter(), 1190 + STALE_MS).is_empty());
}

#[test]
fn room_is_bounded_and_what_is_stale_gives_way() {
    let mut gauge = Gauge::default();
    (0..super::ROOM as u64 + 50).for_each(|name| gauge.note(&told(name, 1, 0), 10));
    assert_eq!(gauge.held.len(), ROOM);
    gauge.note(&told(u64::MAX, 3, 0), 10 + STALE_MS);
    assert_eq!(gauge.tell([u64::MAX].into_iter(), 10 + STALE_MS).len(), 1);
}
