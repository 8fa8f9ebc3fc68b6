//! Problem documents (RFC 9457).

use std::time::Duration;

use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use types::RunState;

/// Media type of a problem document.
const MEDIA_TYPE: &str = "application/problem+json";

/// An answer that carries no result, for people and programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of problem, for example `urn:chervilspool:overloaded`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text, the same for every problem of a kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What went wrong this time, and what to do.
    pub detail: String,
    /// Field of the head or the body at fault.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub field: Option<String>,
    /// Whether the request ran.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub run: Option<RunState>,
    /// Time after which a resend makes sense; `None` if it cannot help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A problem of a kind, which is also the end of its `type`.
    #[must_use]
    pub fn new(status: u16, kind: &str, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:chervilspool:{kind}"),
            title: kind.replace('-', " "),
            status,
            detail: detail.into(),
            field: None,
            run: None,
            retry_after_ms: None,
        }
    }

    /// Names the field at fault.
    #[must_use]
    pub fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// States whether the request ran.
    #[must_use]
    pub fn run(mut self, run: RunState) -> Self {
        self.run = Some(run);
        self
    }

    /// States when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Head and body of the answer. `Retry-After` is in whole seconds, rounded up.
    #[must_use]
    pub fn to_answer(&self) -> (Response, Vec<u8>) {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut head = Response::new(status);
        head.insert_header("content-type", MEDIA_TYPE);
        if let Some(after_ms) = self.retry_after_ms {
            head.insert_header("retry-after", after_ms.div_ceil(1000).max(1).to_string());
        }
        (head, serde_json::to_vec(self).unwrap_or_default())
    }
}
