//! Services that keep what must last: table, object store, weight store and host list.
//!
//! Everything that must be agreed or must last goes through the table by conditional
//! transactions. Each service is a trait; the HTTP clients, the implementations in memory and
//! the wrapper for budget, backoff and read-back all implement the same trait.

pub mod budget;
pub mod client;
pub mod error;
pub mod guarded;
pub mod hosts;
pub mod memory;
pub mod memory_services;
pub mod objects;
pub mod rows;
pub mod table;
pub mod timer;
pub mod weights;

pub use budget::BudgetOptions;
pub use budget::RateBudget;
pub use client::HttpHostList;
pub use client::HttpObjectStore;
pub use client::HttpOptions;
pub use client::HttpTable;
pub use client::HttpWeightStore;
pub use error::StoreError;
pub use guarded::GuardContext;
pub use guarded::Guarded;
pub use guarded::RetryOptions;
pub use hosts::HostEntry;
pub use hosts::HostList;
pub use hosts::HostState;
pub use memory::CallFault;
pub use memory::MemoryTable;
pub use memory_services::MemoryHostList;
pub use memory_services::MemoryObjectStore;
pub use memory_services::MemoryWeightStore;
pub use objects::ObjectReply;
pub use objects::ObjectRequest;
pub use objects::ObjectStore;
pub use rows::Rows;
pub use rows::TableCounters;
pub use table::Check;
pub use table::CommitOutcome;
pub use table::Put;
pub use table::Row;
pub use table::RowVersion;
pub use table::Table;
pub use table::TableReply;
pub use table::TableRequest;
pub use table::Transaction;
pub use timer::ManualTimer;
pub use timer::SystemTimer;
pub use timer::Timer;
pub use weights::WeightStore;

/// Future of a call to the platform; every process runs on one thread.
pub type StoreFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;
