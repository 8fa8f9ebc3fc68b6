//! A whole deployment on loopback, for chaos and for measurements. Never shipped.
//!
//! Agents and entries run as processes of their own: the program that uses this crate starts
//! itself again as a daemon. Stand-ins run as threads, since nothing has to happen to them that
//! their fault ports cannot do.

mod configuration;
pub mod daemon;
pub mod deployment;
pub mod gateways;
pub mod process;
pub mod standins;

pub use daemon::run_if_daemon;
pub use deployment::Deployment;
pub use deployment::Plan;
pub use deployment::call;
pub use gateways::GatewayBed;
pub use process::Process;
