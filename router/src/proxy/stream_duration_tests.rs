//! How long streams are expected to take.

use super::{StreamDuration, StreamTimes};

fn times(head_ms: u64, max_output_tokens: u32) -> StreamTimes {
    StreamTimes { head_ms, body_ms: u64::from(max_output_tokens) * 10, max_output_tokens }
}

#[test]
fn a_stream_of_more_tokens_is_expected_to_take_longer() {
    let duration = StreamDuration::default();
    assert_eq!(duration.expected_ms(10), None);
    (0..200).for_each(|step| duration.record(times(100, 20 + step % 80)));
    assert_eq!(duration.expected_ms(0), Some(250));
    assert_eq!(duration.expected_ms(100), Some(1250));
}

#[test]
fn a_few_streams_that_took_long_do_not_raise_the_estimate_for_all() {
    let duration = StreamDuration::default();
    for step in 0..1000 {
        duration.record(times(if step % 10 == 0 { 1000 } else { 100 }, 20));
    }
    let expected = duration.expected_ms(0).expect("recorded");
    assert!((300..700).contains(&expected), "{expected}");
}
