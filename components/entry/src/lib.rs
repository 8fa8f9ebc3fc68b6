//! Daemon of an entry host: accepts requests from callers and routes them to targets.
//!
//! `core` is a state machine without I/O. `daemon` turns socket and timer events into its inputs
//! and executes its actions, all on one thread.

pub mod core;
mod daemon;
mod options;

pub use daemon::run;
