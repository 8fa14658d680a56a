//! Tests the expected duration of streams.

use super::{StreamDuration, StreamTimes};

fn times(head_ms: u64, max_output_tokens: u32) -> StreamTimes {
    StreamTimes { head_ms, body_ms: u64::from(max_output_tokens) * 10, max_output_tokens }
}

#[test]
fn expected_duration_grows_with_the_number_of_output_tokens() {
    let duration = StreamDuration::default();
    assert_eq!(duration.expected_ms(10), None);
    (0..200).for_each(|number| duration.record(times(100, 20 + number % 80)));
    assert_eq!(duration.expected_ms(0), Some(250));
    assert_eq!(duration.expected_ms(100), Some(1250));
}

#[test]
fn occasional_slow_streams_do_not_dominate_the_estimate() {
    let duration = StreamDuration::default();
    for number in 0..1000 {
        duration.record(times(if number % 10 == 0 { 1000 } else { 100 }, 20));
    }
    let expected = duration.expected_ms(0).expect("an estimate after recorded streams");
    assert!((300..700).contains(&expected), "{expected}");
}
