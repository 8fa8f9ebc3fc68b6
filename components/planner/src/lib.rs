//! Decides when an engine changes its role.
//!
//! [`Planner`] is a state machine without I/O for one service. It is told what is dispatched and
//! how it ends, and measures the mix as token-time with a fast and a slow estimate. Asked to
//! consider the targets, it gives a [`Decision`] that explains itself, also when nothing is done.
//! The holder of the service's lease writes the order; nothing here depends on who that is.

pub mod decision;
pub mod fluid;
mod measure;
pub mod mix;
pub mod plan;
pub mod settings;
mod targets;

pub use decision::Decision;
pub use decision::Figures;
pub use decision::Reason;
pub use decision::Verdict;
pub use fluid::Roles;
pub use mix::Class;
pub use mix::Demand;
pub use mix::Mix;
pub use plan::Ended;
pub use plan::Job;
pub use plan::Planner;
pub use settings::Mechanisms;
pub use settings::Settings;
