//! A request that has not ended.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use types::ServiceName;
use types::TargetName;

use crate::deployment::EngineFacts;
use crate::deployment::Repeat;
use crate::deployment::Route;
use crate::fleet::Load;
use crate::fleet::TargetKey;
use crate::prefixes::PrefixHash;
use crate::protocol::CallerRequest;
use crate::protocol::Transfer;

#[derive(Debug)]
pub(super) struct Current {
    pub(super) target: TargetName,
    pub(super) key: TargetKey,
    pub(super) load: Load,
    pub(super) started: Instant,
    /// Engine time of the reading at nominal speed, for learning.
    pub(super) nominal_ms: f64,
    /// Time that earlier readings were expected to take there.
    pub(super) waiting_ms: f64,
    pub(super) is_prefill: bool,
    pub(super) transfer: Option<Transfer>,
}

#[derive(Debug)]
pub(super) struct Active {
    pub(super) request: Rc<CallerRequest>,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceName,
    pub(super) engine: Option<EngineFacts>,
    pub(super) hashes: SmallVec<[PrefixHash; 4]>,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    pub(super) refused_by: SmallVec<[TargetName; 4]>,
    /// Calls that count as arrivals at the service.
    pub(super) arrivals: u32,
    pub(super) calls: u32,
    /// Calls that may have run.
    pub(super) runs: u32,
    pub(super) prefills: u32,
    pub(super) current: Option<Current>,
    pub(super) transfer: Option<Transfer>,
    pub(super) last_event: Option<String>,
    pub(super) first_ms: Option<u64>,
}

impl Active {
    pub(super) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.repeat != Repeat::Once && self.runs < self.route.attempt_limit)
    }
}
