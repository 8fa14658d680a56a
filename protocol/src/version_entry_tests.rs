//! The named types encode to the same bytes as the tuples that earlier versions of the protocol sent.

use rkyv::api::high::HighSerializer;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Serialize};

use super::{EngineWeights, EvacuationState, VersionEntry};

/// Names shorter and longer than an archived string stores inline.
const NAMES: [&str; 5] = ["", "a", "\0leaving", "12345678", "a-zone-with-a-long-name"];

type Encoder<'a> = HighSerializer<AlignedVec, ArenaHandle<'a>, Error>;

/// Encloses a list in other fields, as messages do.
#[derive(Archive, Serialize)]
struct Enclosing<T> {
    head: u32,
    list: Vec<T>,
    tail: bool,
}

fn encode<T>(list: Vec<T>) -> Vec<u8>
where
    T: Archive + for<'a> Serialize<Encoder<'a>>,
{
    let enclosing = Enclosing { head: 7, list, tail: true };
    rkyv::to_bytes::<Error>(&enclosing).expect("encoded").to_vec()
}

#[test]
fn version_entries_encode_as_tuples() {
    let tuples: Vec<(String, u64, u64)> = NAMES.iter().map(|name| (name.to_string(), 1 << 40, 3)).collect();
    let entries = tuples.iter().map(|(name, term, sequence)| VersionEntry::new(name, *term, *sequence)).collect();
    assert_eq!(encode::<VersionEntry>(entries), encode(tuples));
}

#[test]
fn evacuation_states_encode_as_tuples() {
    let tuples: Vec<(String, u64, bool)> = NAMES.iter().map(|zone| (zone.to_string(), 9, zone.len() > 1)).collect();
    let states: Vec<EvacuationState> = tuples
        .iter()
        .map(|(zone, version, evacuated)| EvacuationState {
            zone: zone.clone(),
            version: *version,
            evacuated: *evacuated,
        })
        .collect();
    assert_eq!(encode(states), encode(tuples));
}

#[test]
fn engine_weights_encode_as_tuples() {
    let tuples: Vec<(String, String, u64)> =
        NAMES.iter().map(|engine| (engine.to_string(), format!("model of {engine}"), 1 << 33)).collect();
    let weights: Vec<EngineWeights> = tuples
        .iter()
        .map(|(engine, model, version)| EngineWeights {
            engine: engine.clone(),
            model: model.clone(),
            version: *version,
        })
        .collect();
    assert_eq!(encode(weights), encode(tuples));
}
