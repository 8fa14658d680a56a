//! Learning committed entries: a configuration and its history always agree, and an entry that cannot be read changes
//! nothing.

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

fn stored(revision: u64, text: String) -> StoredConfig {
    StoredConfig { revision, text, ..StoredConfig::default() }
}

fn body(revision: u64) -> Vec<u8> {
    stored(revision, text(revision, 5)).encode(BodyFormat::Digested)
}

fn entry(term: u64, entry_index: u64, body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term, replica_id: 1 }, index: entry_index, body }
}

fn position(state: &CommittedState, key: &str) -> Option<(u64, u64)> {
    state.entries.get(key).map(|entry| (entry.proposal_number.term, entry.index))
}

/// Returns the revision in force, and checks that the entry, the text, the parsed value and the frames for routers
/// agree on it.
fn consistent_revision(state: &mut CommittedState) -> u64 {
    let revision = state.history.revision();
    let body = state.entries.get(CONFIG_KEY).map_or(Vec::new(), |entry| entry.body.clone());
    let stored = StoredConfig::decode(&body).expect("a known entry can be decoded");
    assert_eq!(stored.revision, revision);
    if let Some(current) = state.history.current() {
        assert_eq!((current.text(), current.revision()), (stored.text.as_str(), revision));
    }
    let mut sent = 0;
    let mut last = 0;
    assert!(state.history.send_missing(PROTOCOL_VERSION, &mut sent, |frame| {
        let Ok(Message::TenantConfigUpdate(packed)) = frame::decode_body(&frame[HEADER_BYTES..]) else {
            return false;
        };
        last = ConfigUpdate::decode(&packed).expect("a configuration update").to;
        true
    }));
    assert_eq!((sent, last), (revision, revision), "routers get the configuration of the entry");
    revision
}

#[test]
fn learn_ignores_entries_at_older_positions() {
    let mut state = CommittedState::default();
    assert_eq!(state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None), Learned::New { revision: 3 });
    assert_eq!(state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None), Learned::AlreadyKnown);
    assert_eq!(
        state.learn(CONFIG_KEY, &entry(2, 0, body(3)), None),
        Learned::Recommitted,
        "the same body committed again by a new owner"
    );
    assert_eq!(
        state.learn(CONFIG_KEY, &entry(1, 9, body(4)), None),
        Learned::AlreadyKnown,
        "a late entry of an earlier owner"
    );
    assert_eq!(consistent_revision(&mut state), 3);
    assert_eq!(state.learn(CONFIG_KEY, &entry(2, 1, body(8)), None), Learned::New { revision: 8 });
    assert_eq!(
        (consistent_revision(&mut state), position(&state, CONFIG_KEY), state.highest_term),
        (8, Some((2, 1)), 2)
    );
}

/// The same configuration committed in another body format advances the position and leaves the configuration in force.
#[test]
fn learn_keeps_the_configuration_when_only_the_body_format_changes() {
    let mut state = CommittedState::default();
    for (term, format) in [(1, BodyFormat::Plain), (2, BodyFormat::Compressed), (3, BodyFormat::Digested)] {
        let body = stored(3, text(3, 5)).encode(format);
        state.learn(CONFIG_KEY, &entry(term, 0, body), None);
        assert_eq!((consistent_revision(&mut state), position(&state, CONFIG_KEY)), (3, Some((term, 0))));
    }
}

/// Guards against a fault in which the revision of an unreadable entry was adopted: the controller counted as confirmed
/// while routers kept the old configuration.
#[test]
fn learn_rejects_an_unreadable_configuration_and_keeps_the_previous_one() {
    let invalid_bodies = [
        (b"of another form".to_vec(), Unreadable::Body),
        (stored(8, text(9, 5)).encode(BodyFormat::Digested), Unreadable::Revision { declared: 8, found: 9 }),
        (
            stored(2, text(2, 5)).encode(BodyFormat::Digested),
            Unreadable::NotNewer(RevisionNotNewer { current: 3, found: 2 }),
        ),
        (
            stored(3, text(3, 6)).encode(BodyFormat::Digested),
            Unreadable::NotNewer(RevisionNotNewer { current: 3, found: 3 }),
        ),
    ];
    for (bytes, error) in invalid_bodies {
        let mut state = CommittedState::default();
        state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None);
        let unreadable_entry = entry(5, 0, bytes);
        let unreadable = |first| Learned::Unreadable { error: error.clone(), first };
        assert_eq!(state.learn(CONFIG_KEY, &unreadable_entry, None), unreadable(true));
        assert_eq!(state.learn(CONFIG_KEY, &unreadable_entry, None), unreadable(false), "reported once");
        assert_eq!(
            (consistent_revision(&mut state), position(&state, CONFIG_KEY)),
            (3, Some((1, 0))),
            "the key keeps its position"
        );
        assert_eq!(
            state.learn(CONFIG_KEY, &entry(6, 0, body(9)), None),
            Learned::New { revision: 9 },
            "a newer readable entry is applied"
        );
        assert_eq!(consistent_revision(&mut state), 9);
    }
    for text in ["", "{", "[]", "{\"revision\":true}", "{\"revision\":8,\"route_table\":3}"] {
        let invalid_body = stored(8, text.into()).encode(BodyFormat::Plain);
        assert!(matches!(read_config(&invalid_body), Err(Unreadable::Text(_))), "{text}");
    }
}

