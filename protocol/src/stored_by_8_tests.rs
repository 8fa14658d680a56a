//! The wire encoding of the messages that version 8 added, which later versions must still decode to the same values.

use std::fs;
use std::path::{Path, PathBuf};

use crate::message::Message;
use crate::metering::{MeteringQuery, MeteringRequest, MeteringTables, RouterCounts, TenantCount, WindowCounts};
use crate::tally::{Origin, OriginVersion, TallyBatch, TallyEntry, TallySync, TallySynced};
use crate::testing::stored_frames::{assert_encoding, encode_frames};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-8.bin")
}

/// Every message that version 8 added.
pub(crate) fn messages() -> Vec<Message> {
    let entry = TallyEntry { tally: "t3".into(), instance_id: "5c0e7a21d94b36f8".into(), amount: (1 << 53) - 1 };
    let durable =
        vec![OriginVersion { origin: Origin(u64::MAX), length: 7 }, OriginVersion { origin: Origin(1), length: 0 }];
    let sync = TallySync {
        ip: "10.0.0.1".into(),
        durable: durable.clone(),
        caught_up: true,
        batches: vec![TallyBatch { origin: Origin(u64::MAX), start: 6, entries: vec![entry] }],
    };
    let tenants = vec![TenantCount { tenant: "nowu640".into(), count: 412 }];
    let counts = RouterCounts { router: u64::MAX, windows: vec![WindowCounts { window: 353_445_120, tenants }] };
    vec![
        Message::TallySync(Box::new(sync)),
        Message::TallySynced(Box::new(TallySynced { is_replica: true, caught_up: false, durable })),
        Message::MeteringRequest(Box::new(MeteringRequest { controller: "10.0.0.1".into(), incarnation: 3 })),
        Message::MeteringReport(Box::new(counts.clone())),
        Message::MeteringQuery(Box::new(MeteringQuery { windows: vec![353_445_120] })),
        Message::MeteringTables(Box::new(MeteringTables { is_complete: true, routers: vec![counts] })),
    ]
}

#[test]
#[ignore = "writes the fixture of version 8"]
fn write_fixture() {
    fs::write(fixture(), encode_frames(&messages())).expect("written");
}

#[test]
fn messages_of_version_8_encode_to_and_decode_from_the_same_bytes() {
    assert_encoding(&fs::read(fixture()).expect("the fixture is readable"), messages());
}
