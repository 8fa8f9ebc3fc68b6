//! Settings of the daemons, from files in JSON with comments.
//!
//! A file with an unknown field, a missing field or a value that cannot work stops the start; the
//! error names file, line, field and the fix.
//!
//! These sections can be replaced while a daemon runs, without closing a connection: `keys`,
//! `operators`, `limits` and the names in `peers` of an entry; `keys`, `concurrency` and `log` of an agent. Everything
//! else needs a restart; [`EntrySettings::reloaded`] and [`AgentSettings::reloaded`] name the
//! field that does.

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
pub use load::Loaded;
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
pub use sections::Fault;
pub use sections::KeySettings;
pub use sections::Log;
pub use sections::LogFormat;
pub use sections::LogLevel;
pub use sections::OperatorSettings;
pub use sections::PlatformAddresses;
pub use sections::Secret;
pub use sections::Token;
