//! The model fitted to the stable version's intervals, and which responses are slow by it.

use super::LoadModel;

/// Returns a model of an engine whose interval grows by 10 % of the base with each running request, with 5 % noise.
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
fn a_response_is_compared_with_others_at_the_same_load() {
    let model = model();
    assert_eq!(model.is_slow(1, 5500.0), Some(false));
    assert_eq!(model.is_slow(1, 5500.0 * 1.4), Some(true));
    assert_eq!(model.is_slow(11, 10_500.0), Some(false), "as slow as predicted at this load");
    assert_eq!(model.is_slow(11, 10_500.0 * 1.4), Some(true));
    assert_eq!(model.is_slow(30, 20_000.0), Some(false), "a load beyond the samples");
}

#[test]
fn the_model_predicts_nothing_from_too_few_samples() {
    let mut model = LoadModel::default();
    for _ in 0..60 {
        assert_eq!(model.is_slow(1, 1e9), None);
        model.record(0, 1, 5000.0);
    }
}

/// Returns a model of ten engines, of which `slow` become eight times as slow.
fn model_with_slow_engines(slow: u64) -> LoadModel {
    let mut model = LoadModel::default();
    for step in 0..600_u32 {
        let engine = u64::from(step * 7 % 10) + 1;
        let (running, slowdown) = (step % 5, if engine <= slow && step > 200 { 8.0 } else { 1.0 });
        let noise = 1.0 + (f64::from(step * 7 % 11) / 5.0 - 1.0) * 0.05;
        model.record(engine, running, 5000.0 * (1.0 + 0.1 * f64::from(running)) * noise * slowdown);
    }
    model
}

#[test]
fn slow_engines_do_not_distort_the_fit() {
    for slow in [0, 1, 3] {
        let model = model_with_slow_engines(slow);
        assert_eq!(model.is_slow(1, 5500.0), Some(false), "{slow}");
        assert_eq!(model.is_slow(1, 5500.0 * 1.5), Some(true), "{slow} of ten engines are slow");
    }
}

#[test]
fn a_slowdown_of_all_engines_becomes_the_new_prediction() {
    let model = model_with_slow_engines(10);
    assert_eq!(model.is_slow(1, 5500.0 * 8.0), Some(false));
}

#[test]
fn slow_samples_of_the_unknown_engine_do_not_distort_the_fit() {
    let mut model = LoadModel::default();
    for step in 0..600_u32 {
        let (engine, slowdown) = if step % 2 == 0 { (u64::from(step % 7) + 1, 1.0) } else { (0, 8.0) };
        model.record(engine, step % 5, 5000.0 * (1.0 + 0.1 * f64::from(step % 5)) * slowdown);
    }
    assert_eq!(model.is_slow(1, 5500.0), Some(false));
    assert_eq!(model.is_slow(1, 5500.0 * 1.5), Some(true));
}
