//! Latest requests that have ended, for `explain`.

use std::collections::VecDeque;
use std::rc::Rc;

use request::Summary;
use types::RequestId;

/// Requests kept; a few hundred bytes each.
const JOURNAL_REQUESTS: usize = 4096;

/// Ring of ended requests.
#[derive(Debug, Default)]
pub struct Journal {
    entries: VecDeque<(RequestId, Rc<Summary>)>,
}

impl Journal {
    /// Adds a request and forgets the oldest one beyond the limit.
    pub fn push(&mut self, request: RequestId, summary: Rc<Summary>) {
        if self.entries.len() == JOURNAL_REQUESTS {
            self.entries.pop_front();
        }
        self.entries.push_back((request, summary));
    }

    /// Finds a request.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<&Summary> {
        self.entries
            .iter()
            .rev()
            .find(|(id, _)| *id == request)
            .map(|(_, summary)| summary.as_ref())
    }
}
