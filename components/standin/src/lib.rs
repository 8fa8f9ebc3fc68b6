//! Stand-ins for everything outside the system, for tests and the demo. Never shipped.

mod answers;
pub mod engine;
pub mod feed_store;
pub mod forwarder;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod staged_engine;
mod turns;
