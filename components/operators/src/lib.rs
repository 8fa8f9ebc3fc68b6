//! Operators' port of an entry, and the client that the command line uses.

pub mod control;

pub use control::Control;
pub use control::ControlFuture;
