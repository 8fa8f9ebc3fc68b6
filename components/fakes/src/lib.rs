//! In-memory fakes of the table, the object store, the host list and targets, in virtual time.
//!
//! The examples `soak` and `policy` run on them. They are no part of a release.

pub mod engine;
pub mod engine_cache;
pub mod engine_job;
pub mod engine_report;
pub mod hosts;
pub mod objects;
pub mod table;
pub mod target;
pub mod target_cache;
pub mod target_limit;
pub mod tasks;

pub use hosts::FakeHosts;
pub use objects::FakeObjects;
pub use objects::ObjectFaults;
pub use table::FakeTable;
pub use table::TableFaults;
pub use table::TablePort;
pub use target::ExecutionLog;
pub use target::FakeTarget;
pub use target_cache::CacheFaults;
pub use target_cache::TargetCache;
pub use tasks::Tasks;
pub use tasks::VirtualTimer;
