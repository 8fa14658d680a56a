//! Simulations, stand-ins and the model checker, for tests only.

mod model;
mod simulation;
mod storage;
