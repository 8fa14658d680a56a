//! Merging of samples from several routers.

use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampledInterval};

use super::merge;

#[test]
fn samples_of_several_routers_are_merged_per_rollout() {
    let samples = |order: u64, is_candidate: bool, succeeded: u32| {
        let key = SampleKey { route: "r".into(), is_candidate, engine_hash: 7, zone: "a".into(), is_loaded: false };
        let intervals = vec![SampledInterval { running: 1, interval_us: succeeded, is_cold: false }];
        let counts = SampleCounts { succeeded, failed: 1, lost: 0, intervals };
        let elapsed_ms = 1000 + u64::from(succeeded);
        EngineSamples { service: "s".into(), order, elapsed_ms, list: vec![(key, counts)], is_relayed: true }
    };
    let merged = merge(vec![samples(1, true, 3), samples(1, true, 4), samples(1, false, 5), samples(2, true, 6)]);
    assert_eq!(merged.len(), 2);
    let list = &merged[0].list;
    let counts: Vec<_> = list.iter().map(|(key, one)| (key.is_candidate, one.succeeded, one.failed)).collect();
    assert_eq!(counts, [(false, 5, 1), (true, 7, 2)]);
    let intervals: Vec<_> = list[1].1.intervals.iter().map(|one| one.interval_us).collect();
    assert_eq!(intervals, [3, 4]);
    assert_eq!((merged[0].elapsed_ms, merged[1].order), (1005, 2), "the longest elapsed time is kept");
}
