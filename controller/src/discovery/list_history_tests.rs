//! Which frames of a zone's list a receiver gets, depending on the version that it has.

use std::sync::Arc;

use bytes::Bytes;
use load_balancing::{ColdSpells, EndpointLists};
use protocol::frame::{self, HEADER_BYTES};
use protocol::message::{EndpointList, EndpointUpdate, Engine, ListVersion, Message};

use super::{ListHistory, MAX_CHANGES};

fn engine(number: usize, up: bool, cold_ms: u32) -> Engine {
    Engine {
        id: format!("i-{number:08x}"),
        service: "s".into(),
        addr: format!("10.1.{}.{}:80", number / 256, number % 256),
        zone: "a".into(),
        phase: "decode".into(),
        model: "m".into(),
        slots: 16,
        up,
        cold_ms,
    }
}

/// A list of 300 engines, of which those with numbers up to `sequence` are draining.
fn list(sequence: u64) -> Arc<EndpointList> {
    let engines = (0..300).map(|number| engine(number, number as u64 > sequence, 0)).collect();
    Arc::new(EndpointList { zone: "a".into(), term: 5, sequence, engines })
}

fn version(sequence: u64) -> Option<ListVersion> {
    Some(ListVersion { term: 5, sequence })
}

fn decode_update(frame: &Bytes) -> EndpointUpdate {
    match frame::decode_body(&frame[HEADER_BYTES..]).expect("a valid frame") {
        Message::EndpointUpdate(update) => *update,
        other => panic!("{other:?}"),
    }
}

fn list_with_spell(sequence: u64, cold_ms: u32) -> Arc<EndpointList> {
    let engines = (0..300).map(|number| engine(number, true, if number == 7 { cold_ms } else { 0 })).collect();
    Arc::new(EndpointList { zone: "a".into(), term: 5, sequence, engines })
}

/// Guards against a controller that relays a list without the later spell in it (FAILBACK).
#[test]
fn a_later_spell_is_in_the_change_even_if_the_list_arrived_late() {
    let first = list_with_spell(1, 3000);
    let mut lists = EndpointLists::default();
    // This controller was suspended, so that by its own clock the first spell ends after the second one.
    lists.update(&first, 60_000);
    let mut history = ListHistory::new(first.clone(), lists.cold_spells("a").expect("held").clone());
    let extended = list_with_spell(2, 2000);
    let update = EndpointUpdate::between_with(&first, &extended, |engine| engine.cold_ms > 0);
    lists.apply(&update, 60_001).expect("it applies");
    history.follow(lists.list("a").expect("held"), lists.cold_spells("a").expect("held"));
    let frames = history.frames_since(version(1), 60_001);
    let changed = decode_update(&frames[0]).unpack().expect("it unpacks").changed;
    assert_eq!(changed, [engine(7, true, 2000)]);
}

/// A history that recorded the versions 1 to `last`.
fn history(last: u64) -> ListHistory {
    let mut history = ListHistory::new(list(1), ColdSpells::default());
    (2..=last).for_each(|sequence| history.follow(&list(sequence), &ColdSpells::default()));
    history
}

#[test]
fn frames_since_any_version_lead_to_the_current_list() {
    let last = MAX_CHANGES as u64 + 8;
    let mut history = history(last);
    for known in 0..=last {
        let mut receiver = EndpointLists::default();
        if known > 0 {
            receiver.update(&list(known), 0);
        }
        let frames = history.frames_since((known > 0).then(|| version(known)).flatten(), 0);
        let updates: Vec<EndpointUpdate> = frames.iter().map(decode_update).collect();
        let are_changes = updates.iter().all(|update| update.base.is_some());
        assert!(known >= 8 || !are_changes, "version {known}: the oldest changes are no longer kept");
        assert!(known < last - 8 || are_changes, "version {known}: a few changes are smaller than the list");
        for update in &updates {
            assert!(receiver.apply(update, 0).is_some(), "version {known}");
        }
        let mut engines = receiver.list("a").expect("the zone has a list").engines.clone();
        engines.sort_by(|left, right| left.id.cmp(&right.id));
        assert_eq!(engines, list(last).engines, "version {known}");
    }
}

#[test]
fn frames_since_returns_the_full_list_if_the_changes_are_larger() {
    let mut history = ListHistory::new(list(1), ColdSpells::default());
    let all_drain = |sequence| {
        let engines = (0..300).map(|number| engine(number, sequence % 2 == 0, 0)).collect();
        Arc::new(EndpointList { zone: "a".into(), term: 5, sequence, engines })
    };
    (2..6).for_each(|sequence| history.follow(&all_drain(sequence), &ColdSpells::default()));
    let frames = history.frames_since(version(1), 0);
    assert_eq!(frames.len(), 1);
    assert_eq!(decode_update(&frames[0]).base, None);
    assert_eq!(history.frames_since(version(4), 0).len(), 1);
    assert!(history.frames_since(version(5), 0).is_empty());
    assert!(history.frames_since(version(9), 0).is_empty(), "a receiver with a newer list needs no frames");
}

#[test]
fn the_full_list_contains_the_warm_up_times_that_remain() {
    let cold = EndpointList { zone: "a".into(), term: 5, sequence: 1, engines: vec![engine(1, true, 3000)] };
    let mut spells = ColdSpells::default();
    spells.announce(&cold.engines, cold.version(), 10_000);
    let mut history = ListHistory::new(Arc::new(cold), spells);
    let mut cold_ms = |now| {
        let update = decode_update(&history.frames_since(None, now)[0]);
        update.unpack().expect("the update unpacks").changed[0].cold_ms
    };
    assert_eq!(cold_ms(10_000), 3000);
    assert_eq!(cold_ms(12_500), 500);
    assert_eq!(cold_ms(60_000), 1, "the current list still shows the engine as cold");
}
