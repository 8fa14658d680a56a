//! A newer configuration taken into force, and a catalog that changed hands.

/// A whole configuration as text, from a controller that knows no other form.
pub fn config(state: &crate::state::State, version: u64, text: &[u8]) {
    if version <= state.news.lock().expect("news").config {
        return;
    }
    let read = std::str::from_utf8(text).map_err(|error| error.to_string());
    let read = read.and_then(|text| protocol::config::Checked::read_committed(text).map_err(|error| error.to_string()));
    match read {
        Ok(config) => turn(state, &protocol::change::Change::whole(config.config())),
        Err(error) => kernel::say!(crate::event::BAD_CONFIG, "version" => version, "error" => error),
    }
}

/// One that can't be read counts for nothing: the next call tells what is held and the whole comes.
pub fn change(state: &crate::state::State, body: &[u8]) {
    match protocol::change::Change::read(body) {
        Some(change) => turn(state, &change),
        None => kernel::say!(crate::event::BAD_CONFIG, "version" => 0, "error" => "a change that can't be read"),
    }
}

fn turn(state: &crate::state::State, change: &protocol::change::Change) {
    let old = state.table();
    let Some(table) = old.turn(change, &mut state.engine_table.lock().expect("engine_table")) else { return };
    *state.table.lock().expect("table") = std::sync::Arc::new(table);
    state.news.lock().expect("news").config = change.to;
    state.currency.table_changed();
    kernel::say!(crate::event::CONFIG, "revision" => change.to);
}

/// A new holder of the catalog starts empty: what is known here is registered again, in steps.
pub async fn again(state: std::sync::Arc<crate::state::State>) {
    let all = state.record.lock().expect("record").all(kernel::clock::now());
    for part in all.chunks(100) {
        let list =
            part.iter().map(|(key, engine)| protocol::msg::Record { key: *key, engine: engine.clone() }).collect();
        state.lookup.register(list, Vec::new());
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
