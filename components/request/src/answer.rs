//! Assembly of one answer from the chunks of its attempts.
//!
//! Bytes that callers have are never sent twice. A later attempt starts again at offset 0; its
//! bytes are held back until they have reproduced what callers already have.

use std::rc::Rc;

use types::Header;
use types::Headers;
use wire::AnswerDigest;
use wire::Digest;

use crate::retained::MemoryBudget;
use crate::retained::RetainedBody;

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// Other fields that callers get.
    pub headers: Headers,
}

impl AnswerHead {
    /// Whether bodies under both heads may be parts of the same representation. Other fields,
    /// such as `Date`, differ from attempt to attempt.
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

/// What became of a part of an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// New for the callers.
    New(Vec<u8>),
    /// Nothing new.
    Unchanged,
    /// Something before it is missing; the agent has to send from `received` again.
    Gap,
    /// It contradicts what callers already have, or its own digest.
    Mismatch,
}

/// Answer of one run, over all of its attempts.
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
    /// Keeps the bytes as well, for joiners and for storage, as far as the limits allow.
    #[must_use]
    pub fn retaining(budget: &MemoryBudget) -> Self {
        Self {
            retained: Some(Rc::new(RetainedBody::new(budget))),
            ..Self::default()
        }
    }

    /// Status and media type, once known.
    #[must_use]
    pub fn head(&self) -> Option<&AnswerHead> {
        self.head.as_ref()
    }

    /// Bytes of the current attempt.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.current.length()
    }

    /// All bytes so far, unless a limit was exceeded.
    #[must_use]
    pub fn retained(&self) -> Option<&[u8]> {
        self.retained.as_ref().map(|retained| retained.bytes())
    }

    /// The same bytes, to be held beyond the life of the run.
    pub(crate) fn share_retained(&self) -> Option<Rc<RetainedBody>> {
        self.retained.clone()
    }

    /// Bytes handed to callers.
    #[must_use]
    pub fn relayed(&self) -> u64 {
        self.relayed
    }

    /// A new attempt begins.
    pub fn restart(&mut self) {
        let previous = std::mem::take(&mut self.current);
        self.has_attempt_head = false;
        // An attempt that was lost while it still repeated the prefix does not shorten it.
        if previous.length() >= self.relayed && self.relayed > 0 {
            self.prefix = Some((self.relayed, previous.digest()));
        }
    }

    /// The attempt's head arrived. `New` (empty) if callers do not have one yet.
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

    /// Bytes of the attempt arrived.
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
        // Nobody else holds the bytes of an answer that still grows.
        let pushed = self.retained.as_mut().and_then(Rc::get_mut);
        if !pushed.is_some_and(|retained| retained.push(bytes)) {
            self.retained = None;
        }
    }

    /// The attempt's end arrived. `Unchanged` means that the answer is whole.
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
