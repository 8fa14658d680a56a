//! Durable state, the acceptor's or that of another component: a log in numbered segments and its snapshots
//! (docs/storage.md).
//!
//! `store` writes the log and its snapshots. `recovery` reads them when a store is opened. `record` defines the binary
//! form of a record, `segment` reads records from a file, and `files` defines the file names. `directory` is the
//! interface to the file system, for which tests substitute a simulated one.

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
