//! Seeded experiments in virtual time: the real decisions of routers and controllers, on simulated engines and requests.
//!
//! The command line and the tests share them. An experiment can be run with a part of the design switched off, to show that it
//! would notice.

#![deny(missing_docs)]

pub mod rollout;
