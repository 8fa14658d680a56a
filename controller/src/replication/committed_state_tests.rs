//! What is learned of committed entries: a configuration and its history are one value, and what cannot be read is not
//! known.

use kernel::hashing;
use std::sync::Arc;

use consensus::{Confirmation, MEMBERSHIP_KEY};
use kernel::Rng;
use protocol::config_update::ConfigUpdate;
use protocol::frame::{self, HEADER_BYTES};
use protocol::message::{
    CoreMembership, Entry, KeyPosition, Member, Message, ProposalNumber, PROTOCOL_VERSION, STALENESS_LIMIT_PREFIX,
};

use super::{
    read_config, CommittedState, EvacuationRecord, Learned, Unreadable, CONFIG_KEY, EVACUATION_PREFIX, ROLE_PREFIX,
};
use crate::config::body::{BodyFormat, StoredConfig};
use crate::config::history::RevisionNotNewer;

fn text(revision: u64, timeout: u64) -> String {
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": [{"name": "r",
        "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": timeout, "service": "s"}]})
    .to_string()
}

fn held(revision: u64, text: String) -> StoredConfig {
    StoredConfig { revision, text, ..StoredConfig::default() }
}

fn body(revision: u64) -> Vec<u8> {
    held(revision, text(revision, 5)).encode(BodyFormat::Digested)
}

fn entry(term: u64, step: u64, body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term, replica_id: 1 }, index: step, body }
}

fn place(state: &CommittedState, key: &str) -> Option<(u64, u64)> {
    state.entries.get(key).map(|entry| (entry.proposal_number.term, entry.index))
}

/// What the state says of the configuration, which must be one thing: entry, text, value and frames.
fn in_force(state: &mut CommittedState) -> u64 {
    let revision = state.history.revision();
    let body = state.entries.get(CONFIG_KEY).map_or(Vec::new(), |entry| entry.body.clone());
    let held = StoredConfig::decode(&body).expect("only what is read is known");
    assert_eq!(held.revision, revision);
    if let Some(current) = state.history.current() {
        assert_eq!((current.text(), current.revision()), (held.text.as_str(), revision));
    }
    let mut has = 0;
    let mut last = 0;
    assert!(state.history.send_missing(PROTOCOL_VERSION, &mut has, |frame| {
        let Ok(Message::TenantConfigUpdate(packed)) = frame::decode_body(&frame[HEADER_BYTES..]) else {
            return false;
        };
        last = ConfigUpdate::decode(&packed).expect("a change").to;
        true
    }));
    assert_eq!((has, last), (revision, revision), "routers get what the entry holds");
    revision
}

#[test]
fn what_is_committed_is_known_by_its_place() {
    let mut state = CommittedState::default();
    assert_eq!(state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None), Learned::New { revision: 3 });
    assert_eq!(state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None), Learned::AlreadyKnown);
    assert_eq!(
        state.learn(CONFIG_KEY, &entry(2, 0, body(3)), None),
        Learned::Recommitted,
        "committed again by a new owner"
    );
    assert_eq!(
        state.learn(CONFIG_KEY, &entry(1, 9, body(4)), None),
        Learned::AlreadyKnown,
        "late, from an owner before"
    );
    assert_eq!(in_force(&mut state), 3);
    assert_eq!(state.learn(CONFIG_KEY, &entry(2, 1, body(8)), None), Learned::New { revision: 8 });
    assert_eq!((in_force(&mut state), place(&state, CONFIG_KEY), state.highest_term), (8, Some((2, 1)), 2));
}

/// The same configuration in another form: the entry moves on, the configuration in force is the same.
#[test]
fn a_body_in_another_form_leads_nowhere_else() {
    let mut state = CommittedState::default();
    for (term, form) in [(1, BodyFormat::Plain), (2, BodyFormat::Compressed), (3, BodyFormat::Digested)] {
        let body = held(3, text(3, 5)).encode(form);
        state.learn(CONFIG_KEY, &entry(term, 0, body), None);
        assert_eq!((in_force(&mut state), place(&state, CONFIG_KEY)), (3, Some((term, 0))));
    }
}

