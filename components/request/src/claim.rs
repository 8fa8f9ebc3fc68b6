//! Claim rows: table records that prevent a non-idempotent request from running twice.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::base64::Base64;
use serde_with::serde_as;
use types::AttemptId;
use types::Headers;
use types::Incarnation;
use types::RequestId;
use types::Submission;
use types::TargetName;

/// Key prefix of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";
/// Key of the row with the epoch counter, written by the holder of the `sweep` lease.
pub const EPOCH_KEY: &str = "sweep-epoch";
/// Minimum length of an epoch. Claims expire by epoch number instead of time of day, so that
/// expiry does not depend on clocks of different hosts agreeing.
pub const EPOCH_MS: Duration = Duration::from_mins(1);
/// Largest answer body that is stored in the row; larger ones go to the object store.
pub const ROW_ANSWER_LIMIT_BYTES: usize = 64 << 10;
/// Largest answer body that is retained for resends. Agents retain no larger one either (their
/// `kept_answer_limit_bytes`), so resends could not get a larger one until it is stored, and an
/// entry with 128 MB of memory would have to hold all of it until then.
pub const RETAINED_ANSWER_LIMIT_BYTES: usize = 1 << 20;
/// Key prefix of stored answers in the object store.
const OBJECT_PREFIX: &str = "answer/";
/// Key prefix of claims of requests without an `Idempotency-Key`. No resend can find them, so
/// their answers are not stored.
pub const KEYLESS_PREFIX: &str = "claim/keyless-";

/// Execution state of the claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// An entry may dispatch it, or has dispatched it.
    Taken,
    /// It ran to completion.
    Done,
    /// It did not run, and will not run under this claim.
    Released,
    /// It may have run, and its outcome is unknown.
    Unknown,
}

/// Answer stored in the claim row for resends.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other header fields; absent in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Headers::is_empty")]
    pub headers: Headers,
    /// Target that answered.
    pub served_by: TargetName,
    /// Complete body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// Answer whose body is in the object store, under `ClaimRow::object_key`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// HTTP status code.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other header fields that are passed to callers.
    #[serde(default, skip_serializing_if = "Headers::is_empty")]
    pub headers: Headers,
    /// Target that answered.
    pub served_by: TargetName,
    /// Object key of the body.
    pub key: String,
    /// Length of the body.
    pub length_bytes: u64,
    /// BLAKE3 digest of the body, in hexadecimal.
    pub digest: String,
}

impl StoredObject {
    /// Whether `body` has the recorded length and digest.
    #[must_use]
    pub fn matches(&self, body: &[u8]) -> bool {
        body.len() as u64 == self.length_bytes && body_digest(body) == self.digest
    }

    /// Combines the head with the body that was read.
    #[must_use]
    pub fn to_answer(&self, body: Vec<u8>) -> StoredAnswer {
        StoredAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            headers: self.headers.clone(),
            served_by: self.served_by.clone(),
            body,
        }
    }
}

/// Value of a claim row.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// `work_digest` of the request; a request with the same key and another digest is refused.
    pub digest: String,
    /// Incarnation of the entry that took the claim.
    #[serde_as(as = "DisplayFromStr")]
    pub owner: Incarnation,
    /// Request that the attempt belongs to.
    #[serde_as(as = "DisplayFromStr")]
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Target that the attempt is for.
    pub target: TargetName,
    /// Incarnation of the target's agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// State of the claimed request.
    pub state: ClaimState,
    /// Answer of a `Done` request, if its body is at most `ROW_ANSWER_LIMIT_BYTES` long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
    /// Larger answer of a `Done` request. Written only after the object is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<StoredObject>,
    /// Token that is unique to the write, which identifies the write if its reply is lost.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
    /// Last epoch in which the row is valid; it is deleted after it.
    pub expires_epoch: u64,
    /// Number of the transaction that this row proves to be committed. It identifies the
    /// transaction together with `token`, because a write that is sent again keeps its token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proves: Option<u64>,
}

impl ClaimRow {
    /// Attempt that the claim was taken for.
    #[must_use]
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempt,
        }
    }

    /// Object key of the attempt's answer. An attempt of non-idempotent work has one answer, so the
    /// key is never used for other content. The key follows from the claim alone, so the deletion
    /// of the claim also finds the object of an entry that stopped before its row named the object.
    #[must_use]
    pub fn object_key(&self, claim_key: &str) -> String {
        let claim = claim_key.strip_prefix(CLAIM_PREFIX).unwrap_or(claim_key);
        let (request, attempt) = (self.request, self.attempt);
        format!("{OBJECT_PREFIX}{claim}/{request:032x}-{attempt}")
    }

    /// Whether there may be an object under `object_key`. At most one attempt of a claim ran, which
    /// is the one in the row.
    #[must_use]
    pub fn may_have_object(&self, claim_key: &str) -> bool {
        self.answer.is_none()
            && self.state != ClaimState::Released
            && !claim_key.starts_with(KEYLESS_PREFIX)
    }

    /// Whether the row contains the answer or refers to its object.
    #[must_use]
    pub fn has_answer(&self) -> bool {
        self.answer.is_some() || self.object.is_some()
    }

    /// Serialises the row to the JSON text that the table stores.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialisation fails only for maps with keys that are not strings; the row has no map.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Value of the row `EPOCH_KEY`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// Current epoch number.
    pub epoch: u64,
    /// Token that is unique to this write.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
}

/// Row key of a claim, a hash of the caller, the service and the `Idempotency-Key`.
#[must_use]
pub fn claim_key(submission: &Submission, key: &str) -> String {
    let parts = [
        submission.caller.as_bytes(),
        submission.work.service.as_bytes(),
        key.as_bytes(),
    ];
    format!("{CLAIM_PREFIX}{}", hash(&parts))
}

/// Digest of the method, path, media type and body of a request.
#[must_use]
pub fn work_digest(submission: &Submission) -> String {
    let work = &submission.work;
    hash(&[
        work.method.as_str().as_bytes(),
        work.path.as_bytes(),
        work.content_type.as_bytes(),
        &work.body,
    ])
}

/// Number of epochs that cover `retention_ms`. One is added because the epoch in which the claim is
/// written may end right after the write.
#[must_use]
pub fn retention_epochs(retention_ms: Duration) -> u64 {
    let epochs = retention_ms.as_millis().div_ceil(EPOCH_MS.as_millis());
    u64::try_from(epochs).unwrap_or(u64::MAX / 2) + 1
}

/// BLAKE3 digest of a stored body, in hexadecimal.
#[must_use]
pub fn body_digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}

fn hash(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
