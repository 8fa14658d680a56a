//! KV cache that requests can reuse: prefix look-ups at the catalog, and handles of cache held for one request.

pub mod catalog_client;
pub mod kv_handle;
