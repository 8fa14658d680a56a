//! The other controllers: heartbeats, dispatch of their messages, and detection of pauses of this process.

mod address_announcements;
pub mod directory;
pub mod dispatch;
pub mod gossip;
pub mod network;
pub mod pause;
