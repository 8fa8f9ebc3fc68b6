//! What the callers' side asks of the entry behind it.

use async_channel::Receiver;
use types::Refusal;
use types::Reply;
use types::RequestId;
use types::ServiceKind;
use types::Submission;

/// Limits for requests to one service, from its profile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Engine or plain service.
    pub kind: ServiceKind,
    /// Largest accepted body.
    pub body_limit_bytes: u64,
    /// Largest accepted number of output tokens.
    pub output_limit_tokens: u32,
}

/// Whether this entry should get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Not stopping; `/healthz` fails otherwise.
    pub staying: bool,
    /// Has a configuration; `/readyz` fails otherwise.
    pub ready: bool,
}

/// The entry, as the callers' side sees it.
pub trait Gateway {
    /// Limits for a service.
    ///
    /// # Errors
    ///
    /// The refusal to answer with, if the service is unknown or the entry is not ready.
    fn limits(&self, service: &str) -> Result<CallerLimits, Refusal>;
    /// Hands a request over. Parts of the answer arrive on the channel, which closes after the
    /// last one.
    fn submit(&self, submission: Submission) -> (RequestId, Receiver<Reply>);
    /// The caller's socket took bytes of the answer.
    fn consumed(&self, request: RequestId, bytes: u64);
    /// The caller hung up before the end of the answer.
    fn hang_up(&self, request: RequestId);
    /// Whether this entry should get requests.
    fn health(&self) -> Health;
    /// Metrics in Prometheus text form.
    fn metrics(&self) -> String;
}
