//! Request lifecycle at an entry: admission, idempotency claims, dispatch, retries and the assembly
//! of answers.
//!
//! The crate is a state machine without I/O. The entry passes in events and carries out the actions
//! that each event returns.

pub mod action;
pub mod answer;
pub mod batch;
pub mod budget;
pub mod claim;
mod claims;
mod connections;
mod dispatch;
pub mod event;
mod finish;
pub mod hang_ups;
mod objects;
mod outcomes;
mod parts;
pub mod queue;
mod refusal;
mod relay;
mod replay;
pub mod requests;
pub mod retained;
pub mod router;
mod run;
mod submit;
pub mod sweep;
mod takeover;
mod tokens;
pub mod wait_estimate;
pub mod window;

pub use action::Action;
pub use action::AttemptEnd;
pub use action::AttemptSummary;
pub use action::Outcome;
pub use action::Summary;
pub use event::Event;
pub use event::ServiceConfig;
pub use requests::Requests;
pub use router::AttemptResult;
pub use router::Choice;
pub use router::Requirements;
pub use router::Router;
pub use sweep::Sweep;
pub use sweep::SweepAction;
pub use sweep::SweepCall;
pub use sweep::SweepEvent;
