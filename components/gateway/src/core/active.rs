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
use crate::fleet::Fleet;
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
    /// Time that earlier readings were expected to take there.
    pub(super) waiting_ms: f64,
    pub(super) is_prefill: bool,
    pub(super) transfer: Option<Transfer>,
}

impl Current {
    /// The target has read the prompt.
    pub(super) fn has_read(&mut self, now: Instant, fleet: &mut Fleet) {
        let reading_ms = std::mem::take(&mut self.load.reading_ms);
        if reading_ms <= 0.0 {
            return;
        }
        let read = Load {
            reading_ms,
            runs: 0.0,
        };
        fleet.end(now, &self.target, self.key, read);
        let took = now.saturating_duration_since(self.started);
        let took_ms = took.as_secs_f64() * 1e3;
        fleet.has_read(&self.target, reading_ms, self.waiting_ms, took_ms);
    }
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
