//! Encoding of requests and answers, towards callers and towards targets.
//!
//! An adapter implements [`Protocol`] for one platform. The types here hold the decoded values and
//! are independent of the platform's header fields.

use std::net::SocketAddr;
use std::time::Duration;

use builds::Build;
use http_types::Response;
use http_types::headers::Headers;
use limits::Statement;
use smallvec::SmallVec;
use types::TargetName;

use crate::fleet::TargetKey;

/// Id of a part of a prompt, derived from its content; equal parts of two prompts have the same id.
pub type PartId = u64;
/// Hash of all that makes a request the same when it comes again: method, host, path, caller and
/// body.
pub type Fingerprint = u64;
/// Request id that the caller sent.
pub type CallerRequestId = String;
/// Handle under which an engine holds the KV cache of a prompt for a transfer.
pub type KvHandle = String;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: PartId,
    /// Length of the part.
    pub tokens: u32,
}

/// Sizes of a model request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelWork {
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Largest length of the answer.
    pub output_limit_tokens: u32,
    /// Length of the answer that the caller expects, if it gives one; accurate at the median.
    pub output_hint_tokens: Option<u32>,
    /// Parts of the prompt, in order; the last one is not shared with other requests.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl ModelWork {
    /// Expected length of the answer.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        let limit = self.output_limit_tokens;
        self.output_hint_tokens
            .map_or(limit, |hint| hint.min(limit))
    }
}

/// A decoded request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id, used in logs and passed on to targets.
    pub id: CallerRequestId,
    /// HTTP method.
    pub method: http_types::Method,
    /// Path and query, as sent by the caller.
    pub target: String,
    /// Value of the `Host` field, as sent by the caller.
    pub host: String,
    /// Header fields to forward to the target, with lower-case names.
    pub fields: Vec<(String, String)>,
    /// Body to forward.
    pub body: Vec<u8>,
    /// Timeout of the caller.
    pub timeout_ms: Duration,
    /// Equal for requests that differ only in their ids and timeouts.
    pub fingerprint: Fingerprint,
    /// Sizes of a model request; `None` for other requests.
    pub work: Option<ModelWork>,
    /// Id of the event after which the caller resumes a stream.
    pub resume_after: Option<String>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumed_request: Option<CallerRequestId>,
}

/// KV cache of a prompt, held by the engine that ran the prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Engine that holds it.
    pub source: TargetName,
    /// Run of that engine.
    pub process: TargetKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Build of that engine.
    pub build: Option<Build>,
    /// Handle of the KV cache on that engine.
    pub handle: KvHandle,
}

/// Step of a request that a target is called for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Run the prefill and hold the KV cache for a transfer.
    Prefill,
    /// Run the request, with the KV cache of another engine if one ran the prefill.
    Run(Option<Transfer>),
}

/// A call of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Step to carry out.
    pub step: Step,
    /// Target that the call is meant for; another process at its address refuses.
    pub target: TargetName,
    /// Time left until the request's deadline.
    pub time_left_ms: Duration,
    /// Priority at the engine, from 0, the highest, to 9.
    pub priority: u8,
    /// Id of the event after which an interrupted stream is resumed; overrides the caller's.
    pub resume_after: Option<String>,
}

/// Information decoded from the head of a target's answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerInfo {
    /// The answer comes from a target and not from an intermediary.
    pub is_signed: bool,
    /// The target states that the request has not run and will not.
    pub is_not_run: bool,
    /// Another process than the called target listens at the address.
    pub is_other_process: bool,
    /// What the target says of itself.
    pub statement: Statement,
}

/// Answer of an engine to a prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResult {
    /// Handle of the KV cache.
    pub handle: KvHandle,
}

/// Encoding and decoding of message heads for one platform.
pub trait Protocol {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// The problem with which the request is refused.
    fn request(&self, request: http::Request) -> Result<CallerRequest, http::Problem>;

    /// Encodes the head of a call.
    fn call_head(&self, request: &CallerRequest, call: &Call) -> Vec<u8>;

    /// Id of the request that an answer is for, if it has one; guards against mixed-up connections.
    fn answered_request<'a>(&self, fields: &'a Headers) -> Option<&'a str>;

    /// Decodes the head of a target's answer.
    fn answer_info(&self, status: u16, fields: &Headers) -> AnswerInfo;

    /// Head of the caller's answer, made from that of the target.
    fn answer_head(&self, status: u16, fields: &Headers) -> Response;

    /// Decodes the answer to [`Step::Prefill`]; `None` if it is invalid.
    fn prefill_result(&self, body: &[u8]) -> Option<PrefillResult>;

    /// Encodes the head of the call that releases the KV cache of a prompt.
    fn release_head(&self, transfer: &Transfer) -> Vec<u8>;

    /// Adds the request id to an answer that the gateway generated itself.
    fn add_request_id(&self, head: &mut Response, id: &CallerRequestId);
}
