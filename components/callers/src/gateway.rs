//! Interface between the callers' API and the entry.

use async_channel::Receiver;
use types::Refusal;
use types::Reply;
use types::RequestId;
use types::ServiceKind;
use types::Submission;

/// Limits for requests to one service, set by its profile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Determines how requests are validated, and which header fields are forwarded.
    pub kind: ServiceKind,
    /// Largest accepted request body.
    pub body_limit_bytes: u64,
    /// Largest accepted number of output tokens of a request, over all its completions.
    pub output_limit_tokens: u32,
}

/// Health of this entry, for load balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// The entry is not shutting down; `/healthz` fails otherwise.
    pub is_live: bool,
    /// The entry has a configuration; `/readyz` fails otherwise.
    pub is_ready: bool,
}

/// Operations of the entry that the callers' API uses.
pub trait Gateway {
    /// Limits for requests to a service.
    ///
    /// # Errors
    ///
    /// The refusal to return to the caller, if the service is unknown or the entry is not ready.
    fn limits(&self, service: &str) -> Result<CallerLimits, Refusal>;
    /// Submits a request. The parts of the response arrive on the channel, which closes after the
    /// last one.
    fn submit(&self, submission: Submission) -> (RequestId, Receiver<Reply>);
    /// Reports bytes of a response body that were written to the caller's socket.
    fn consumed(&self, request: RequestId, bytes: u64);
    /// Reports that the caller disconnected before the end of the response.
    fn hang_up(&self, request: RequestId);
    /// Current health of this entry.
    fn health(&self) -> Health;
    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