/// A confirmation reads the positions at a quorum. While the newest entry of a key cannot be read, the key must stay
/// stale, so that the state is not confirmed. The confirmer takes the same steps as this test.
#[test]
fn a_key_with_an_unreadable_entry_stays_stale_until_a_readable_one_is_learned() {
    let core = CoreMembership {
        version: 1,
        members: vec![Member { ip: "a".into(), zone: String::new() }],
        previous_members: Vec::new(),
        stable: true,
    };
    let mut state = CommittedState::default();
    state.learn(CONFIG_KEY, &entry(1, 0, body(3)), None);
    let stale_count = |state: &CommittedState, entry: &Entry| {
        let mut confirmation = Confirmation::new(&core);
        confirmation.record("a", vec![KeyPosition { key: CONFIG_KEY.into(), position: entry.position() }]);
        assert!(confirmation.is_quorum());
        confirmation.stale_keys(|key| state.entries.get(key).map(Entry::position)).len()
    };
    let unreadable_entry = entry(2, 1, b"of another form".to_vec());
    assert_eq!(stale_count(&state, &unreadable_entry), 1);
    state.learn(CONFIG_KEY, &unreadable_entry, None);
    assert_eq!(stale_count(&state, &unreadable_entry), 1, "the key stays stale");
    let readable_entry = entry(2, 2, body(4));
    state.learn(CONFIG_KEY, &readable_entry, None);
    assert_eq!((stale_count(&state, &unreadable_entry), stale_count(&state, &readable_entry)), (0, 0));
}

#[test]
fn learn_does_not_take_an_unreadable_body_for_an_empty_one() {
    let mut state = CommittedState::default();
    let zone = format!("{EVACUATION_PREFIX}z");
    let evacuated = EvacuationRecord { version: 4, evacuated: true }.to_bytes();
    state.learn(&zone, &entry(1, 0, evacuated), None);
    for key in [zone.as_str(), &format!("{ROLE_PREFIX}x"), &format!("{}s/m", STALENESS_LIMIT_PREFIX), MEMBERSHIP_KEY] {
        let learned = state.learn(key, &entry(2, 0, b"of another form".to_vec()), None);
        assert!(matches!(learned, Learned::Unreadable { error: Unreadable::Body, .. }), "{key}");
        assert_ne!(position(&state, key), Some((2, 0)));
    }
    assert_eq!(
        state.evacuations.get("z"),
        Some(&EvacuationRecord { version: 4, evacuated: true }),
        "the evacuation stays in force"
    );
}

/// Entries that arrive in any order, late, repeated or unreadable never lower the revision, and the entry, the text,
/// the parsed value and the frames always agree.
#[test]
fn learn_never_lowers_the_revision_whatever_the_order_of_entries() {
    for seed in 0..200 {
        let mut random = Rng::new(hashing::combine(seed, 9));
        // A key has a single history, whose entries may arrive late or repeatedly.
        let history: Vec<Entry> =
            (1..=40u64).map(|number| entry(1 + number / 7, number % 7, body(2 * number))).collect();
        let mut state = CommittedState::default();
        let mut newest = 0;
        for _ in 0..120 {
            let pick = &history[random.below(history.len() as u64) as usize];
            match random.below(8) {
                0 => drop(state.learn(CONFIG_KEY, &entry(pick.proposal_number.term, pick.index, vec![1, 2, 3]), None)),
                // An owner learns its own change, which is already parsed.
                1 => {
                    let parsed = Arc::new(read_config(&pick.body).expect("a valid configuration"));
                    state.learn(CONFIG_KEY, pick, Some(parsed));
                }
                _ => drop(state.learn(CONFIG_KEY, pick, None)),
            }
            let revision = consistent_revision(&mut state);
            assert!(revision >= newest, "seed {seed}: the revision went from {newest} back to {revision}");
            newest = revision;
        }
    }
}
