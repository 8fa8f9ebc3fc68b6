//! Callers' side of an entry: HTTP requests in, answers and problem documents out.

pub mod gateway;

pub use gateway::CallerLimits;
pub use gateway::Gateway;
pub use gateway::Health;
