//! Merging is a union regardless of the order of delivery, and each key counts once.

use proptest::prelude::*;
use protocol::tally::{Origin, PackedAmounts, PackedBatch, TallyBatch, TallyEntry};

use super::TallyLog;
use crate::limits::EntryCounts;
use crate::origin_log::CHUNK_ENTRIES;
use crate::version_vector::VersionVector;

fn entry(tally: &str, instance_id: &str, amount: u64) -> TallyEntry {
    TallyEntry { tally: tally.into(), instance_id: instance_id.into(), amount }
}

/// Logs of a few origins with many repeated keys, also with different amounts.
fn logs() -> impl Strategy<Value = Vec<Vec<TallyEntry>>> {
    let entry = (0..3_u8, 0..12_u8, 0..5_u64)
        .prop_map(|(tally, key, amount)| entry(&format!("t{tally}"), &format!("k{key}"), amount));
    prop::collection::vec(prop::collection::vec(entry, 0..12), 1..4)
}

/// Splits logs into overlapping batches in any order, as a network that duplicates and reorders messages delivers them.
fn deliveries(logs: &[Vec<TallyEntry>], order: &[prop::sample::Index]) -> Vec<TallyBatch> {
    let mut batches = Vec::new();
    for index in order {
        let origin = index.index(logs.len());
        let log = &logs[origin];
        let start = index.index(log.len() + 1);
        let end = (start + 1 + index.index(5)).min(log.len());
        batches.push(batch(origin, log, start, end));
    }
    // Finally every log is delivered in full, as anti-entropy ensures.
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
    fn replicas_with_the_same_entries_have_the_same_totals(
        logs in logs(),
        first_order in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
        second_order in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let (mut left, mut right) = (TallyLog::default(), TallyLog::default());
        deliveries(&logs, &first_order).iter().for_each(|batch| { left.apply(batch); });
        deliveries(&logs, &second_order).iter().rev().for_each(|batch| { right.apply(batch); });
        deliveries(&logs, &second_order).iter().for_each(|batch| { right.apply(batch); });
        prop_assert_eq!(totals(&left), totals(&right));
        prop_assert_eq!(left.versions(), right.versions());
        prop_assert_eq!(left.entry_count(), logs.iter().map(Vec::len).sum::<usize>());
    }

    #[test]
    fn a_total_is_the_sum_of_the_smallest_amounts_of_distinct_keys(logs in logs()) {
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
fn a_batch_after_a_gap_changes_nothing() {
    let mut log = TallyLog::default();
    let entries = vec![entry("t", "a", 1), entry("t", "b", 2)];
    assert_eq!(log.apply(&TallyBatch { origin: Origin(1), start: 1, entries: entries.clone() }), None);
    assert_eq!(log.total("t"), 0);
    let whole = TallyBatch { origin: Origin(1), start: 0, entries };
    assert_eq!(log.apply(&whole), Some(whole.clone()));
    assert_eq!(log.apply(&whole), None, "no entry is new");
    assert_eq!(log.total("t"), 3);
}

#[test]
fn missing_entries_are_limited_to_durable_ones_and_to_the_byte_budget() {
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
    let limited = log.missing_at(&known, &durable, |_| true, 350);
    assert!((5..15).contains(&limited[0].entries.len()), "{}", limited[0].entries.len());
    assert!(log.missing_at(&known, &durable, |_| false, usize::MAX).is_empty());
}

#[test]
fn a_key_is_found_only_in_its_own_tally() {
    let mut log = TallyLog::default();
    log.replay(crate::TallyRecord::Origin(Origin(7)));
    let dot = log.append(entry("one", "k", 3));
    assert_eq!(log.find("one", "k"), Some(dot));
    assert_eq!(log.find("two", "k"), None);
    assert_eq!((log.total("one"), log.total("two")), (3, 0));
}

fn seal_all(log: &mut TallyLog) -> usize {
    let versions = log.versions();
    log.seal(&versions, usize::MAX).len()
}

proptest! {
    /// Totals and known keys equal those of a plain union, regardless of when entries are sealed, in which form they
    /// are sent and when a replica restarts.
    #[test]
    fn sealing_changes_nothing_that_can_be_read(
        logs in logs(),
        steps in prop::collection::vec((any::<prop::sample::Index>(), 0..5_u8), 0..24),
    ) {
        let mut plain = TallyLog::default();
        let mut sealing = TallyLog::default();
        for (index, action) in &steps {
            let batch = &deliveries(&logs, &[*index])[0];
            plain.apply(batch);
            match action {
                0 | 1 => { sealing.apply(batch); }
                2 => { sealing.apply_packed(&packed(batch)); }
                3 => { seal_all(&mut sealing); }
                _ => sealing = restored(&sealing),
            }
        }
        deliveries(&logs, &[]).iter().for_each(|batch| {
            plain.apply(batch);
            sealing.apply(batch);
        });
        seal_all(&mut sealing);
        let restarted = restored(&sealing);
        for log in [&sealing, &restarted] {
            prop_assert_eq!(totals(log), totals(&plain));
            prop_assert_eq!(log.versions(), plain.versions());
            prop_assert_eq!(log.entry_count(), plain.entry_count());
            for entry in logs.iter().flatten() {
                prop_assert!(log.find(&entry.tally, &entry.instance_id).is_some());
            }
            prop_assert_eq!(log.find("t0", "never sent"), None);
        }
    }

    /// An empty replica catches up from sealed logs in either form, also one that supports only text keys.
    #[test]
    fn sealed_entries_are_sent_in_either_form(logs in logs(), bytes in 1..400_usize, sends_packed: bool) {
        let mut full = TallyLog::default();
        deliveries(&logs, &[]).iter().for_each(|batch| { full.apply(batch); });
        seal_all(&mut full);
        let mut receiver = TallyLog::default();
        while receiver.versions() != full.versions() {
            let (known, durable) = (receiver.versions(), full.versions());
            let before = receiver.entry_count();
            if sends_packed {
                let batches = full.missing_packed_at(&known, &durable, |_| true, bytes);
                batches.iter().for_each(|batch| { receiver.apply_packed(batch); });
            } else {
                let batches = full.missing_at(&known, &durable, |_| true, bytes);
                batches.iter().for_each(|batch| { receiver.apply(batch); });
            }
            prop_assert!(receiver.entry_count() > before, "each call delivers new entries");
        }
        prop_assert_eq!(totals(&receiver), totals(&full));
        for entry in logs.iter().flatten() {
            prop_assert!(receiver.find(&entry.tally, &entry.instance_id).is_some());
        }
    }
}

/// Packs the entries of a batch, as a replica sends them that no longer has the text of the keys.
fn packed(batch: &TallyBatch) -> PackedBatch {
    let mut log = TallyLog::default();
    let start = VersionVector::default();
    let first = TallyBatch { start: 0, ..batch.clone() };
    log.apply(&first);
    let durable = log.versions();
    let mut sent = log.missing_packed_at(&start, &durable, |_| true, usize::MAX);
    let mut packed = sent.pop().unwrap_or(PackedBatch {
        origin: batch.origin,
        start: 0,
        tallies: Vec::new(),
        tally_of: Vec::new(),
        digests: Vec::new(),
        amounts: PackedAmounts::Narrow(Vec::new()),
    });
    packed.start = batch.start;
    packed
}

fn restored(log: &TallyLog) -> TallyLog {
    let mut restored = TallyLog::default();
    log.snapshot().into_iter().for_each(|record| restored.replay(record));
    restored
}

#[test]
fn a_smaller_amount_counts_also_where_the_first_one_is_sealed() {
    let mut log = TallyLog::default();
    log.replay(crate::TallyRecord::Origin(Origin(1)));
    (0..CHUNK_ENTRIES).for_each(|number| {
        log.append(entry("t", &format!("k{number}"), 5));
    });
    assert_eq!(seal_all(&mut log), 1);
    assert!(log.is_sealed(log.find("t", "k0").expect("the key was added")));
    log.apply(&TallyBatch { origin: Origin(2), start: 0, entries: vec![entry("t", "k0", 3), entry("t", "k0", 4)] });
    assert_eq!(log.total("t"), 5 * CHUNK_ENTRIES as u128 - 2);
    assert_eq!(restored(&log).total("t"), log.total("t"));
}

#[test]
fn sealing_is_limited_to_durable_entries_and_drops_the_text_of_keys() {
    let mut log = TallyLog::default();
    log.replay(crate::TallyRecord::Origin(Origin(1)));
    (0..3 * CHUNK_ENTRIES).for_each(|number| {
        log.append(entry("t", &format!("k{number}"), 1));
    });
    let mut durable = VersionVector::default();
    durable.advance(Origin(1), 2 * CHUNK_ENTRIES as u64 - 1);
    assert_eq!(log.seal(&durable, usize::MAX).len(), 1);
    assert_eq!(log.counts(), EntryCounts { sealed: CHUNK_ENTRIES, unsealed: 2 * CHUNK_ENTRIES, tallies: 1 });
    let all = log.missing_at(&VersionVector::default(), &log.versions(), |_| true, usize::MAX);
    let keys: Vec<&str> = all[0].entries.iter().map(|entry| entry.instance_id.as_str()).collect();
    assert!(keys[..CHUNK_ENTRIES].iter().all(|key| key.starts_with('/')), "digests replace the keys of sealed entries");
    assert_eq!(keys[CHUNK_ENTRIES], format!("k{CHUNK_ENTRIES}"));
}

#[test]
fn an_inconsistent_packed_batch_changes_nothing() {
    let whole = packed(&TallyBatch { origin: Origin(4), start: 0, entries: vec![entry("t", "a", 1)] });
    let mut log = TallyLog::default();
    assert_eq!(log.apply_packed(&PackedBatch { tallies: Vec::new(), ..whole.clone() }), None);
    assert_eq!(log.entry_count(), 0);
    assert_eq!(log.apply_packed(&whole), Some(whole.clone()));
    assert_eq!(log.apply_packed(&whole), None, "no entry is new");
}
