//! History of completed requests, for `explain`.

use std::collections::VecDeque;
use std::rc::Rc;

use request::Summary;
use types::RequestId;

/// Maximum number of requests; each takes a few hundred bytes.
const HISTORY_LIMIT: usize = 4096;

/// Summaries of the latest completed requests, oldest first.
#[derive(Debug, Default)]
pub struct RequestHistory {
    requests: VecDeque<(RequestId, Rc<Summary>)>,
}

impl RequestHistory {
    /// Adds a request; drops the oldest one at the limit.
    pub fn push(&mut self, request: RequestId, summary: Rc<Summary>) {
        if self.requests.len() == HISTORY_LIMIT {
            self.requests.pop_front();
        }
        self.requests.push_back((request, summary));
    }

    /// Summary of a request; `None` if it has not completed or was dropped.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<&Summary> {
        self.requests
            .iter()
            .rev()
            .find(|(id, _)| *id == request)
            .map(|(_, summary)| summary.as_ref())
    }
}
