//! The agent: a proxy that runs on the host of each target. It accepts attempts from entries, runs
//! them at the target, relays the answers, and sends orders to the engine.
//!
//! [`Agent`] is a state machine without I/O that makes all decisions. The daemon in [`daemon`]
//! performs the I/O on one thread.

mod admission;
mod answer;
mod attempt;
mod attempts;
mod change;
pub mod daemon;
mod engine_monitor;
mod event;
mod hint_sources;
mod history;
mod limits;
mod load;
mod log_event;
mod orders;
mod rate_limit;
mod registration;
mod resume;
mod runs;
mod state_machine;
mod target_load;
mod target_row;
mod usage;

pub use daemon::DaemonConfig;
pub use daemon::run;
pub use daemon::serve;
pub use event::Action;
pub use event::ConnectionId;
pub use event::EngineLoad;
pub use event::EngineState;
pub use event::Event;
pub use event::ExitReason;
pub use event::OperationId;
pub use event::OrderOutcome;
pub use event::RunId;
pub use event::TargetEvent;
pub use history::AttemptHistory;
pub use history::Lookup;
pub use history::Record;
pub use limits::Limits;
pub use limits::TICK_MS;
pub use load::LoadReporter;
pub use log_event::LogEvent;
pub use state_machine::Agent;
