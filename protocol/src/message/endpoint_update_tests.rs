//! Updates of endpoint lists yield the same engines as whole lists.

use std::collections::BTreeMap;

use kernel::Rng;

use super::{EndpointUpdate, ListVersion};
use crate::frame::{self, Kind};
use crate::message::{EndpointList, Engine, Message};

fn engine(number: u64, phase: &str, up: bool, cold_ms: u32) -> Engine {
    Engine {
        id: format!("i-{number:08x}"),
        service: "huvo11a".into(),
        addr: format!("10.128.{}.{}:8080", number / 256, number % 256),
        zone: "zone-a".into(),
        phase: phase.into(),
        model: "m".into(),
        slots: 16,
        up,
        cold_ms,
    }
}

fn list(sequence: u64, engines: Vec<Engine>) -> EndpointList {
    EndpointList { zone: "zone-a".into(), term: 7, sequence, engines }
}

fn by_id(engines: &[Engine]) -> BTreeMap<&str, &Engine> {
    engines.iter().map(|engine| (engine.id.as_str(), engine)).collect()
}

#[test]
fn an_update_contains_only_changed_engines() {
    let old = list(1, (0..1000).map(|number| engine(number, "decode", true, 0)).collect());
    let mut engines = old.engines.clone();
    engines[3].phase = "prefill".into();
    engines.remove(900);
    engines.push(engine(2000, "decode", true, 9000));
    let new = list(2, engines);
    let update = EndpointUpdate::between(&old, &new);
    let unpacked = update.unpack().expect("unpacked");
    assert_eq!(
        unpacked.changed.iter().map(|engine| engine.id.as_str()).collect::<Vec<_>>(),
        ["i-00000003", "i-000007d0"]
    );
    assert_eq!(unpacked.removed, ["i-00000384"]);
    assert_eq!(by_id(&unpacked.apply(&old.engines)), by_id(&new.engines));
    let bytes = |update: EndpointUpdate| {
        let message = Message::EndpointUpdate(Box::new(update));
        frame::encode(Kind::Notification, 0, &message).expect("it fits into a frame").len()
    };
    assert!(bytes(update) < 400, "a delta of three engines of a thousand");
    let whole = Message::EndpointList(Box::new(new.clone()));
    let whole = frame::encode(Kind::Notification, 0, &whole).expect("it fits into a frame").len();
    assert!(3 * bytes(EndpointUpdate::whole(&new)) < whole, "{whole} bytes for the whole list");
}

#[test]
fn a_slow_start_counts_as_a_change_only_when_it_ends() {
    let starting = list(1, vec![engine(1, "decode", true, 3000)]);
    let still_starting = list(2, vec![engine(1, "decode", true, 1000)]);
    let started = list(3, vec![engine(1, "decode", true, 0)]);
    assert!(EndpointUpdate::between(&starting, &still_starting).unpack().expect("unpacked").changed.is_empty());
    let restarted = EndpointUpdate::between_with(&starting, &still_starting, |engine| engine.cold_ms == 1000);
    assert_eq!(restarted.unpack().expect("unpacked").changed, still_starting.engines, "another slow start");
    assert_eq!(EndpointUpdate::between(&still_starting, &started).unpack().expect("unpacked").changed, started.engines);
}

#[test]
fn a_delta_applies_only_to_its_base_and_a_whole_list_to_any_older_version() {
    let version = |sequence| ListVersion { term: 7, sequence };
    let delta = EndpointUpdate::between(&list(1, Vec::new()), &list(2, Vec::new()));
    assert!(delta.applies_to(Some(version(1))));
    for held in [None, Some(version(0)), Some(version(2)), Some(version(3))] {
        assert!(!delta.applies_to(held), "{held:?}");
    }
    let whole = EndpointUpdate::whole(&list(2, Vec::new()));
    assert!(whole.applies_to(None) && whole.applies_to(Some(version(1))));
    assert!(!whole.applies_to(Some(version(2))) && !whole.applies_to(Some(version(3))));
    let next_term = EndpointList { term: 8, sequence: 1, ..list(0, Vec::new()) };
    assert!(EndpointUpdate::between(&list(2, Vec::new()), &next_term).applies_to(Some(version(2))));
}

#[test]
fn unpack_returns_none_for_invalid_engines() {
    let mut update = EndpointUpdate::whole(&list(1, vec![engine(1, "decode", true, 0)]));
    update.packed_engines.truncate(6);
    assert_eq!(update.unpack(), None);
    update.packed_engines = vec![0xff; 40];
    assert_eq!(update.unpack(), None);
}

/// Deltas across one or more versions, applied in sequence, yield the same engines as the whole list.
#[test]
fn a_chain_of_deltas_yields_the_whole_list() {
    for seed in 0..40 {
        let mut rng = Rng::new(seed);
        let mut lists = vec![list(1, (0..20).map(|number| engine(number, "decode", true, 0)).collect())];
        for sequence in 2..30 {
            let mut engines = lists.last().expect("at least one").engines.clone();
            engines.retain(|_| rng.below(10) > 0);
            for engine in &mut engines {
                engine.up = rng.below(8) > 0;
            }
            engines.push(engine(20 + sequence, "prefill", true, 0));
            lists.push(list(sequence, engines));
        }
        let mut held = lists[0].clone();
        let mut current = 0;
        while current + 1 < lists.len() {
            let next = (current + 1 + rng.below(4) as usize).min(lists.len() - 1);
            let update = EndpointUpdate::between(&lists[current], &lists[next]);
            assert!(update.applies_to(Some(held.version())));
            let engines = update.unpack().expect("unpacked").apply(&held.engines);
            held = EndpointList { engines, ..lists[next].clone() };
            assert_eq!(by_id(&held.engines), by_id(&lists[next].engines), "seed {seed}, version {next}");
            current = next;
        }
    }
}
