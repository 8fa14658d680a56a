//! Activates newer configurations, and registers prefixes again when the catalog gets a new owner.

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

/// Number of prefixes in one batch of registrations.
const REGISTRATION_BATCH_SIZE: usize = 100;
/// The pause between two batches, in milliseconds.
const REGISTRATION_PAUSE_MS: u64 = 50;

/// Applies a whole configuration in text form, from a controller that supports no other form.
pub fn apply_document(state: &State, version: u64, text: &[u8]) {
    if version <= state.subscribed().config_revision {
        return;
    }
    let text = str::from_utf8(text).map_err(|error| error.to_string());
    let document = text.and_then(|text| ConfigDocument::parse_committed(text).map_err(|error| error.to_string()));
    match document {
        Ok(document) => apply_update(state, &ConfigUpdate::full(document.config())),
        Err(error) => kernel::log_event!(CONFIG_UNREADABLE, "version" => version, "error" => error),
    }
}

/// Applies an encoded update. One that cannot be decoded changes nothing: the next renewal reports the revision held,
/// and the controller sends the whole configuration.
pub fn apply_encoded_update(state: &State, body: &[u8]) {
    match ConfigUpdate::decode(body) {
        Some(update) => apply_update(state, &update),
        None => kernel::log_event!(CONFIG_UNREADABLE, "version" => 0, "error" => "the update cannot be decoded"),
    }
}

/// Activates an update unless it is outdated or does not follow the revision held.
fn apply_update(state: &State, update: &ConfigUpdate) {
    let current = state.table();
    let Some(table) = current.apply(update, &mut state.engines()) else { return };
    state.set_table(Arc::new(table));
    state.subscribed().config_revision = update.to;
    state.freshness.notify_table_changed();
    kernel::log_event!(CONFIG_ACTIVATED, "revision" => update.to);
}

/// Registers all known prefixes again, in batches, because a new owner of the catalog starts with an empty one.
pub async fn reregister_prefixes(state: Arc<State>) {
    let entries = state.owner_cache().entries(clock::now());
    for batch in entries.chunks(REGISTRATION_BATCH_SIZE) {
        let records = batch.iter().map(|(key, engine)| Record { key: *key, engine: engine.clone() }).collect();
        state.prefix_catalog.register(records, Vec::new());
        time::sleep(Duration::from_millis(REGISTRATION_PAUSE_MS)).await;
    }
}
