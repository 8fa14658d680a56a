//! The wire encoding of the messages that version 7 added, which later versions must still decode to the same values.

use std::fs;
use std::path::{Path, PathBuf};

use crate::message::Message;
use crate::testing::stored_frames::{assert_encoding, encode_frames};
use crate::version_samples::{EngineSamples, SampleCounts, SampleKey, SampleRequest, SampledInterval};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-7.bin")
}

/// Every message that version 7 added.
pub(crate) fn messages() -> Vec<Message> {
    let key = SampleKey {
        route: "r-1".into(),
        is_candidate: true,
        engine_hash: u64::MAX,
        zone: "zone-a".into(),
        is_loaded: true,
    };
    let intervals = vec![SampledInterval { running: 12, interval_us: 52_000, is_cold: true }];
    let counts = SampleCounts { succeeded: 3, failed: 1, lost: 2, intervals };
    let samples = EngineSamples {
        service: "chat".into(),
        order: 4,
        elapsed_ms: 2500,
        list: vec![(key, counts)],
        is_relayed: true,
    };
    vec![
        Message::SampleRequest(Box::new(SampleRequest { controller: "10.0.0.1".into() })),
        Message::EngineSamples(Box::new(samples)),
    ]
}

#[test]
#[ignore = "writes the fixture of version 7"]
fn write_fixture() {
    fs::write(fixture(), encode_frames(&messages())).expect("written");
}

#[test]
fn messages_of_version_7_encode_to_and_decode_from_the_same_bytes() {
    assert_encoding(&fs::read(fixture()).expect("the fixture is readable"), messages());
}
