//! Settings of the daemons, read from files in JSON with comments.
//!
//! A daemon does not start with a file that has an unknown field, lacks a required field or has an
//! invalid value. The error states the file, the line, the field and how to correct it.
//!
//! These fields can be reloaded while a daemon runs, without closing a connection: `keys`,
//! `operators`, `limits` and the names in `peers` of an entry; `keys`, `concurrency` and `log` of
//! an agent. All other fields need a restart; [`EntrySettings::reload`] and
//! [`AgentSettings::reload`] return an error that names the first of them that has changed.

mod agent;
mod entry;
mod load;
mod peer;
mod section;
mod sections;

pub use agent::AgentSettings;
pub use agent::Drain;
pub use agent::TargetSettings;
pub use entry::Addresses;
pub use entry::EntrySettings;
pub use entry::Intervals;
pub use entry::Limits;
pub use entry::Share;
pub use load::DaemonSettings;
pub use load::SettingsError;
pub use load::load;
pub use load::load_agent;
pub use load::load_entry;
pub use load::parse;
pub use load::reload_agent;
pub use load::reload_entry;
pub use peer::Peer;
pub use sections::CallerIdentity;
pub use sections::Daemon;
pub use sections::FieldError;
pub use sections::KeySettings;
pub use sections::Log;
pub use sections::LogFormat;
pub use sections::LogLevel;
pub use sections::OperatorSettings;
pub use sections::PlatformAddresses;
pub use sections::Secret;
pub use sections::Token;
