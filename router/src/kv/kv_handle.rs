//! The KV cache that a prefill engine holds for one request until a decode engine takes it over.

use kernel::clock;

use crate::proxy::exchange::Exchange;
use crate::proxy::send;
use crate::upstream::connection_pool::Endpoint;

/// The right to take over a KV cache. Invariants: it serves one request only, is named to one decode engine only, and is
/// not named after `expires_at_ms`; a handle that is not taken over is released.
pub struct KvHandle {
    /// Dense index of the engine that holds the cache.
    pub engine_index: usize,
    /// The address and id of that engine.
    pub endpoint: Endpoint,
    /// The engine's name for the cache.
    pub id: String,
    /// When it may no longer be named, in milliseconds of the steady clock.
    pub expires_at_ms: u64,
}

impl Exchange {
    /// Returns the engine that holds a KV cache for this request.
    pub fn kv_handle_engine(&self) -> Option<usize> {
        self.kv_handle.as_ref().map(|handle| handle.engine_index)
    }

    /// Keeps a handle, and releases the one that was kept before.
    pub fn hold_kv_handle(&mut self, handle: KvHandle) {
        self.release_kv_handle();
        self.kv_handle = Some(handle);
    }

    /// Takes the handle if it may still be named to a decode engine; otherwise releases it. Whoever takes it has to put it
    /// back or name it.
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

    /// Releases the handle, if there is one, at its engine: in the background, since the request need not wait for it.
    pub fn release_kv_handle(&mut self) {
        let Some(handle) = self.kv_handle.take() else { return };
        let state = self.state.clone();
        let max_connections = self.max_connections();
        tokio::spawn(async move { send::free_kv_handle(&state, &handle, max_connections).await });
    }
}
