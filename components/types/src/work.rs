//! Requests from callers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::Bytes;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::headers::Headers;
use crate::ids::CallerName;
use crate::ids::ServiceName;

/// HTTP method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// `GET`.
    Get,
    /// `HEAD`.
    Head,
    /// `PUT`.
    Put,
    /// `DELETE`.
    Delete,
    /// `POST`.
    Post,
    /// `PATCH`.
    Patch,
}

impl Method {
    /// Whether HTTP defines the method as idempotent.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Post | Self::Patch)
    }

    /// Method name as in an HTTP request line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Post => "POST",
            Self::Patch => "PATCH",
        }
    }
}

/// Request as dispatched to a target; identical for every attempt.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Service that the caller addressed.
    pub service: ServiceName,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path relative to the service, including the query, for example `/v1/completions`.
    pub path: String,
    /// Media type of the body; empty if the request has no `Content-Type`.
    pub content_type: String,
    /// Other header fields that are forwarded to the target.
    pub headers: Headers,
    /// Request body, forwarded unchanged.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
    /// Whether the caller asked for server-sent events.
    pub stream: bool,
    /// Model that the caller requested; if empty, the model of the profile is used.
    pub model: String,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Hash of the prompt prefix up to the end of each full cache piece, a block of the KV cache.
    pub prefixes: Vec<u64>,
}

/// Request as submitted by the HTTP front end.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Request for the target.
    pub work: Work,
    /// `Idempotency-Key` of the request.
    pub key: Option<String>,
    /// Deadline that the caller set, relative to now; capped by the deadline of the profile.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline_ms: Option<Duration>,
}
