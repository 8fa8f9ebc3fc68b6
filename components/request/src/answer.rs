//! Assembly of one answer from the chunks of its attempts.
//!
//! Callers receive every byte at most once. A later attempt starts again at offset 0; its bytes are
//! compared with the prefix that callers already have, by digest, and relayed only beyond it.

use std::rc::Rc;

use types::Header;
use types::Headers;
use wire::AnswerDigest;
use wire::Digest;

use crate::retained::MemoryBudget;
use crate::retained::RetainedBody;

/// Status and header fields of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other header fields that are passed to callers.
    pub headers: Headers,
}

impl AnswerHead {
    /// Whether both heads describe the same representation, so that their bodies can be joined.
    /// Other fields, such as `Date`, may differ between attempts.
    fn is_same_representation(&self, other: &Self) -> bool {
        let describes_content = |header: &&Header| {
            header.name.starts_with("content-")
                || matches!(header.name.as_str(), "etag" | "last-modified" | "location")
        };
        self.status == other.status
            && self.content_type == other.content_type
            && (self.headers.iter().filter(describes_content))
                .eq(other.headers.iter().filter(describes_content))
    }
}

/// Effect of a received part on the assembled answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// Bytes to relay to the callers.
    New(Vec<u8>),
    /// Nothing to relay.
    Unchanged,
    /// An earlier part is missing; the agent has to resume at offset `received`.
    Gap,
    /// The part differs from what callers already have, or from its own digest.
    Mismatch,
}

/// Answer of one run, assembled over all of its attempts.
#[derive(Default)]
pub struct Answer {
    head: Option<AnswerHead>,
    has_attempt_head: bool,
    current: AnswerDigest,
    relayed: u64,
    prefix: Option<(u64, Digest)>,
    retained: Option<Rc<RetainedBody>>,
}

impl Answer {
    /// Starts an answer whose body is retained for resends and storage, as far as the limits allow.
    #[must_use]
    pub fn retaining(budget: &MemoryBudget) -> Self {
        Self {
            retained: Some(Rc::new(RetainedBody::new(budget))),
            ..Self::default()
        }
    }

    /// Head of the first attempt that sent one.
    #[must_use]
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Number of body bytes received from the current attempt.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.current.length()
    }

    /// The body so far; `None` if it is not retained or exceeded a limit.
    #[must_use]
    pub fn retained(&self) -> Option<&[u8]> {
        self.retained.as_ref().map(|retained| retained.bytes())
    }

    /// Shares the retained body, which then outlives the run.
    pub(crate) fn share_retained(&self) -> Option<Rc<RetainedBody>> {
        self.retained.clone()
    }

    /// Number of body bytes relayed to callers.
    #[must_use]
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Starts the answer of a new attempt.
    pub fn restart(&mut self) {
        let previous = std::mem::take(&mut self.current);
        self.has_attempt_head = false;
        // If the attempt ended before it had repeated the whole prefix, the known prefix remains.
        if previous.length() >= self.relayed && self.relayed > 0 {
            self.prefix = Some((self.relayed, previous.digest()));
        }
    }

    /// Receives the head of the attempt. Returns an empty `New` if callers have no head yet.
    pub fn receive_head(&mut self, head: AnswerHead) -> Progress {
        self.has_attempt_head = true;
        match &self.head {
            None => {
                self.head = Some(head);
                Progress::New(Vec::new())
            }
            Some(known) if known.is_same_representation(&head) => Progress::Unchanged,
            Some(_) => Progress::Mismatch,
        }
    }

    /// Receives body bytes of the attempt, starting at `offset`.
    pub fn receive_chunk(&mut self, offset: u64, mut bytes: Vec<u8>) -> Progress {
        let received = self.received();
        if !self.has_attempt_head || offset > received {
            return Progress::Gap;
        }
        let known = usize::try_from(received - offset).unwrap_or(usize::MAX);
        if bytes.len() <= known {
            return Progress::Unchanged;
        }
        bytes.drain(..known);
        self.append_new(bytes)
    }

    fn append_new(&mut self, mut bytes: Vec<u8>) -> Progress {
        if let Some((length, digest)) = self.prefix {
            let missing = length - self.received();
            let repeated = usize::try_from(missing).map_or(bytes.len(), |n| n.min(bytes.len()));
            self.current.push(&bytes[..repeated]);
            bytes.drain(..repeated);
            if self.received() == length {
                if self.current.digest() != digest {
                    return Progress::Mismatch;
                }
                self.prefix = None;
            }
        }
        if bytes.is_empty() {
            return Progress::Unchanged;
        }
        self.current.push(&bytes);
        self.relayed += bytes.len() as u64;
        self.retain_bytes(&bytes);
        Progress::New(bytes)
    }

    fn retain_bytes(&mut self, bytes: &[u8]) {
        // The body is shared only once the answer is complete, so `get_mut` succeeds until then.
        let pushed = self.retained.as_mut().and_then(Rc::get_mut);
        if !pushed.is_some_and(|retained| retained.push(bytes)) {
            self.retained = None;
        }
    }

    /// Receives the end of the attempt. Returns `Unchanged` if the answer is complete.
    #[must_use]
    pub fn receive_end(&self, length: u64, digest: &Digest) -> Progress {
        if !self.has_attempt_head || self.received() < length {
            return Progress::Gap;
        }
        if self.received() > length || self.prefix.is_some() || self.current.digest() != *digest {
            return Progress::Mismatch;
        }
        Progress::Unchanged
    }
}
