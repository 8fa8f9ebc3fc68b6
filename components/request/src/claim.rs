//! The claim of a non-idempotent request, as it stands in the table.

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

/// Start of the keys of all claim rows.
pub const CLAIM_PREFIX: &str = "claim/";
/// Row that counts epochs, written by the holder of the `sweep` lease.
pub const EPOCH_KEY: &str = "sweep-epoch";
/// Least length of an epoch. Claims expire by counting epochs, because the clocks of two hosts
/// are never compared.
pub const EPOCH_MS: Duration = Duration::from_mins(1);
/// Largest answer that is stored in the row; a larger one goes to the object store.
pub const ROW_ANSWER_LIMIT_BYTES: usize = 64 << 10;
/// Largest answer that is kept for resends. Agents keep no larger one either (their
/// `kept_answer_limit_bytes`), so a larger one could not be given to resends until it is stored,
/// and an entry with 128 MB must hold it whole until then.
pub const KEPT_ANSWER_LIMIT_BYTES: usize = 1 << 20;
/// Start of the keys of stored answers in the object store.
const OBJECT_PREFIX: &str = "answer/";
/// Start of the keys of claims that no resend can find; their answers are not stored.
pub const KEYLESS_PREFIX: &str = "claim/keyless-";

/// What is known of the claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// An entry may dispatch it, or has done so.
    Taken,
    /// It ran to its end.
    Done,
    /// It was not run and will not be under this claim.
    Released,
    /// It may have run, and its outcome is lost.
    Unknown,
}

/// Answer kept for resends.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other fields of its head; rows of earlier releases have none.
    #[serde(default, skip_serializing_if = "Headers::is_empty")]
    pub headers: Headers,
    /// Target that answered.
    pub served_by: TargetName,
    /// Whole body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

/// Answer kept in the object store, under `ClaimRow::object_key`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other fields of the head that the caller gets.
    #[serde(default, skip_serializing_if = "Headers::is_empty")]
    pub headers: Headers,
    /// Target that answered.
    pub served_by: TargetName,
    /// Key of the body.
    pub key: String,
    /// Length of the body.
    pub length_bytes: u64,
    /// BLAKE3 digest of the body in hex.
    pub digest: String,
}

impl StoredObject {
    /// Whether these bytes are the whole body.
    #[must_use]
    pub fn matches(&self, body: &[u8]) -> bool {
        body.len() as u64 == self.length_bytes && body_digest(body) == self.digest
    }

    /// The answer with its body.
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
    /// Digest of what was asked; the same key with another one is refused.
    pub digest: String,
    /// Run of the entry that took the claim.
    #[serde_as(as = "DisplayFromStr")]
    pub owner: Incarnation,
    /// Request that the attempt belongs to.
    #[serde_as(as = "DisplayFromStr")]
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Target that the attempt is for.
    pub target: TargetName,
    /// Run of the target's agent.
    #[serde_as(as = "DisplayFromStr")]
    pub incarnation: Incarnation,
    /// What is known.
    pub state: ClaimState,
    /// Whole answer of a request that is done, if it is not above `ROW_ANSWER_LIMIT_BYTES`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<StoredAnswer>,
    /// Larger answer of a request that is done. Written only after the object is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<StoredObject>,
    /// Unique to the write, to recognise it when its reply is lost.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
    /// Epoch from which the row may be deleted.
    pub expires_epoch: u64,
    /// Number of the transaction that this row proves. With `token` it is unique to that
    /// transaction: a write that is sent again in another one keeps its token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proves: Option<u64>,
}

impl ClaimRow {
    /// Attempt that the claim names.
    #[must_use]
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            request: self.request,
            number: self.attempt,
        }
    }

    /// Key of the attempt's answer in the object store. An attempt of non-idempotent work has one
    /// answer, so the key is never used for other content, and it is known before the row names
    /// an object: the deletion of the claim finds objects of entries that died before that.
    #[must_use]
    pub fn object_key(&self, claim_key: &str) -> String {
        let claim = claim_key.strip_prefix(CLAIM_PREFIX).unwrap_or(claim_key);
        let (request, attempt) = (self.request, self.attempt);
        format!("{OBJECT_PREFIX}{claim}/{request:032x}-{attempt}")
    }

    /// Whether there may be an object under `object_key`. At most one attempt of a claim ran, and
    /// it is the one that the row names.
    #[must_use]
    pub fn may_have_object(&self, claim_key: &str) -> bool {
        self.answer.is_none()
            && self.state != ClaimState::Released
            && !claim_key.starts_with(KEYLESS_PREFIX)
    }

    /// Whether the row has the answer or says where it is.
    #[must_use]
    pub fn has_answer(&self) -> bool {
        self.answer.is_some() || self.object.is_some()
    }

    /// JSON text.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Only maps with keys that are not strings fail to serialise, and there are none.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Value of the row `EPOCH_KEY`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// Number of the epoch.
    pub epoch: u64,
    /// Unique to the write.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u128,
}

/// Row key of a claim: hash of caller, service and `Idempotency-Key`.
#[must_use]
pub fn claim_key(submission: &Submission, key: &str) -> String {
    let parts = [
        submission.caller.as_bytes(),
        submission.work.service.as_bytes(),
        key.as_bytes(),
    ];
    format!("{CLAIM_PREFIX}{}", hash(&parts))
}

/// Digest of what was asked: method, path, media type and body.
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

/// Epochs that a claim is kept for. The epoch of the write may end at once, hence one more.
#[must_use]
pub fn epochs_kept(retention_ms: Duration) -> u64 {
    let epochs = retention_ms.as_millis().div_ceil(EPOCH_MS.as_millis());
    u64::try_from(epochs).unwrap_or(u64::MAX / 2) + 1
}

/// Digest of the body of a stored answer.
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
