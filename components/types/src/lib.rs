//! Data types shared by the components: ids, time, profiles, targets, orders, requests and load.
//!
//! This crate does no I/O and holds no state. It contains only types that at least two components
//! exchange or have in common.

pub mod change;
pub mod clock;
pub mod headers;
pub mod ids;
pub mod load;
pub mod order;
pub mod profile;
pub mod reply;
pub mod service;
pub mod target;
pub mod turn;
pub mod work;

pub use change::Change;
pub use change::ChangeBody;
pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use headers::HEADER_BYTES_LIMIT;
pub use headers::HEADER_COUNT_LIMIT;
pub use headers::Header;
pub use headers::Headers;
pub use headers::HeadersError;
pub use ids::AttemptId;
pub use ids::CallerName;
pub use ids::DataCentre;
pub use ids::FencingNumber;
pub use ids::HostName;
pub use ids::Incarnation;
pub use ids::OrderNumber;
pub use ids::ProfileName;
pub use ids::RequestId;
pub use ids::Revision;
pub use ids::ServiceName;
pub use ids::TargetName;
pub use ids::request_id;
pub use load::CacheEvent;
pub use load::LoadReport;
pub use order::Order;
pub use order::OrderKind;
pub use profile::KeylessPolicy;
pub use profile::Profile;
pub use profile::ProfileError;
pub use reply::Refusal;
pub use reply::RefusalReason;
pub use reply::Reply;
pub use reply::RunState;
pub use reply::Usage;
pub use service::Service;
pub use service::ServiceKind;
pub use target::LoadedModel;
pub use target::Role;
pub use target::Target;
pub use target::TargetState;
pub use turn::Turn;
pub use work::Method;
pub use work::Submission;
pub use work::Work;
