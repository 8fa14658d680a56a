//! The memory of a read prompt, held for one request.

use kernel::clock;

use crate::proxy::exchange::Exchange;
use crate::proxy::send;
use crate::upstream::connection_pool::Endpoint;

/// The memory of a read prompt. Invariants: it serves this request only, is taken once, and is
/// never named after `until`.
pub struct KvHandle {
    pub engine_index: usize,
    /// The engine that holds it.
    pub endpoint: Endpoint,
    pub id: String,
    pub expires_at_ms: u64,
}

impl Exchange {
    /// The engine whose memory is held.
    pub fn kv_handle_engine(&self) -> Option<usize> {
        self.kv_handle.as_ref().map(|handle| handle.engine_index)
    }

    pub fn hold_kv_handle(&mut self, handle: KvHandle) {
        self.release_kv_handle();
        self.kv_handle = Some(handle);
    }

    /// The handle, if it may still be named. It is out of our hands from here on.
    pub fn take_kv_handle(&mut self) -> Option<KvHandle> {
        let now = clock::now();
        let is_usable = self.kv_handle.as_ref().is_some_and(|handle| {
            let engine_table = self.state.engines();
            let engine = &engine_table.engines[handle.engine_index];
            now < handle.expires_at_ms && engine.listed && !self.excluded_zones.contains(&engine.zone)
        });
        if !is_usable {
            self.release_kv_handle();
        }
        self.kv_handle.take()
    }

    /// Memory that nobody will take is given free at once.
    pub fn release_kv_handle(&mut self) {
        let Some(handle) = self.kv_handle.take() else { return };
        let state = self.state.clone();
        let max_connections = self.max_connections();
        tokio::spawn(async move { send::free_kv_handle(&state, &handle, max_connections).await });
    }
}
