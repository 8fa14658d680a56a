//! The other controllers: heartbeats, pauses of the own process, and dispatch of their messages.

mod address_announcements;
pub mod directory;
pub mod dispatch;
pub mod gossip;
pub mod network;
pub mod pause;
