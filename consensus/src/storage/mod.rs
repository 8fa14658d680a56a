//! A state on disk, the acceptor's or another one: a log in numbered segments with a snapshot beside it (docs/storage.md).
//!
//! `store` writes, `recovery` reads back what is found when a store is opened, `record` and `segment` define and read
//! the bytes, `files` the names, and `directory` is the file system, which tests replace by a simulated one.

mod directory;
mod error;
mod files;
mod record;
mod recovery;
mod segment;
mod store;

pub use error::StoreError;
pub use record::StoredRecord;
pub use store::Store;

#[cfg(test)]
pub(crate) use directory::{DataFile, Directory};
