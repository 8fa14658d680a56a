//! Seeded experiments in virtual time: the production decision code of routers and controllers runs against simulated
//! engines and requests.
//!
//! The command line and the tests share them. An ablation runs an experiment with a part of the design switched off, to
//! show that the experiment detects its absence.

#![deny(missing_docs)]

pub mod rollout;
