//! The control plane: knows which engines and daemons exist, holds and delivers the configuration.
mod balance;
mod batches;
pub mod boot;
mod control;
mod council;
mod crew;
mod disk;
mod duty;
mod errands;
mod event;
mod gossip;
mod hall;
mod join;
mod message;
mod news;
mod platform;
mod runner;
mod state;
