//! Clients for the external services: table, object store, weight store and host list.
//!
//! State that must be durable or agreed between processes is stored in the table with conditional
//! transactions. Each service has a trait with an HTTP client and an in-memory implementation.
//! [`RetryingTable`] wraps any table to limit the rate of calls, retry them, and determine the
//! outcome of commits whose reply was lost.

pub mod client;
pub mod error;
pub mod hosts;
pub mod memory;
pub mod memory_services;
pub mod objects;
pub mod rate_limit;
pub mod retrying;
pub mod rows;
pub mod table;
pub mod timer;
pub mod weights;

pub use client::HttpHostList;
pub use client::HttpObjectStore;
pub use client::HttpOptions;
pub use client::HttpTable;
pub use client::HttpWeightStore;
pub use error::StoreError;
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
pub use rate_limit::RateLimiter;
pub use rate_limit::RateLimits;
pub use retrying::RetryContext;
pub use retrying::RetryOptions;
pub use retrying::RetryingTable;
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

/// Future of a call to a service. It is not `Send`, because every process is single-threaded.
pub type StoreFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;
