//! The limit of one target, as answers and other processes state it.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::MemberId;
use crate::NamedRate;
use crate::Rate;

/// Answers in a row without a limit after which it has ended. A single one may come from a part of
/// the target that does not know of the limit.
const SILENT_ANSWERS: u32 = 2;

/// Orders what processes state about a target: later statements have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// One more than the highest number that the author knew.
    pub number: u64,
    /// Process that read the answer.
    pub author: MemberId,
}

/// Limit of one target.
#[derive(Debug, Clone, Copy)]
pub struct TargetLimit {
    rate: Option<Rate>,
    revision: Revision,
    /// When an answer or a notice last named the limit.
    named_at: Instant,
    silent_answers: u32,
}

impl TargetLimit {
    /// No limit.
    #[must_use]
    pub fn none(now: Instant) -> Self {
        Self {
            rate: None,
            revision: Revision::default(),
            named_at: now,
            silent_answers: 0,
        }
    }

    /// Limit in force, if there is one.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Revision of the limit in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an answer to a call that was made at `called_at`. Returns whether the limit changed.
    pub fn record_answer(
        &mut self,
        now: Instant,
        called_at: Instant,
        named: NamedRate,
        author: MemberId,
    ) -> bool {
        let is_current = called_at >= self.named_at;
        match (named, self.rate) {
            (NamedRate::Invalid, _) | (NamedRate::Absent, None) => false,
            (NamedRate::Absent, Some(_)) => {
                self.silent_answers += u32::from(is_current);
                self.silent_answers >= SILENT_ANSWERS && self.set(None, author)
            }
            (NamedRate::Limit(named), current) => {
                let is_raised = current.is_some_and(|current| named > current);
                if is_raised && !is_current {
                    return false;
                }
                self.named_at = now;
                self.silent_answers = 0;
                current != Some(named) && self.set(Some(named), author)
            }
        }
    }

    fn set(&mut self, rate: Option<Rate>, author: MemberId) -> bool {
        self.rate = rate;
        self.silent_answers = 0;
        self.revision = Revision {
            number: self.revision.number + 1,
            author,
        };
        true
    }

    /// Applies what another process states. Returns whether the limit changed.
    pub fn receive(&mut self, now: Instant, rate: Option<Rate>, revision: Revision) -> bool {
        if revision <= self.revision {
            return false;
        }
        let is_changed = self.rate != rate;
        self.rate = rate;
        self.revision = revision;
        self.named_at = now;
        self.silent_answers = 0;
        is_changed
    }
}
