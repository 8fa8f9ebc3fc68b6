//! The platform's services: table, object store, weight store and host list.
//!
//! Everything that must be agreed or must last goes through the table by conditional
//! transactions. Each service is a trait; the HTTP clients, the in-memory fakes and the
//! wrappers for budget, back-off and read-back all implement the same trait.

pub mod error;
pub mod hosts;
pub mod objects;
pub mod table;
pub mod weights;

pub use error::PlatformError;
pub use hosts::HostEntry;
pub use hosts::HostList;
pub use hosts::HostState;
pub use objects::ObjectStore;
pub use table::Check;
pub use table::CommitOutcome;
pub use table::Put;
pub use table::Row;
pub use table::RowVersion;
pub use table::Table;
pub use table::TableReply;
pub use table::TableRequest;
pub use table::Transaction;
pub use weights::WeightStore;

/// Future of a call to the platform; every process runs on one thread.
pub type PlatformFuture<'a, T> =
    std::pin::Pin<Box<dyn Future<Output = Result<T, PlatformError>> + 'a>>;
