//! Prefix look-ups at the catalog, and handles of KV cache that is held for one request.

pub mod catalog_client;
pub mod kv_handle;
