use std::fs;
use std::path::{Path, PathBuf};

use super::{head, open, seal, Flaw, Kind, HEAD, NEWEST};
use crate::msg;

fn sample() -> msg::Msg {
    msg::Msg::Query(Box::new((3, vec![1, 2, 3])))
}

fn split(frame: &[u8]) -> ([u8; HEAD], &[u8]) {
    let mut head = [0; HEAD];
    head.copy_from_slice(&frame[..super::HEAD]);
    (head, &frame[HEAD..])
}

#[test]
fn a_frame_comes_back_as_it_was() {
    let frame = seal(Kind::Ask, 9, &sample()).expect("sealed");
    let (head, body) = split(&frame);
    let read = super::head(&head).expect("head");
    assert_eq!((read.kind, read.id, read.len), (Kind::Ask, 9, body.len()));
    assert_eq!(open(body).expect("body"), sample());
}

#[test]
fn flaws_are_told_apart() {
    let frame = seal(Kind::Cast, 0, &sample()).expect("sealed");
    let (good, body) = split(&frame);
    let mut bad = good;
    bad[0] ^= 1;
    assert_eq!(head(&bad), Err(Flaw::Mark));
    let mut new = good;
    new[4..6].copy_from_slice(&(NEWEST + 1).to_le_bytes());
    assert_eq!(head(&new), Err(Flaw::Stamp(NEWEST + 1)));
    let mut long = good;
    long[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(head(&long), Err(Flaw::Long(u32::MAX as usize)));
    assert_eq!(open(&body[..body.len() - 1]), Err(Flaw::Body));
    for at in 0..body.len() {
        let mut torn = body.to_vec();
        torn[at] ^= 0xff;
        // Either another valid message or an error; never a panic.
        let _ = open(&torn);
    }
}

/// One message of each kind that version 1 sent, as it stood on the wire.
fn first_version() -> Vec<msg::Msg> {
    use crate::msg::{Ask, Ballot, Core, Engine, Entry, Member, Msg, News, Poll, Sheet, Vote};
    let ballot = Ballot { turn: 3, seat: 9 };
    let core = Core {
        version: 2,
        list: vec![Member { ip: "10.0.0.1".into(), zone: "a".into() }],
        prev: vec![],
        settled: true,
    };
    let entry = Entry { ballot, step: 4, body: b"body".to_vec() };
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
    let sheet = Sheet { zone: "a".into(), turn: 1, count: 2, list: vec![engine] };
    vec![
        Msg::Poll(Box::new(Poll { core: core.clone(), ask: Ask::Accept { key: "k".into(), entry: entry.clone() } })),
        Msg::Vote(Box::new(Vote::Promise { entry: Some(entry.clone()) })),
        Msg::Sheet(Box::new(sheet.clone())),
        Msg::News(Box::new(News {
            sure: true,
            config: Some((7, b"{}".to_vec())),
            sheets: vec![sheet],
            ..News::default()
        })),
        Msg::Query(Box::new((1, vec![5, 6]))),
        Msg::Learn(Box::new(("k".into(), entry))),
        Msg::Doubt(Box::new(("i-1".into(), true))),
    ]
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/messages-1.bin")
}

/// Written once by version 1; later versions must still read it.
#[test]
#[ignore = "writes the fixture of this version"]
fn write_fixture() {
    let all: Vec<u8> = first_version().iter().flat_map(|msg| seal(Kind::Cast, 1, msg).expect("sealed")).collect();
    fs::write(fixture(), all).expect("written");
}

#[test]
fn messages_of_the_first_version_are_still_read() {
    let bytes = fs::read(fixture()).expect("the fixture");
    let mut rest = bytes.as_slice();
    let mut seen = Vec::new();
    while !rest.is_empty() {
        let (head, body) = split(rest);
        let head = super::head(&head).expect("head");
        assert_eq!(head.version, 1);
        seen.push(open(&body[..head.len]).expect("body"));
        rest = &body[head.len..];
    }
    assert_eq!(seen, first_version());
}
