//! The form of what is stored: a later version must read it.

use protocol::tally::{Origin, TallyBatch, TallyEntry};

use super::TallyRecord;

/// The bytes of a record in hexadecimal form, and the record.
type StoredForm = (&'static str, fn() -> TallyRecord);

/// Records as the first version that had tallies wrote them.
const STORED: [StoredForm; 3] = [
    ("0000000000000000080706050403020100000000000000000000000000000000", || TallyRecord::Origin(Origin(0x0102_0304_0506_0708))),
    ("356330653761323164393462333666387433ffffffffffff90000000e8ffffff0400000000000000010000000000000009000000000000000200000000000000d0ffffff01000000", batch),
    ("0200000000000000000000000000000000000000000000000000000000000000", || TallyRecord::CaughtUp),
];

fn batch() -> TallyRecord {
    let entry = TallyEntry { tally: "t3".into(), instance_id: "5c0e7a21d94b36f8".into(), amount: 4 };
    TallyRecord::Batch(TallyBatch { origin: Origin(9), start: 2, entries: vec![entry] })
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

#[test]
fn what_the_first_version_stored_is_read() {
    for (hex, record) in STORED {
        assert_eq!(TallyRecord::from_bytes(&from_hex(hex)), Some(record()), "{hex}");
    }
}

#[test]
fn bytes_that_are_no_record_are_refused() {
    assert_eq!(TallyRecord::from_bytes(&[]), None);
    assert_eq!(TallyRecord::from_bytes(&[0xff; 40]), None);
    let bytes = batch().to_bytes();
    assert_eq!(TallyRecord::from_bytes(&bytes[..bytes.len() - 8]), None, "cut short");
}
