//! A complete deployment on loopback, for fault injection and benchmarks. Not part of a release.
//!
//! Agents, entries and gateways run as separate processes: the program that uses this crate starts
//! its own executable again as a daemon. Stand-ins run in the program itself, because all their
//! faults can be injected over HTTP or by a method call.

mod configuration;
pub mod daemon;
pub mod deployment;
pub mod gateways;
pub mod process;
pub mod raw_engine;
pub mod standins;

pub use daemon::run_if_daemon;
pub use deployment::Deployment;
pub use deployment::DeploymentOptions;
pub use deployment::call;
pub use gateways::GatewayTestbed;
pub use process::Process;
