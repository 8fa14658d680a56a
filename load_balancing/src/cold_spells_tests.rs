//! When a cold spell counts as another one.

use protocol::message::ListVersion;

use super::ColdSpells;
use crate::testing::engines::engine;

fn version(sequence: u64) -> ListVersion {
    ListVersion { term: 1, sequence }
}

#[test]
fn a_spell_is_extended_only_by_a_later_end() {
    let mut spells = ColdSpells::default();
    assert!(spells.is_extended(&engine("i-1", 3000), 0) && !spells.is_extended(&engine("i-1", 0), 0));
    spells.announce(&[engine("i-1", 3000)], version(1), 1000);
    for (cold_ms, now, is_extended) in
        [(3000, 1000, false), (2000, 2000, false), (1, 3999, false), (1, 4000, true), (3000, 1001, true)]
    {
        assert_eq!(spells.is_extended(&engine("i-1", cold_ms), now), is_extended, "{cold_ms} ms at {now}");
    }
    assert!(spells.is_announced_after(&engine("i-1", 1), version(0)));
    assert!(!spells.is_announced_after(&engine("i-1", 1), version(1)));
    spells.announce(&[engine("i-1", 0)], version(2), 4000);
    assert_eq!(spells, ColdSpells::default());
}

#[test]
fn remaining_times_run_down_to_a_millisecond() {
    let mut spells = ColdSpells::default();
    spells.announce(&[engine("i-1", 3000), engine("i-2", 100)], version(1), 0);
    let mut engines = [engine("i-1", 3000), engine("i-2", 100), engine("i-3", 0)];
    spells.update_remaining(&mut engines, 1000);
    assert_eq!(engines.each_ref().map(|engine| engine.cold_ms), [2000, 1, 0]);
    assert!(spells.is_any_active(2999) && !spells.is_any_active(3000));
    spells.retain_listed(&engines[1..]);
    assert!(!spells.is_any_active(1000));
}
