//! Gateway: serves callers by calling targets directly.
//!
//! Modules by life span: a *request* lives in [`core`], with [`routes`], [`admission`] and
//! [`placement`] deciding on it; a *process* has [`fleet`], [`prefixes`] and [`repeats`]. The
//! daemon in [`daemon`] does all I/O on one thread. What the platform and targets speak is behind
//! the traits in [`deployment`] and [`protocol`].

pub mod admission;
pub mod core;
pub mod daemon;
pub mod deployment;
pub mod events;
pub mod fleet;
pub mod history;
pub mod log;
pub mod note;
pub mod placement;
pub mod prefixes;
pub mod protocol;
pub mod repeats;
pub mod routes;
pub mod settings;
pub mod speed;

pub use crate::daemon::Adapter;
pub use crate::daemon::run;
pub use crate::settings::GatewaySettings;
