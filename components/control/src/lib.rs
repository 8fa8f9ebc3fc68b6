//! Versioned configuration: profiles, services, targets, orders and the change log.
//!
//! Transactions are planned by pure functions from rows that were read. The follower and the lease
//! are state machines without I/O: they return the table requests to make and receive the results
//! as events. [`Executor`] reads, plans and commits a change.

pub mod audit;
pub mod command;
mod conflict;
pub mod execute;
pub mod follower;
pub mod keys;
pub mod lease;
mod loading;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod plan;
pub mod rendezvous;
pub mod rows;
pub mod snapshot;
pub mod targets;

pub use audit::audit;
pub use command::Command;
pub use command::CommandError;
pub use command::CommandOutcome;
pub use command::CommandRequest;
pub use execute::Author;
pub use execute::Executor;
pub use follower::Follower;
pub use follower::FollowerAction;
pub use follower::FollowerEvent;
pub use follower::FollowerLag;
pub use follower::FollowerOptions;
pub use lease::HeldLease;
pub use lease::Lease;
pub use lease::LeaseAction;
pub use lease::LeaseEvent;
pub use operators::plan;
pub use operators::rows_needed;
pub use orders::PlanKept;
pub use orders::PlannedOrder;
pub use orders::state_after;
pub use peers::PeerAnswer;
pub use plan::ChangeMeta;
pub use plan::Draft;
pub use plan::Intent;
pub use plan::Planned;
pub use plan::plan_intent;
pub use rows::Head;
pub use rows::LeaseRow;
pub use rows::RowError;
pub use rows::RowSet;
pub use rows::RowsNeeded;
pub use rows::Versioned;
pub use rows::decode;
pub use snapshot::GapError;
pub use snapshot::Snapshot;
pub use targets::TargetError;
pub use targets::TargetUpdate;
