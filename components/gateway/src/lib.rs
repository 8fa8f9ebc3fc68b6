//! Gateway: a reverse proxy that routes callers' requests directly to targets.
//!
//! [`core`] holds the state of each request and decides with [`routes`], [`admission`] and
//! [`placement`]. State that outlives a request is in [`fleet`], [`health`], [`peers`],
//! [`prefixes`] and [`retries`]. The daemon in [`daemon`] does all I/O on one thread. The protocols
//! of the platform and of the targets are behind the traits in [`deployment`] and [`protocol`].

pub mod admission;
pub mod core;
pub mod daemon;
pub mod deployment;
pub mod events;
pub mod fleet;
pub mod health;
pub mod log;
pub mod log_event;
pub mod peers;
pub mod placement;
pub mod prefixes;
pub mod protocol;
pub mod request_history;
pub mod retries;
pub mod routes;
pub mod settings;
pub mod speed;

pub use crate::daemon::Adapter;
pub use crate::daemon::run;
pub use crate::settings::GatewaySettings;
