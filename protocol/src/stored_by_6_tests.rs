//! The wire encoding of the messages that version 6 added, which later versions must still decode to the same values.

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
        .map(|message| frame::encode(Kind::Notification, 0, message).expect("encoded"))
        .collect::<Vec<_>>();
    fs::write(fixture(), frames.concat()).expect("written");
}

fn read_fixture() -> Vec<Message> {
    let bytes = fs::read(fixture()).expect("the fixture is readable");
    let mut rest = bytes.as_slice();
    let mut decoded = Vec::new();
    while let Some((header, body)) = rest.split_first_chunk::<HEADER_BYTES>() {
        let (body, remaining) = body.split_at(frame::decode_header(header).expect("a header").len);
        decoded.push(frame::decode_body(body).expect("a body"));
        rest = remaining;
    }
    assert!(rest.is_empty(), "{} bytes after the last frame", rest.len());
    decoded
}

/// The engines are compared unpacked, since another packing of the same engines is equally valid.
#[test]
fn endpoint_updates_of_version_6_decode_to_the_original_values() {
    let decoded = read_fixture();
    let [Message::EndpointUpdate(whole), Message::EndpointUpdate(delta), _] = decoded.as_slice() else {
        panic!("{decoded:?}")
    };
    assert_eq!((whole.zone.as_str(), whole.base), ("zone-a", None));
    assert_eq!(whole.version, ListVersion { term: 70, sequence: 4 });
    assert_eq!(whole.unpack().expect("unpacked").changed, old_list().engines);
    assert_eq!(delta.base, Some(ListVersion { term: 70, sequence: 4 }));
    assert_eq!(delta.version, ListVersion { term: 70, sequence: 5 });
    let engines = delta.unpack().expect("unpacked");
    let changed: Vec<Engine> = vec![engine("i-1", "prefill", false, 0), engine("i-4", "", true, 3000)];
    assert_eq!((engines.changed, engines.removed), (changed, vec!["i-3".to_string()]));
}

#[test]
fn engine_usage_of_version_6_encodes_to_and_decodes_from_the_same_bytes() {
    let expected = messages().pop().expect("the last message");
    assert_eq!(read_fixture().pop(), Some(expected.clone()));
    let bytes = fs::read(fixture()).expect("the fixture is readable");
    assert!(bytes.ends_with(&frame::encode(Kind::Notification, 0, &expected).expect("encoded")));
}
