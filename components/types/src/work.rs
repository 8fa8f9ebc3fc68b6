//! What a caller asks for.

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
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// PUT.
    Put,
    /// DELETE.
    Delete,
    /// POST.
    Post,
    /// PATCH.
    Patch,
}

impl Method {
    /// Whether HTTP defines the method as idempotent.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Post | Self::Patch)
    }

    /// Name on the wire.
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

/// Work for one target; the same for every attempt.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Service addressed.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Path below the service, with its query, for example `/v1/completions`.
    pub path: String,
    /// Media type of the body; empty without one.
    pub content_type: String,
    /// Other fields of the head that the target gets.
    pub headers: Headers,
    /// Body, passed on unchanged.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
    /// The caller asked for server-sent events.
    pub stream: bool,
    /// Model that the caller named; empty takes the profile's.
    pub model: String,
    /// Estimated prompt length.
    pub prompt_tokens: u32,
    /// Upper bound of the output.
    pub max_output_tokens: u32,
    /// Hash of the prompt's prefix after each whole cache piece.
    pub prefixes: Vec<u64>,
}

/// A request as the caller's side hands it over.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Who asks.
    pub caller: CallerName,
    /// What for.
    pub work: Work,
    /// `Idempotency-Key` of the request.
    pub key: Option<String>,
    /// Time left as the caller states it; the profile's deadline caps it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline_ms: Option<Duration>,
}
