//! Plans role changes of inference engines.
//!
//! [`Planner`] is a state machine without I/O for one service. It receives each dispatch and the
//! end of each attempt, and estimates the demand in token-time with two exponentially decaying
//! averages, a fast and a slow one. [`Planner::consider`] returns a [`Decision`] with the reason
//! and the figures behind it, also when no role changes. The holder of the service's lease writes
//! the order.

pub mod capacity;
pub mod decision;
mod evaluation;
pub mod mix;
pub mod plan;
pub mod settings;
mod targets;

pub use capacity::RoleCounts;
pub use decision::Decision;
pub use decision::Figures;
pub use decision::Reason;
pub use decision::Verdict;
pub use mix::Class;
pub use mix::Demand;
pub use mix::Mix;
pub use plan::AttemptOutcome;
pub use plan::Planner;
pub use plan::RequestWork;
pub use settings::Mechanisms;
pub use settings::Settings;
