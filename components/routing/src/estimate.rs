//! Estimated time to finish a request on one target.

use std::time::Duration;

use crate::load::Load;
use crate::settings::RoleRates;

/// What the estimate needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Prompt tokens to be processed, without those in the cache.
    pub prefill_tokens: f64,
    /// Output tokens expected.
    pub decode_tokens: f64,
    /// Share of the target's prefill backlog that is served before this request.
    pub backlog_share: f64,
}

impl Job {
    /// Engine time that the job takes on a busy engine in a role.
    #[must_use]
    pub fn work_ms(&self, rates: &RoleRates) -> f64 {
        let prefill_ms = rates.prefill_ms_per_token + rates.step_ms / f64::from(rates.chunk_tokens);
        let decode_ms = rates.stream_ms + rates.step_ms / f64::from(rates.slots);
        self.prefill_tokens * prefill_ms + self.decode_tokens * decode_ms
    }
}

/// Parts of the estimated time to finish.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Wait for a slot.
    pub slot_ms: f64,
    /// Prefill backlog ahead of the request.
    pub backlog_ms: f64,
    /// Prefill of the request's own tokens.
    pub prefill_ms: f64,
    /// Decode.
    pub decode_ms: f64,
    /// Network, there and back.
    pub distance_ms: f64,
}

impl Estimate {
    /// Estimates a job on a target with this load, role and distance.
    #[must_use]
    pub fn new(rates: &RoleRates, load: &Load, job: &Job, one_way_ms: Duration) -> Self {
        let slots = f64::from(rates.slots);
        let chunk = f64::from(rates.chunk_tokens);
        let streams = (load.requests + 1.0).min(slots);
        let plain_step_ms = rates.step_ms + rates.stream_ms * streams;
        let prefill_step_ms = chunk * rates.prefill_ms_per_token;
        let per_token_ms = plain_step_ms / chunk + rates.prefill_ms_per_token;
        let mean_decode = load.decode_tokens / load.requests.max(1.0);
        let over = (load.requests + 1.0 - slots).max(0.0);
        let ahead = load.prefill_tokens * job.backlog_share;
        let behind = load.prefill_tokens - ahead;
        let disturbed_steps = (behind / chunk).min(job.decode_tokens);
        Self {
            slot_ms: over / slots * mean_decode * plain_step_ms * job.backlog_share,
            backlog_ms: ahead * per_token_ms,
            prefill_ms: job.prefill_tokens * per_token_ms,
            decode_ms: job.decode_tokens * plain_step_ms + disturbed_steps * prefill_step_ms,
            distance_ms: 2.0 * one_way_ms.as_secs_f64() * 1e3,
        }
    }

    /// Time until the first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.slot_ms + self.backlog_ms + self.prefill_ms + self.distance_ms
    }

    /// Time until the whole answer.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.first_token_ms() + self.decode_ms
    }
}
