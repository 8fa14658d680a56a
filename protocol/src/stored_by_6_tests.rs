//! The messages that version 6 added, as they stand on the wire: later versions must read them as they were meant.

use std::fs;
use std::path::{Path, PathBuf};

use crate::frame::{self, Kind, HEADER_BYTES};
use crate::message::{
    EndpointList, EndpointUpdate, Engine, EngineUsage, ListVersion, Message, PhaseUsage, SampledUsage,
};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-6.bin")
}

fn engine(id: &str, phase: &str, up: bool, cold_ms: u32) -> Engine {
    Engine {
        id: id.into(),
        service: "chat".into(),
        addr: "10.1.2.3:8080".into(),
        zone: "zone-a".into(),
        phase: phase.into(),
        model: "m-1".into(),
        slots: 16,
        up,
        cold_ms,
    }
}

fn list(sequence: u64, engines: Vec<Engine>) -> EndpointList {
    EndpointList { zone: "zone-a".into(), term: 70, sequence, engines }
}

fn old_list() -> EndpointList {
    list(
        4,
        vec![engine("i-1", "prefill", true, 0), engine("i-2", "decode", true, 900), engine("i-3", "decode", true, 0)],
    )
}

fn new_list() -> EndpointList {
    list(5, vec![engine("i-1", "prefill", false, 0), engine("i-2", "decode", true, 100), engine("i-4", "", true, 3000)])
}

/// Every message that version 6 added.
pub(crate) fn messages() -> Vec<Message> {
    let usage = EngineUsage {
        ip: "10.0.0.1".into(),
        totals: vec![PhaseUsage { service: "chat".into(), prefill: true, in_flight: 12 }],
        sampled: vec![SampledUsage { engine_hash: u64::MAX, in_flight: 7 }],
    };
    vec![
        Message::EndpointUpdate(Box::new(EndpointUpdate::whole(&old_list()))),
        Message::EndpointUpdate(Box::new(EndpointUpdate::between(&old_list(), &new_list()))),
        Message::EngineUsage(Box::new(usage)),
    ]
}

#[test]
#[ignore = "writes the fixture of version 6"]
fn write_fixture() {
    let frames = messages()
        .iter()
        .map(|message| frame::encode(Kind::Notification, 0, message).expect("sealed"))
        .collect::<Vec<_>>();
    fs::write(fixture(), frames.concat()).expect("written");
}

fn read_fixture() -> Vec<Message> {
    let bytes = fs::read(fixture()).expect("the fixture");
    let mut rest = bytes.as_slice();
    let mut found = Vec::new();
    while let Some((head, body)) = rest.split_first_chunk::<HEADER_BYTES>() {
        let (body, behind) = body.split_at(frame::decode_header(head).expect("a head").len);
        found.push(frame::decode_body(body).expect("a body"));
        rest = behind;
    }
    assert!(rest.is_empty(), "{} bytes behind the last frame", rest.len());
    found
}

/// The engines are packed: another packing of the same engines would be as good, so they are compared unpacked.
#[test]
fn updates_of_lists_of_version_6_are_read_as_they_were_meant() {
    let found = read_fixture();
    let [Message::EndpointUpdate(whole), Message::EndpointUpdate(change), _] = found.as_slice() else {
        panic!("{found:?}")
    };
    assert_eq!((whole.zone.as_str(), whole.base), ("zone-a", None));
    assert_eq!(whole.version, ListVersion { term: 70, sequence: 4 });
    assert_eq!(whole.unpack().expect("readable").changed, old_list().engines);
    assert_eq!(change.base, Some(ListVersion { term: 70, sequence: 4 }));
    assert_eq!(change.version, ListVersion { term: 70, sequence: 5 });
    let engines = change.unpack().expect("readable");
    let changed: Vec<Engine> = vec![engine("i-1", "prefill", false, 0), engine("i-4", "", true, 3000)];
    assert_eq!((engines.changed, engines.removed), (changed, vec!["i-3".to_string()]));
}

#[test]
fn reports_of_usage_of_version_6_are_read_and_written_to_the_byte() {
    let expected = messages().pop().expect("the last message");
    assert_eq!(read_fixture().pop(), Some(expected.clone()));
    let bytes = fs::read(fixture()).expect("the fixture");
    assert!(bytes.ends_with(&frame::encode(Kind::Notification, 0, &expected).expect("sealed")));
}
