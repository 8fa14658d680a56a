//! Handles of the KV cache that a prefill engine holds for one request until a decode engine fetches it.

use kernel::clock;

use crate::proxy::exchange::Exchange;
use crate::proxy::{plan, send};
use crate::upstream::connection_pool::Endpoint;

/// The right to fetch a KV cache. Invariants: it serves one request only, is sent to one decode engine only, and is not
/// sent after `expires_at_ms`; an unused handle is released.
pub struct KvHandle {
    /// Index of the engine that holds the cache.
    pub engine_index: usize,
    /// The address and id of that engine.
    pub endpoint: Endpoint,
    /// The engine's id for the cache.
    pub id: String,
    /// When it may no longer be sent to a decode engine, in milliseconds of the steady clock.
    pub expires_at_ms: u64,
}

impl Exchange {
    /// Returns the engine that holds a KV cache for this request.
    pub fn kv_handle_engine(&self) -> Option<usize> {
        self.kv_handle.as_ref().map(|handle| handle.engine_index)
    }

    /// Stores a handle, and releases the one that was stored before.
    pub fn hold_kv_handle(&mut self, handle: KvHandle) {
        self.release_kv_handle();
        self.kv_handle = Some(handle);
    }

    /// Takes the handle if it may still be sent to a decode engine; otherwise releases it. The caller has to send it or
    /// put it back.
    pub fn take_kv_handle(&mut self) -> Option<KvHandle> {
        let now = clock::now();
        let excluded_zones = plan::zones_excluded_for(&self.state, &self.request);
        let is_usable = self.kv_handle.as_ref().is_some_and(|handle| {
            let engine_table = self.state.engines();
            let engine = &engine_table.engines[handle.engine_index];
            let is_allowed = !excluded_zones.contains(&engine.zone);
            now < handle.expires_at_ms
                && engine.listed
                && is_allowed
                && engine.is_candidate == self.variant.is_candidate()
        });
        if !is_usable {
            self.release_kv_handle();
        }
        self.kv_handle.take()
    }

    /// Releases the handle at its engine, if there is one. This runs in the background, so that the request does not
    /// wait. Nothing is sent to a zone that the request must not use any more: the handle expires there.
    pub fn release_kv_handle(&mut self) {
        let Some(handle) = self.kv_handle.take() else { return };
        let zone = self.state.engines().engines[handle.engine_index].zone;
        if plan::zones_excluded_for(&self.state, &self.request).contains(&zone) {
            return;
        }
        let state = self.state.clone();
        let max_connections = self.max_connections();
        tokio::spawn(async move { send::free_kv_handle(&state, &handle, max_connections).await });
    }
}
