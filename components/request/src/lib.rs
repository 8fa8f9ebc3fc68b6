//! Life of a request: admission, claims, attempts and the assembly of its answer.
//!
//! A state machine without I/O. The entry feeds it events and carries out its actions.

pub mod action;
pub mod event;
pub mod router;

pub use action::Action;
pub use action::Outcome;
pub use action::Summary;
pub use event::Event;
pub use event::Terms;
pub use router::Choice;
pub use router::Need;
pub use router::Router;
pub use router::Settlement;
