//! Simulations for the tests of this crate.

pub mod singleton_roles;
