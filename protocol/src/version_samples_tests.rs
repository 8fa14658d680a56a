//! Conversion of samples to and from daemons before version 7.

use super::{EngineSamples, SampleCounts, SampleKey, SampledInterval};

fn key(engine_hash: u64, is_candidate: bool) -> SampleKey {
    SampleKey { route: "r".into(), is_candidate, engine_hash, zone: "a".into(), is_loaded: true }
}

fn counts(succeeded: u32) -> SampleCounts {
    let intervals = vec![SampledInterval { running: 3, interval_us: 7000, is_cold: false }];
    SampleCounts { succeeded, failed: 1, lost: 2, intervals }
}

#[test]
fn samples_for_older_daemons_are_counts_by_route_and_version() {
    let samples = EngineSamples {
        service: "s".into(),
        order: 4,
        elapsed_ms: 2500,
        list: vec![(key(9, true), counts(5)), (key(0, false), counts(6))],
        is_relayed: true,
    };
    let legacy = samples.to_legacy();
    assert_eq!((legacy.service.as_str(), legacy.order, legacy.is_relayed), ("s", 4, true));
    let found: Vec<_> =
        legacy.list.iter().map(|samples| (samples.is_candidate, samples.good, samples.failed)).collect();
    assert_eq!(found, [(true, 5, 3), (false, 6, 3)]);
    assert_eq!(legacy.list[0].paces, [(7000, 1)]);
    let back = EngineSamples::from_legacy(&legacy);
    let found: Vec<_> = back.list.iter().map(|(key, counts)| (key.is_candidate, counts.succeeded)).collect();
    assert_eq!(found, [(true, 5), (false, 6)]);
    assert!(back.list.iter().all(|(key, counts)| key.engine_hash == 0 && counts.intervals.is_empty()));
}

#[test]
fn add_keeps_at_most_max_intervals() {
    let mut sum = counts(1);
    (0..9).for_each(|_| sum.add(counts(2), 4));
    assert_eq!((sum.succeeded, sum.failed, sum.lost, sum.intervals.len()), (19, 10, 20, 4));
}
