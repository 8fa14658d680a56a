//! Tests of relative request sizes and load factors.

use super::OutputSizes;

#[test]
fn without_recorded_requests_all_sizes_are_equal() {
    let sizes = OutputSizes::default();
    assert_eq!([sizes.relative_size(0), sizes.relative_size(5000), sizes.load_factor()], [1.0; 3]);
}

#[test]
fn requests_of_equal_size_have_a_load_factor_of_one() {
    let mut sizes = OutputSizes::default();
    (0..300).for_each(|_| sizes.record(40));
    assert!((sizes.relative_size(40) - 1.0).abs() < 1e-9 && (sizes.load_factor() - 1.0).abs() < 1e-9);
}

#[test]
fn mixed_sizes_raise_the_load_factor() {
    let mut sizes = OutputSizes::default();
    (0..2000).for_each(|step| sizes.record(if step % 2 == 0 { 10 } else { 90 }));
    // The mean is 50, the mean square (100 + 8100) / 2 = 4100.
    assert!((sizes.load_factor() - 1.64).abs() < 0.05, "{}", sizes.load_factor());
    assert!((sizes.relative_size(90) - 1.8).abs() < 0.1);
}
