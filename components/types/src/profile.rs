//! Profiles: limits, deadlines and retry rules that apply to the requests of a service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::DurationSeconds;
use serde_with::serde_as;

use crate::ids::ProfileName;

/// Handling of a non-idempotent request without an `Idempotency-Key`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeylessPolicy {
    /// The request is refused without being run.
    #[default]
    Refuse,
    /// The request is run at most once; a resend counts as a new request.
    RunOnce,
}

/// Limits, deadlines and retry rules for requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// Name, unique within the deployment.
    pub name: ProfileName,
    /// Model that the engine must have loaded; empty for plain services.
    pub model: String,
    /// Version of the model's weights.
    pub version: String,
    /// Adapter that the engine must have loaded; empty for none.
    pub adapter: String,
    /// From 0, which is served first, to 9.
    pub priority: u8,
    /// Time limit from acceptance to the end of the answer; also caps the caller's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline_ms: Duration,
    /// Objective for the time to the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token_ms: Duration,
    /// Maximum number of requests that wait for a target, per entry.
    pub queue_limit: u32,
    /// Maximum number of concurrent requests from one entry to one target.
    pub concurrency_limit: u32,
    /// Maximum size of a request body.
    pub body_limit_bytes: u64,
    /// Maximum number of output tokens that a request may ask for.
    pub output_limit_tokens: u32,
    /// Maximum number of attempts per request, including the first.
    pub attempt_limit: u32,
    /// Whether a POST request may be retried.
    pub idempotent: bool,
    /// Handling of non-idempotent requests without an `Idempotency-Key`.
    pub keyless: KeylessPolicy,
    /// Time for which the answer to a non-idempotent request is kept for resends.
    #[serde_as(as = "DurationSeconds<u64>")]
    pub retention_s: Duration,
    /// Factor on the cost of a role change, in seconds; higher values lead to fewer changes.
    pub role_change_weight: f64,
    /// Factor on the prefill time that a cached prefix saves; 0 disables cache-aware routing.
    pub cache_affinity: f64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            name: String::new(),
            model: String::new(),
            version: String::new(),
            adapter: String::new(),
            priority: 4,
            deadline_ms: Duration::from_secs(30),
            first_token_ms: Duration::from_millis(410),
            queue_limit: 256,
            concurrency_limit: 32,
            body_limit_bytes: 8 << 20,
            output_limit_tokens: 8192,
            attempt_limit: 3,
            idempotent: true,
            keyless: KeylessPolicy::Refuse,
            retention_s: Duration::from_hours(24),
            role_change_weight: 1.0,
            cache_affinity: 1.0,
        }
    }
}

/// Invalid field of a profile.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Values that are accepted.
    pub fix: &'static str,
}

impl std::fmt::Display for ProfileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "profile field `{}`: {}", self.field, self.fix)
    }
}

impl std::error::Error for ProfileError {}

impl Profile {
    /// Checks that every field is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range, and its range.
    pub fn validate(&self) -> Result<(), ProfileError> {
        let checks: [(bool, &'static str, &'static str); 9] = [
            (is_name(&self.name), "name", "use 1 to 63 of a-z, 0-9 and -"),
            (self.priority <= 9, "priority", "use 0 (first) to 9"),
            (!self.deadline_ms.is_zero(), "deadline_ms", "use at least 1"),
            (
                self.queue_limit <= 65_536,
                "queue_limit",
                "use at most 65536",
            ),
            (
                self.concurrency_limit >= 1,
                "concurrency_limit",
                "use at least 1",
            ),
            (
                (1..=1 << 30).contains(&self.body_limit_bytes),
                "body_limit_bytes",
                "use 1 to 1073741824",
            ),
            (
                (1..=16).contains(&self.attempt_limit),
                "attempt_limit",
                "use 1 to 16",
            ),
            (
                self.role_change_weight >= 0.0 && self.role_change_weight.is_finite(),
                "role_change_weight",
                "use 0 or more",
            ),
            (
                self.cache_affinity >= 0.0 && self.cache_affinity.is_finite(),
                "cache_affinity",
                "use 0 or more",
            ),
        ];
        match checks.into_iter().find(|(is_valid, ..)| !is_valid) {
            Some((_, field, fix)) => Err(ProfileError { field, fix }),
            None => Ok(()),
        }
    }
}

/// Whether a string is a valid name of a profile, service or target: 1 to 63 of `a-z`, `0-9` and
/// `-`, so that it can be used in paths and row keys.
#[must_use]
pub fn is_name(text: &str) -> bool {
    (1..=63).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
