//! The data plane: takes clients' requests and carries them to engines.
pub mod boot;
mod carry;
mod door;
mod doubt;
mod errand;
mod event;
mod follow;
mod halves;
mod lookup;
mod plan;
mod pool;
mod receipt;
mod relay;
mod send;
mod stream;
mod table;
mod trip;
mod yard;
