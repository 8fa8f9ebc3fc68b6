//! Versions of the configuration: profiles, services, targets, orders and the change log.
//!
//! Functions that plan transactions are pure; state machines emit table requests and are told
//! of their end.

pub mod command;

pub use command::Command;
pub use command::CommandError;
pub use command::CommandOutcome;
pub use command::CommandRequest;
