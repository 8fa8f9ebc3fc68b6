//! How requests and answers are written, on the callers' side and towards targets.
//!
//! An adapter implements [`Protocol`]; everything here speaks of what the fields hold.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Response;
use http_types::headers::Headers;
use smallvec::SmallVec;
use types::TargetName;

/// Part of a prompt that requests share, identified by its content.
pub type PartId = u64;
/// Id of one request, as its caller sent it.
pub type CallerRequestId = String;
/// Name under which an engine keeps the memory of a prompt for a transfer.
pub type TransferName = String;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity.
    pub id: PartId,
    /// Size.
    pub tokens: u32,
}

/// What a request asks of a model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelWork {
    /// Size of the prompt.
    pub prompt_tokens: u32,
    /// Largest size of the answer.
    pub output_limit_tokens: u32,
    /// Size of the answer that the caller expects, if it says so; right at the median.
    pub output_hint_tokens: Option<u32>,
    /// Parts of the prompt, in order; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl ModelWork {
    /// Expected size of the answer.
    #[must_use]
    pub fn output_tokens(&self) -> u32 {
        let limit = self.output_limit_tokens;
        self.output_hint_tokens
            .map_or(limit, |hint| hint.min(limit))
    }
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id.
    pub id: CallerRequestId,
    /// Method.
    pub method: http_types::Method,
    /// Path and query, as sent.
    pub target: String,
    /// Value of the `Host` field, as sent.
    pub host: String,
    /// Fields that the target gets, with their names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Time that the caller waits.
    pub patience_ms: Duration,
    /// What it asks of a model, if it does.
    pub work: Option<ModelWork>,
    /// Event after which the caller wants a stream to go on.
    pub resume_after: Option<String>,
}

/// Memory of a prompt that another engine has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// Engine that keeps it.
    pub holder: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// Name of the memory there.
    pub name: TransferName,
}

/// What a target is asked to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the prompt and keep its memory for a transfer.
    Prefill,
    /// Run it, from the memory of another engine if there is some.
    Run(Option<Transfer>),
}

/// A call of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Step.
    pub step: Step,
    /// Process that is meant; any other refuses.
    pub target: TargetName,
    /// Time that is left until the answer is of no use.
    pub left_ms: Duration,
    /// Rank at the engine; 0 is the most urgent.
    pub urgency: u8,
    /// Event after which the stream goes on, if not the caller's own choice.
    pub resume_after: Option<String>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts {
    /// A target answered, not something on the way.
    pub is_signed: bool,
    /// The target states that it has not run the request and will not.
    pub not_run: bool,
    /// The process at this address is not the one that was meant.
    pub is_other_process: bool,
}

/// What an engine says after it has read a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// Name of the memory.
    pub name: TransferName,
}

/// Encoding and decoding of heads.
pub trait Protocol {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// The problem to answer with.
    fn request(&self, request: http::Request) -> Result<CallerRequest, http::Problem>;

    /// Encodes the head of a call.
    fn call_head(&self, request: &CallerRequest, call: &Call) -> Vec<u8>;

    /// Whether an answer belongs to a request.
    fn is_own(&self, fields: &Headers, id: &CallerRequestId) -> bool;

    /// Facts of an answer's head.
    fn facts(&self, status: u16, fields: &Headers) -> AnswerFacts;

    /// Head of the answer that the caller gets for a target's answer.
    fn answer_head(&self, status: u16, fields: &Headers) -> Response;

    /// Decodes the answer to [`Step::Prefill`]; `None` if it is not one.
    fn prefilled(&self, body: &[u8]) -> Option<Prefilled>;

    /// Encodes the head of the call that frees the memory of a prompt.
    fn release_head(&self, transfer: &Transfer) -> Vec<u8>;

    /// Adds the request's id to an answer of our own.
    fn mark_own_answer(&self, head: &mut Response, id: &CallerRequestId);
}
