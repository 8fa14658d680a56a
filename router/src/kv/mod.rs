//! Reuse of KV cache: prefix lookups in the catalog, and handles of cache that is held for one request.

pub mod catalog_client;
pub mod kv_handle;
