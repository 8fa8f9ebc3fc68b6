//! The daemon on an entry host: accepts callers' requests and sees them answered.
//!
//! `core` holds the decisions, a state machine without I/O. `daemon` turns sockets and timers
//! into its events and carries out its actions, all on one thread.

pub mod core;
mod daemon;
mod options;

pub use daemon::run;
