//! Stand-ins for the services that chervilspool depends on, for tests and the demo.
//!
//! Not part of a release.

pub mod engine;
pub mod feed_store;
pub mod forwarder;
pub mod plain;
pub mod platform;
pub mod ports;
mod priority_lock;
mod responses;
pub mod staged_engine;
