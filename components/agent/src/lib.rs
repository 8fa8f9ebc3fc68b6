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
mod describe;
mod engine_monitor;
mod event;
mod hint_sources;
mod limits;
mod load;
mod log_event;
mod memory;
mod orders;
mod registration;
mod resume;
mod runs;
mod state_machine;
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
pub use limits::Limits;
pub use limits::TICK_MS;
pub use load::LoadReporter;
pub use log_event::LogEvent;
pub use memory::AttemptHistory;
pub use memory::Lookup;
pub use memory::Record;
pub use state_machine::Agent;
