//! The memory of a read prompt, held for one request.

use kernel::clock;

use crate::proxy::exchange::Exchange;
use crate::proxy::send;
use crate::upstream::connection_pool::Endpoint;

/// The memory of a read prompt. Invariants: it serves this request only, is taken once, and is
/// never named after `until`.
pub struct Handle {
    pub at: usize,
    /// The engine that holds it.
    pub reader: Endpoint,
    pub id: String,
    pub until: u64,
}

impl Exchange {
    /// The engine whose memory is held.
    pub fn handle_engine(&self) -> Option<usize> {
        self.kv_handle.as_ref().map(|handle| handle.at)
    }

    pub fn hold_handle(&mut self, handle: Handle) {
        self.release_handle();
        self.kv_handle = Some(handle);
    }

    /// The handle, if it may still be named. It is out of our hands from here on.
    pub fn take_handle(&mut self) -> Option<Handle> {
        let now = clock::now();
        let good = self.kv_handle.as_ref().is_some_and(|handle| {
            let engine_table = self.state.engines();
            let engine = &engine_table.engines[handle.at];
            now < handle.until && engine.listed && !self.excluded_zones.contains(&engine.zone)
        });
        if !good {
            self.release_handle();
        }
        self.kv_handle.take()
    }

    /// Memory that nobody will take is given free at once.
    pub fn release_handle(&mut self) {
        let Some(handle) = self.kv_handle.take() else { return };
        let state = self.state.clone();
        let most = self.max_connections();
        tokio::spawn(async move { send::free_kv_handle(&state, &handle, most).await });
    }
}
