//! Brings a newer configuration into force, and reregisters prefixes when the catalog gets a new owner.

use std::str;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use protocol::config::ConfigDocument;
use protocol::config_update::ConfigUpdate;
use protocol::message::Record;
use tokio::time;

use crate::event::{CONFIG_ACTIVATED, CONFIG_UNREADABLE};
use crate::state::State;

/// Applies a whole configuration as text, from a controller that knows no other form.
pub fn apply_document(state: &State, version: u64, text: &[u8]) {
    if version <= state.subscribed().config_revision {
        return;
    }
    let read = str::from_utf8(text).map_err(|error| error.to_string());
    let read = read.and_then(|text| ConfigDocument::parse_committed(text).map_err(|error| error.to_string()));
    match read {
        Ok(config) => apply_update(state, &ConfigUpdate::full(config.config())),
        Err(error) => kernel::log_event!(CONFIG_UNREADABLE, "version" => version, "error" => error),
    }
}

/// Applies an encoded update. One that can't be decoded changes nothing: the next renewal reports the revision
/// held, and the whole configuration is sent.
pub fn apply_encoded_update(state: &State, body: &[u8]) {
    match ConfigUpdate::decode(body) {
        Some(change) => apply_update(state, &change),
        None => kernel::log_event!(CONFIG_UNREADABLE, "version" => 0, "error" => "a change that can't be read"),
    }
}

/// Brings an update into force unless it is outdated or doesn't follow the revision held.
fn apply_update(state: &State, change: &ConfigUpdate) {
    let old = state.table();
    let Some(table) = old.apply(change, &mut state.engines()) else { return };
    state.set_table(Arc::new(table));
    state.subscribed().config_revision = change.to;
    state.freshness.table_changed();
    kernel::log_event!(CONFIG_ACTIVATED, "revision" => change.to);
}

/// Registers all known prefixes again, in batches: a new owner of the catalog starts empty.
pub async fn reregister_prefixes(state: Arc<State>) {
    let entries = state.owner_cache().entries(clock::now());
    for batch in entries.chunks(100) {
        let list = batch.iter().map(|(key, engine)| Record { key: *key, engine: engine.clone() }).collect();
        state.prefix_catalog.register(list, Vec::new());
        time::sleep(Duration::from_millis(50)).await;
    }
}
