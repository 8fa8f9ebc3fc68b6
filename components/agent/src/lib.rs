//! The process beside a target. It takes attempts from entries, runs them at the target, relays
//! the answers, and passes orders on to the engine.
//!
//! All decisions are made by [`Agent`], a state machine without I/O. The daemon in [`daemon`]
//! moves bytes between sockets and the state machine, on one thread.

mod admission;
mod answer;
mod attempt;
mod attempts;
mod change;
mod cover;
pub mod daemon;
mod describe;
mod engine_view;
mod event;
mod limits;
mod load;
mod machine;
mod memory;
mod orders;
mod registration;
mod report;
mod resume;
mod row;
mod runs;
mod usage;

pub use answer::Answer;
pub use daemon::Parts;
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
pub use load::LoadBook;
pub use machine::Agent;
pub use memory::Fate;
pub use memory::Memory;
pub use memory::Recall;
pub use report::Note;
pub use usage::Tail;
