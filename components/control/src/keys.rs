//! Keys of the table's rows.

use types::Revision;

/// Row that holds the revision of the latest change.
pub const HEAD: &str = "head";
/// Start of the keys of log records.
pub const LOG: &str = "log/";
/// Start of the keys of profiles.
pub const PROFILE: &str = "profile/";
/// Start of the keys of services.
pub const SERVICE: &str = "service/";
/// Start of the keys of targets.
pub const TARGET: &str = "target/";
/// Start of the keys of orders.
pub const ORDER: &str = "order/";
/// Start of the keys of leases.
pub const LEASE: &str = "lease/";

/// Log record of a revision. Padded, so that the order of keys is the order of revisions.
#[must_use]
pub fn log(revision: Revision) -> String {
    format!("{LOG}{revision:020}")
}

/// Row of a profile.
#[must_use]
pub fn profile(name: &str) -> String {
    format!("{PROFILE}{name}")
}

/// Row of a service.
#[must_use]
pub fn service(name: &str) -> String {
    format!("{SERVICE}{name}")
}

/// Row of a target.
#[must_use]
pub fn target(name: &str) -> String {
    format!("{TARGET}{name}")
}

/// Row of the latest order to a target.
#[must_use]
pub fn order(target: &str) -> String {
    format!("{ORDER}{target}")
}

/// Row of a lease.
#[must_use]
pub fn lease(scope: &str) -> String {
    format!("{LEASE}{scope}")
}
