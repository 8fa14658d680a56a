//! The wire encoding of the message that version 9 added, which later versions must still decode to the same value.

use std::fs;
use std::path::{Path, PathBuf};

use crate::message::Message;
use crate::tally::{KeyDigest, Origin, OriginVersion, PackedAmounts, PackedBatch, PackedTallySync, TallySync};
use crate::testing::stored_frames::{assert_encoding, encode_frames};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-9.bin")
}

/// The message that version 9 added, with amounts in both forms.
pub(crate) fn messages() -> Vec<Message> {
    let sync = TallySync {
        ip: "10.0.0.1".into(),
        durable: vec![OriginVersion { origin: Origin(u64::MAX), length: 7 }],
        caught_up: true,
        batches: Vec::new(),
    };
    let narrow = PackedBatch {
        origin: Origin(u64::MAX),
        start: 5,
        tallies: vec!["t3".into(), "t1".into()],
        tally_of: vec![0, 1, 0],
        digests: vec![KeyDigest([1; 16]), KeyDigest([2; 16]), KeyDigest([0xff; 16])],
        amounts: PackedAmounts::Narrow(vec![4, 0, u32::MAX]),
    };
    let wide = PackedBatch {
        origin: Origin(1),
        start: 0,
        tallies: vec!["t3".into()],
        tally_of: vec![0],
        digests: vec![KeyDigest([9; 16])],
        amounts: PackedAmounts::Wide(vec![(1 << 53) - 1]),
    };
    vec![Message::PackedTallySync(Box::new(PackedTallySync { sync, packed: vec![narrow, wide] }))]
}

#[test]
#[ignore = "writes the fixture of version 9"]
fn write_fixture() {
    fs::write(fixture(), encode_frames(&messages())).expect("written");
}

#[test]
fn messages_of_version_9_encode_to_and_decode_from_the_same_bytes() {
    assert_encoding(&fs::read(fixture()).expect("the fixture is readable"), messages());
}
