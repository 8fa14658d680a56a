//! The disk of an acceptor.

mod directory;
mod error;
mod files;
mod record;
mod recovery;
mod segment;
mod store;

pub use error::StoreError;
pub use store::Store;

#[cfg(test)]
pub(crate) use directory::{DataFile, Directory};
