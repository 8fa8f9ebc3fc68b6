//! State of a request in flight.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use builds::Build;
use builds::Origin;
use smallvec::SmallVec;
use types::ServiceName;
use types::TargetName;

use crate::core::arrivals::Arrivals;
use crate::core::decision::Ending;
use crate::deployment::EngineSpec;
use crate::deployment::RetryPolicy;
use crate::deployment::Route;
use crate::fleet::Fleet;
use crate::fleet::Load;
use crate::fleet::TargetKey;
use crate::prefixes::PrefixHash;
use crate::protocol::CallerRequest;
use crate::protocol::PartId;
use crate::protocol::Transfer;

#[derive(Debug)]
pub(super) struct CurrentCall {
    pub(super) target: TargetName,
    pub(super) key: TargetKey,
    pub(super) address: SocketAddr,
    /// Build of the target; its entry may be gone when the answer comes.
    pub(super) build: Option<Build>,
    pub(super) load: Load,
    pub(super) started: Instant,
    /// Expected time for the prefills queued at the target before this call.
    pub(super) waiting_ms: f64,
    pub(super) is_prefill: bool,
    /// Step as logs and metrics name it.
    pub(super) step: &'static str,
    pub(super) transfer: Option<Transfer>,
    /// The target has sent an event, or a complete answer.
    pub(super) has_begun: bool,
}

impl CurrentCall {
    /// Removes the prefill from the target's load and records its duration, once per call.
    pub(super) fn prefill_finished(&mut self, now: Instant, fleet: &mut Fleet) {
        let prefill_ms = std::mem::take(&mut self.load.prefill_ms);
        if prefill_ms <= 0.0 {
            return;
        }
        let finished = Load {
            prefill_ms,
            runs: 0.0,
        };
        fleet.remove_load(now, &self.target, self.key, finished);
        if !fleet.is_running(&self.target, self.key) {
            return;
        }
        let took = now.saturating_duration_since(self.started);
        let took_ms = took.as_secs_f64() * 1e3;
        fleet.record_prefill_time(&self.target, prefill_ms, self.waiting_ms, took_ms);
    }
}

#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) request: Rc<CallerRequest>,
    pub(super) route: Rc<Route>,
    pub(super) service: ServiceName,
    pub(super) engine: Option<EngineSpec>,
    pub(super) hashes: SmallVec<[PrefixHash; 4]>,
    /// Parts of the prompt but the last one, and the whole request.
    pub(super) possible_causes: SmallVec<[PartId; 4]>,
    /// Those that are suspect and that this request is a trial of.
    pub(super) trial: SmallVec<[PartId; 4]>,
    /// Engine whose limit has room reserved for the run after the prefill.
    pub(super) reserved_call: Option<TargetKey>,
    pub(super) received: Instant,
    pub(super) deadline: Instant,
    pub(super) tried_targets: SmallVec<[TargetName; 4]>,
    pub(super) arrivals: Arrivals,
    pub(super) calls: u32,
    /// Calls that may have run the request; bounded by the route's `attempt_limit`.
    pub(super) runs: u32,
    pub(super) current: Option<CurrentCall>,
    pub(super) transfer: Option<Transfer>,
    pub(super) last_event: Option<String>,
    /// Where the stream began; `None` before its first event, or if that is not known.
    pub(super) origin: Option<Origin>,
    pub(super) first_ms: Option<u64>,
}

impl ActiveRequest {
    /// Builds at which the request may run.
    pub(super) fn builds(&self) -> AllowedBuilds<'_> {
        match &self.origin {
            Some(origin) => AllowedBuilds::Only(&origin.build),
            None if self.has_begun() => AllowedBuilds::None,
            None => AllowedBuilds::Any,
        }
    }

    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Whether the answer to the caller has begun. An event proves all parts of the prompt sound, and
    /// no second head may be sent.
    pub(super) fn has_begun(&self) -> bool {
        self.first_ms.is_some()
    }

    /// How the request ends: an answer that has begun can only be completed or cut off.
    pub(super) fn permitted(&self, ending: Ending) -> Ending {
        match ending {
            Ending::Refuse { .. } | Ending::NoRoute | Ending::Fail { .. } if self.has_begun() => {
                Ending::Cut
            }
            _ => ending,
        }
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.runs == 0
            || (self.route.retry_policy != RetryPolicy::Once
                && self.runs < self.route.attempt_limit)
    }
}
