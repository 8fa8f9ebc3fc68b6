//! Problem documents (RFC 9457).

use std::time::Duration;

use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use types::RunState;

/// Media type of a problem document.
const MEDIA_TYPE: &str = "application/problem+json";

/// Error response, readable by people and programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, for example `urn:chervilspool:overloaded`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary, the same for all problems of a type.
    pub title: String,
    /// HTTP status of the response.
    pub status: u16,
    /// Explanation of this occurrence, and how to correct it.
    pub detail: String,
    /// Header or body field with the error.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub field: Option<String>,
    /// Whether the request was executed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub run: Option<RunState>,
    /// Time after which a retry may succeed; `None` if a retry cannot help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// `kind` is the last part of the problem type, for example `overloaded`.
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

    /// Sets the header or body field with the error.
    #[must_use]
    pub fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub fn run(mut self, run: RunState) -> Self {
        self.run = Some(run);
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Head and body of the response. `Retry-After` is in whole seconds, rounded up.
    #[must_use]
    pub fn to_response(&self) -> (Response, Vec<u8>) {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::InternalServerError);
        let mut head = Response::new(status);
        head.insert_header("content-type", MEDIA_TYPE);
        if let Some(after_ms) = self.retry_after_ms {
            head.insert_header("retry-after", after_ms.div_ceil(1000).max(1).to_string());
        }
        (head, serde_json::to_vec(self).unwrap_or_default())
    }
}
