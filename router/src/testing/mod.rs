//! Test doubles of engines, controllers and clients, and simulations in virtual time.

pub mod client_response;
pub mod controller;
pub mod early_engine;
pub mod engine;
pub mod engine_responses;
pub mod router;
pub mod single_home;
pub mod subscription_world;
