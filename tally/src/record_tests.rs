//! The stored format of records, which later versions must read.

use std::sync::Arc;

use protocol::tally::{KeyDigest, Origin, PackedAmounts, PackedBatch, TallyBatch, TallyEntry};

use super::TallyRecord;

/// The stored bytes of a record in hexadecimal, and a function that returns the record.
type StoredForm = (&'static str, fn() -> TallyRecord);

/// Records as written by the first version with tallies.
const STORED: [StoredForm; 3] = [
    ("0000000000000000080706050403020100000000000000000000000000000000", || TallyRecord::Origin(Origin(0x0102_0304_0506_0708))),
    ("356330653761323164393462333666387433ffffffffffff90000000e8ffffff0400000000000000010000000000000009000000000000000200000000000000d0ffffff01000000", batch),
    ("0200000000000000000000000000000000000000000000000000000000000000", || TallyRecord::CaughtUp),
];

fn batch() -> TallyRecord {
    let entry = TallyEntry { tally: "t3".into(), instance_id: "5c0e7a21d94b36f8".into(), amount: 4 };
    TallyRecord::Batch(TallyBatch { origin: Origin(9), start: 2, entries: vec![entry] })
}

/// Records as written by the first version with packed entries.
const STORED_PACKED: [StoredForm; 2] =
    [("7433ffffffffffff00000707070707070707070707070707070700000400000009000000000000000200000000000000d0ffffff01000000d0ffffff01000000caffffff0100000000000000d0ffffff010000000000000003000000c4ffffff000000000000000000000000000000000000000000000000", || TallyRecord::Packed(Box::new(packed_batch()))), ("7433ffffffffffff00000707070707070707070707070707070700000400000009000000000000000200000000000000d0ffffff01000000d0ffffff01000000caffffff0100000000000000d0ffffff010000000000000004000000c4ffffff000000000000000000000000000000000000000000000000", || TallyRecord::Sealed(Arc::new(packed_batch())))];

fn packed_batch() -> PackedBatch {
    PackedBatch {
        origin: Origin(9),
        start: 2,
        tallies: vec!["t3".into()],
        tally_of: vec![0],
        digests: vec![KeyDigest([7; 16])],
        amounts: PackedAmounts::Narrow(vec![4]),
    }
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|offset| u8::from_str_radix(&text[offset..offset + 2], 16).expect("hexadecimal digits"))
        .collect()
}

#[test]
fn records_of_the_first_version_are_read() {
    for (hex, record) in STORED {
        assert_eq!(TallyRecord::from_bytes(&from_hex(hex)), Some(record()), "{hex}");
    }
}

#[test]
fn records_of_the_first_version_with_packed_entries_are_read() {
    for (hex, record) in STORED_PACKED {
        assert_eq!(
            TallyRecord::from_bytes(&from_hex(hex)),
            Some(record()),
            "{hex}, now written as {}",
            to_hex(&record().to_bytes())
        );
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn invalid_bytes_are_rejected() {
    assert_eq!(TallyRecord::from_bytes(&[]), None);
    assert_eq!(TallyRecord::from_bytes(&[0xff; 40]), None);
    let bytes = batch().to_bytes();
    assert_eq!(TallyRecord::from_bytes(&bytes[..bytes.len() - 8]), None, "truncated bytes");
}
