use std::fs;
use std::path::{Path, PathBuf};

use super::{decode_body, decode_header, encode, FrameError, Kind, HEADER_BYTES, NEWEST_VERSION};
use crate::message;

fn sample() -> message::Message {
    message::Message::OwnerQuery(Box::new((3, vec![1, 2, 3])))
}

fn split_header(frame: &[u8]) -> ([u8; HEADER_BYTES], &[u8]) {
    let mut header = [0; HEADER_BYTES];
    header.copy_from_slice(&frame[..HEADER_BYTES]);
    (header, &frame[HEADER_BYTES..])
}

#[test]
fn an_encoded_frame_decodes_to_its_header_and_message() {
    let frame = encode(Kind::Request, 9, &sample()).expect("encoded");
    let (header, body) = split_header(&frame);
    let decoded = decode_header(&header).expect("a valid header");
    assert_eq!((decoded.kind, decoded.id, decoded.len), (Kind::Request, 9, body.len()));
    assert_eq!(decode_body(body).expect("a valid body"), sample());
}

#[test]
fn each_kind_of_invalid_frame_has_its_own_error() {
    let frame = encode(Kind::Notification, 0, &sample()).expect("encoded");
    let (good, body) = split_header(&frame);
    let mut corrupt = good;
    corrupt[0] ^= 1;
    assert_eq!(decode_header(&corrupt), Err(FrameError::InvalidMagic));
    let mut new = good;
    new[4..6].copy_from_slice(&(NEWEST_VERSION + 1).to_le_bytes());
    assert_eq!(decode_header(&new), Err(FrameError::UnsupportedVersion(NEWEST_VERSION + 1)));
    let mut long = good;
    long[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(decode_header(&long), Err(FrameError::TooLong(u32::MAX as usize)));
    assert_eq!(decode_body(&body[..body.len() - 1]), Err(FrameError::InvalidBody));
    for offset in 0..body.len() {
        let mut corrupted = body.to_vec();
        corrupted[offset] ^= 0xff;
        // Either another valid message or an error; never a panic.
        let _ = decode_body(&corrupted);
    }
}

/// One message of each kind that version 1 sent.
fn version_1_messages() -> Vec<message::Message> {
    use crate::message::{
        ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, EndpointList, Engine, Entry, Member,
        Message, ProposalNumber, StateUpdate,
    };
    let proposal_number = ProposalNumber { term: 3, replica_id: 9 };
    let membership = CoreMembership {
        version: 2,
        members: vec![Member { ip: "10.0.0.1".into(), zone: "a".into() }],
        previous_members: vec![],
        stable: true,
    };
    let entry = Entry { proposal_number, index: 4, body: b"body".to_vec() };
    let engine = Engine {
        id: "i-1".into(),
        service: "s".into(),
        addr: "10.1.1.1:80".into(),
        zone: "a".into(),
        phase: "decode".into(),
        model: "m".into(),
        slots: 64,
        up: true,
        cold_ms: 5,
    };
    let list = EndpointList { zone: "a".into(), term: 1, sequence: 2, engines: vec![engine] };
    vec![
        Message::ConsensusRequest(Box::new(ConsensusRequest {
            membership,
            operation: ConsensusOperation::Accept { key: "k".into(), entry: entry.clone() },
        })),
        Message::ConsensusResponse(Box::new(ConsensusResponse::Prepared { entry: Some(entry.clone()) })),
        Message::EndpointList(Box::new(list.clone())),
        Message::StateUpdate(Box::new(StateUpdate {
            confirmed: true,
            config: Some((7, b"{}".to_vec())),
            endpoint_lists: vec![list],
            ..StateUpdate::default()
        })),
        Message::OwnerQuery(Box::new((1, vec![5, 6]))),
        Message::Committed(Box::new(("k".into(), entry))),
        Message::SuspectEngine(Box::new(("i-1".into(), true))),
    ]
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-1.bin")
}

/// Version 1 wrote the fixture once; later versions must still decode it.
#[test]
#[ignore = "writes the fixture of this version"]
fn write_fixture() {
    let all: Vec<u8> =
        version_1_messages().iter().flat_map(|msg| encode(Kind::Notification, 1, msg).expect("encoded")).collect();
    fs::write(fixture(), all).expect("written");
}

#[test]
fn messages_of_version_1_are_still_decoded() {
    let bytes = fs::read(fixture()).expect("the fixture is readable");
    let mut rest = bytes.as_slice();
    let mut decoded = Vec::new();
    while !rest.is_empty() {
        let (header, body) = split_header(rest);
        let header = decode_header(&header).expect("a valid header");
        assert_eq!(header.version, 1);
        decoded.push(decode_body(&body[..header.len]).expect("a valid body"));
        rest = &body[header.len..];
    }
    assert_eq!(decoded, version_1_messages());
}
