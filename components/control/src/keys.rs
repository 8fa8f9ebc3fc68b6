//! Keys of the table's rows.

use types::Revision;

/// Key of the row that holds the revision of the latest change.
pub const HEAD: &str = "head";
/// Key prefix of log records.
pub const LOG: &str = "log/";
/// Key prefix of profiles.
pub const PROFILE: &str = "profile/";
/// Key prefix of services.
pub const SERVICE: &str = "service/";
/// Key prefix of targets.
pub const TARGET: &str = "target/";
/// Key prefix of orders.
pub const ORDER: &str = "order/";
/// Key prefix of leases.
pub const LEASE: &str = "lease/";

/// Key of a log record. The revision is zero-padded, so that keys sort by revision.
#[must_use]
pub fn log(revision: Revision) -> String {
    format!("{LOG}{revision:020}")
}

/// Key of a profile.
#[must_use]
pub fn profile(name: &str) -> String {
    format!("{PROFILE}{name}")
}

/// Key of a service.
#[must_use]
pub fn service(name: &str) -> String {
    format!("{SERVICE}{name}")
}

/// Key of a target.
#[must_use]
pub fn target(name: &str) -> String {
    format!("{TARGET}{name}")
}

/// Key of the latest order to a target.
#[must_use]
pub fn order(target: &str) -> String {
    format!("{ORDER}{target}")
}

/// Key of a lease.
#[must_use]
pub fn lease(scope: &str) -> String {
    format!("{LEASE}{scope}")
}
