//! Events of a run, and their order.

use std::time::Duration;

use types::AttemptId;
use types::CacheEvent;
use types::LoadReport;
use types::Role;
use types::Usage;

use crate::script::Act;

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Event {
    Arrive(usize),
    Wake(usize),
    AtEngine {
        attempt: AttemptId,
        engine: usize,
    },
    CancelAtEngine {
        attempt: AttemptId,
        engine: usize,
    },
    AtEntry {
        entry: usize,
        engine: usize,
        news: Option<News>,
        report: LoadReport,
        cache: Vec<CacheEvent>,
    },
    Probe {
        entry: usize,
        engine: usize,
    },
    Poll(usize),
    Deadline(usize),
    Patience {
        call: usize,
        resend: u32,
    },
    Plan,
    Order {
        engine: usize,
        role: Role,
    },
    Script(Act),
    Configured(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum News {
    FirstToken(AttemptId),
    Ended(AttemptId, Usage),
    Failed(AttemptId),
    Rejected(AttemptId),
}

pub(super) struct Queued(pub Duration, pub u64, pub Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
