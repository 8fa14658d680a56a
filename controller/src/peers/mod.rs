//! The other controllers: heartbeats, pauses of the own process, and dispatch of their messages.

pub mod directory;
pub mod dispatch;
pub mod gossip;
pub mod pause;
