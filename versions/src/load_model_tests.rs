//! The line through the stable version's intervals, and what lies above it.

use super::LoadModel;

/// Returns a model of an engine whose interval grows by a tenth of its least with each request, with a noise of a twentieth.
fn model() -> LoadModel {
    let mut model = LoadModel::default();
    for step in 0..400_u32 {
        let running = step % 12;
        let noise = 1.0 + (f64::from(step * 7 % 11) / 5.0 - 1.0) * 0.05;
        model.record(0, running, 5000.0 * (1.0 + 0.1 * f64::from(running)) * noise);
    }
    model
}

#[test]
fn a_response_is_compared_with_others_at_its_load() {
    let model = model();
    assert_eq!(model.is_slow(1, 5500.0), Some(false));
    assert_eq!(model.is_slow(1, 5500.0 * 1.4), Some(true));
    assert_eq!(model.is_slow(11, 10_500.0), Some(false), "as slow as such a batch is");
    assert_eq!(model.is_slow(11, 10_500.0 * 1.4), Some(true));
    assert_eq!(model.is_slow(30, 20_000.0), Some(false), "beyond what was seen");
}

#[test]
fn too_few_samples_say_nothing() {
    let mut model = LoadModel::default();
    for _ in 0..60 {
        assert_eq!(model.is_slow(1, 1e9), None);
        model.record(0, 1, 5000.0);
    }
}

/// Returns a model of ten engines of which `slow` are eight times as slow by themselves.
fn model_beside_slow_engines(slow: u64) -> LoadModel {
    let mut model = LoadModel::default();
    for step in 0..600_u32 {
        let engine = u64::from(step * 7 % 10) + 1;
        let (running, slowness) = (step % 5, if engine <= slow && step > 200 { 8.0 } else { 1.0 });
        let noise = 1.0 + (f64::from(step * 7 % 11) / 5.0 - 1.0) * 0.05;
        model.record(engine, running, 5000.0 * (1.0 + 0.1 * f64::from(running)) * noise * slowness);
    }
    model
}

#[test]
fn engines_that_are_slow_by_themselves_do_not_bend_the_line() {
    for slow in [0, 1, 3] {
        let model = model_beside_slow_engines(slow);
        assert_eq!(model.is_slow(1, 5500.0), Some(false), "{slow}");
        assert_eq!(model.is_slow(1, 5500.0 * 1.5), Some(true), "{slow} of ten engines are slow");
    }
}

#[test]
fn when_all_engines_become_slower_that_is_how_fast_they_are() {
    let model = model_beside_slow_engines(10);
    assert_eq!(model.is_slow(1, 5500.0 * 8.0), Some(false));
}

#[test]
fn slow_engines_that_are_not_told_apart_do_not_bend_the_line_either() {
    let mut model = LoadModel::default();
    for step in 0..600_u32 {
        let (engine, slowness) = if step % 2 == 0 { (u64::from(step % 7) + 1, 1.0) } else { (0, 8.0) };
        model.record(engine, step % 5, 5000.0 * (1.0 + 0.1 * f64::from(step % 5)) * slowness);
    }
    assert_eq!(model.is_slow(1, 5500.0), Some(false));
    assert_eq!(model.is_slow(1, 5500.0 * 1.5), Some(true));
}
