//! Merging is a union, whatever the order; a key counts once.

use proptest::prelude::*;
use protocol::tally::{Origin, TallyBatch, TallyEntry};

use super::TallyLog;
use crate::version_vector::VersionVector;

fn entry(tally: &str, instance_id: &str, amount: u64) -> TallyEntry {
    TallyEntry { tally: tally.into(), instance_id: instance_id.into(), amount }
}

/// Logs of some origins in which keys come again and again, also with other amounts.
fn logs() -> impl Strategy<Value = Vec<Vec<TallyEntry>>> {
    let entry = (0..3_u8, 0..12_u8, 0..5_u64)
        .prop_map(|(tally, key, amount)| entry(&format!("t{tally}"), &format!("k{key}"), amount));
    prop::collection::vec(prop::collection::vec(entry, 0..12), 1..4)
}

/// A cut of logs into batches that overlap, in any order: what a network with repeats and reordering delivers.
fn deliveries(logs: &[Vec<TallyEntry>], order: &[prop::sample::Index]) -> Vec<TallyBatch> {
    let mut batches = Vec::new();
    for index in order {
        let origin = index.index(logs.len());
        let log = &logs[origin];
        let start = index.index(log.len() + 1);
        let end = (start + 1 + index.index(5)).min(log.len());
        batches.push(batch(origin, log, start, end));
    }
    // At last everything comes once, as anti-entropy sees to it.
    batches.extend(logs.iter().enumerate().map(|(origin, log)| batch(origin, log, 0, log.len())));
    batches
}

fn batch(origin: usize, log: &[TallyEntry], start: usize, end: usize) -> TallyBatch {
    TallyBatch { origin: Origin(origin as u64), start: start as u64, entries: log[start..end].to_vec() }
}

fn totals(log: &TallyLog) -> Vec<(String, u128)> {
    log.totals().map(|(name, total)| (name.to_string(), total)).collect()
}

proptest! {
    #[test]
    fn replicas_that_have_the_same_entries_show_the_same_totals(
        logs in logs(),
        one in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
        other in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let (mut left, mut right) = (TallyLog::default(), TallyLog::default());
        deliveries(&logs, &one).iter().for_each(|batch| { left.apply(batch); });
        deliveries(&logs, &other).iter().rev().for_each(|batch| { right.apply(batch); });
        deliveries(&logs, &other).iter().for_each(|batch| { right.apply(batch); });
        prop_assert_eq!(totals(&left), totals(&right));
        prop_assert_eq!(left.versions(), right.versions());
        prop_assert_eq!(left.entry_count(), logs.iter().map(Vec::len).sum::<usize>());
    }

    #[test]
    fn a_total_is_the_sum_over_distinct_keys_with_their_smallest_amounts(logs in logs()) {
        let mut merged = TallyLog::default();
        deliveries(&logs, &[]).iter().for_each(|batch| { merged.apply(batch); });
        for tally in ["t0", "t1", "t2"] {
            let of_tally: Vec<&TallyEntry> = logs.iter().flatten().filter(|entry| entry.tally == tally).collect();
            let keys: std::collections::BTreeSet<&str> =
                of_tally.iter().map(|entry| entry.instance_id.as_str()).collect();
            let smallest = |key: &str| {
                of_tally.iter().filter(|entry| entry.instance_id == key).map(|entry| entry.amount).min().unwrap_or(0)
            };
            let sum: u64 = keys.into_iter().map(smallest).sum();
            prop_assert_eq!(merged.total(tally), u128::from(sum));
        }
    }

    #[test]
    fn a_snapshot_restores_everything(logs in logs()) {
        let mut log = TallyLog::default();
        log.replay(crate::TallyRecord::Origin(Origin(0)));
        log.replay(crate::TallyRecord::CaughtUp);
        deliveries(&logs, &[]).iter().for_each(|batch| { log.apply(batch); });
        let mut restored = TallyLog::default();
        log.snapshot().into_iter().for_each(|record| restored.replay(record));
        prop_assert_eq!(totals(&restored), totals(&log));
        prop_assert_eq!(restored.versions(), log.versions());
        prop_assert_eq!(restored.own_origin(), Some(Origin(0)));
        prop_assert!(restored.had_caught_up());
    }
}

#[test]
fn a_batch_with_a_gap_before_it_changes_nothing() {
    let mut log = TallyLog::default();
    let entries = vec![entry("t", "a", 1), entry("t", "b", 2)];
    assert_eq!(log.apply(&TallyBatch { origin: Origin(1), start: 1, entries: entries.clone() }), None);
    assert_eq!(log.total("t"), 0);
    let whole = TallyBatch { origin: Origin(1), start: 0, entries };
    assert_eq!(log.apply(&whole), Some(whole.clone()));
    assert_eq!(log.apply(&whole), None, "nothing of it is new");
    assert_eq!(log.total("t"), 3);
}

#[test]
fn what_is_sent_is_what_lacks_there_and_is_on_disk_here_in_bounded_pieces() {
    let mut log = TallyLog::default();
    log.replay(crate::TallyRecord::Origin(Origin(1)));
    (0..100).for_each(|number| {
        log.append(entry("t", &format!("k{number}"), 1));
    });
    let mut durable = VersionVector::default();
    durable.advance(Origin(1), 60);
    let mut known = VersionVector::default();
    known.advance(Origin(1), 10);
    let all = log.missing_at(&known, &durable, |_| true, usize::MAX);
    assert_eq!((all.len(), all[0].start, all[0].entries.len()), (1, 10, 50));
    let some = log.missing_at(&known, &durable, |_| true, 350);
    assert!((5..15).contains(&some[0].entries.len()), "{}", some[0].entries.len());
    assert!(log.missing_at(&known, &durable, |_| false, usize::MAX).is_empty());
}

#[test]
fn a_key_is_found_in_its_own_tally_alone() {
    let mut log = TallyLog::default();
    log.replay(crate::TallyRecord::Origin(Origin(7)));
    let dot = log.append(entry("one", "k", 3));
    assert_eq!(log.find("one", "k"), Some(dot));
    assert_eq!(log.find("two", "k"), None);
    assert_eq!((log.total("one"), log.total("two")), (3, 0));
}