/// The revision was taken once, and the controller went on as sure, while routers got the old configuration.
#[test]
fn what_cannot_be_read_is_not_known_and_changes_nothing() {
    let broken = [
        (b"of another form".to_vec(), Unreadable::Body),
        (held(8, text(9, 5)).encode(BodyFormat::Digested), Unreadable::Revision { declared: 8, found: 9 }),
        (
            held(2, text(2, 5)).encode(BodyFormat::Digested),
            Unreadable::NotNewer(RevisionNotNewer { current: 3, found: 2 }),
        ),
        (
            held(3, text(3, 6)).encode(BodyFormat::Digested),
            Unreadable::NotNewer(RevisionNotNewer { current: 3, found: 3 }),
        ),
    ];
    for (bytes, error) in broken {
        let mut state = CommittedState::default();
        state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None);
        let unreadable_entry = entry(5, 0, bytes);
        let unreadable = |first| Learned::Unreadable { error: error.clone(), first };
        assert_eq!(state.learn(CONFIG_KEY, &unreadable_entry, None), unreadable(true));
        assert_eq!(state.learn(CONFIG_KEY, &unreadable_entry, None), unreadable(false), "told once");
        assert_eq!((in_force(&mut state), place(&state, CONFIG_KEY)), (3, Some((1, 0))), "its place stays behind");
        assert_eq!(state.learn(CONFIG_KEY, &entry(6, 0, body(9)), None), Learned::New { revision: 9 }, "and is mended");
        assert_eq!(in_force(&mut state), 9);
    }
    for text in ["", "{", "[]", "{\"revision\":true}", "{\"revision\":8,\"route_table\":3}"] {
        let invalid_body = held(8, text.into()).encode(BodyFormat::Plain);
        assert!(matches!(read_config(&invalid_body), Err(Unreadable::Text(_))), "{text}");
    }
}

/// A confirmation reads places at a quorum; while one cannot be read it must stay open. The controller's own loop does what this
/// one does.
#[test]
fn a_controller_behind_something_unreadable_stays_behind() {
    let core = CoreMembership {
        version: 1,
        members: vec![Member { ip: "a".into(), zone: String::new() }],
        previous_members: Vec::new(),
        stable: true,
    };
    let mut state = CommittedState::default();
    state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None);
    let behind = |state: &CommittedState, entry: &Entry| {
        let mut confirmation = Confirmation::new(&core);
        confirmation.record("a", vec![KeyPosition { key: CONFIG_KEY.into(), position: entry.position() }]);
        assert!(confirmation.is_quorum());
        confirmation.stale_keys(|key| state.entries.get(key).map(Entry::position)).len()
    };
    let unreadable_entry = entry(2, 1, b"of another form".to_vec());
    assert_eq!(behind(&state, &unreadable_entry), 1);
    state.learn(CONFIG_KEY, &unreadable_entry, None);
    assert_eq!(behind(&state, &unreadable_entry), 1, "still");
    let good = entry(2, 2, body(4));
    state.learn(CONFIG_KEY, &good, None);
    assert_eq!((behind(&state, &unreadable_entry), behind(&state, &good)), (0, 0));
}

#[test]
fn other_keys_are_not_taken_for_empty_either() {
    let mut state = CommittedState::default();
    let zone = format!("{EVACUATION_PREFIX}z");
    let closed = EvacuationRecord { version: 4, evacuated: true }.to_bytes();
    state.learn(&zone, &entry(1, 0, closed), None);
    for key in [zone.as_str(), &format!("{ROLE_PREFIX}x"), &format!("{}s/m", STALENESS_LIMIT_PREFIX), MEMBERSHIP_KEY] {
        let learned = state.learn(key, &entry(2, 0, b"of another form".to_vec()), None);
        assert!(matches!(learned, Learned::Unreadable { error: Unreadable::Body, .. }), "{key}");
        assert_ne!(place(&state, key), Some((2, 0)));
    }
    assert_eq!(
        state.evacuations.get("z"),
        Some(&EvacuationRecord { version: 4, evacuated: true }),
        "the evacuation goes on"
    );
}

/// Whatever comes in whatever order, late, twice, broken: the configuration never goes back, and entry, text, value and
/// frames never disagree.
#[test]
fn entries_in_any_order_never_lead_back() {
    for seed in 0..200 {
        let mut random = Rng::new(hashing::combine(seed, 9));
        // Two histories never exist under one key; late and repeated entries of one do.
        let chain: Vec<Entry> = (1..=40u64).map(|at| entry(1 + at / 7, at % 7, body(2 * at))).collect();
        let mut state = CommittedState::default();
        let mut newest = 0;
        for _ in 0..120 {
            let pick = &chain[random.below(chain.len() as u64) as usize];
            match random.below(8) {
                0 => drop(state.learn(CONFIG_KEY, &entry(pick.proposal_number.term, pick.index, vec![1, 2, 3]), None)),
                // An owner's own change, read already.
                1 => {
                    let read = Arc::new(read_config(&pick.body).expect("good"));
                    state.learn(CONFIG_KEY, pick, Some(read));
                }
                _ => drop(state.learn(CONFIG_KEY, pick, None)),
            }
            let revision = in_force(&mut state);
            assert!(revision >= newest, "seed {seed}: from {newest} back to {revision}");
            newest = revision;
        }
    }
}
