//! Estimated time to complete a request on a target.

use std::time::Duration;

use crate::load::Load;
use crate::settings::RoleRates;

/// Request as input to the estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Prompt tokens to process, without those in the prefix cache.
    pub prefill_tokens: f64,
    /// Expected output tokens.
    pub decode_tokens: f64,
    /// Share of the target's prefill backlog that is served before this request.
    pub backlog_share: f64,
}

impl Job {
    /// Engine time of the job when every step is full: each token bears its part of `step_ms`.
    #[must_use]
    pub fn engine_time_ms(&self, rates: &RoleRates) -> f64 {
        let prefill_ms = rates.prefill_ms_per_token + rates.step_ms / f64::from(rates.chunk_tokens);
        let decode_ms = rates.stream_ms + rates.step_ms / f64::from(rates.slots);
        self.prefill_tokens * prefill_ms + self.decode_tokens * decode_ms
    }
}

/// Estimated time to complete a request, by part.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Wait for a free slot. For a plain service, the number of requests on the target.
    pub slot_ms: f64,
    /// Prefill of the backlog that is served before the request.
    pub backlog_ms: f64,
    /// Prefill of the request's own tokens.
    pub prefill_ms: f64,
    /// Decoding, with the prefill chunks of other requests processed in the same steps.
    pub decode_ms: f64,
    /// Network round trip.
    pub network_ms: f64,
}

impl Estimate {
    /// Estimates a job on a target with this load, role rates and network latency.
    #[must_use]
    pub fn new(rates: &RoleRates, load: &Load, job: &Job, one_way_ms: Duration) -> Self {
        let slots = f64::from(rates.slots);
        let chunk_tokens = f64::from(rates.chunk_tokens);
        let streams = (load.requests + 1.0).min(slots);
        let decode_step_ms = rates.step_ms + rates.stream_ms * streams;
        let chunk_ms = chunk_tokens * rates.prefill_ms_per_token;
        let prefill_token_ms = decode_step_ms / chunk_tokens + rates.prefill_ms_per_token;
        let mean_decode_tokens = load.decode_tokens / load.requests.max(1.0);
        let waiting_requests = (load.requests + 1.0 - slots).max(0.0);
        let backlog_ahead_tokens = load.prefill_tokens * job.backlog_share;
        let backlog_behind_tokens = load.prefill_tokens - backlog_ahead_tokens;
        let steps_with_prefill = (backlog_behind_tokens / chunk_tokens).min(job.decode_tokens);
        Self {
            slot_ms: waiting_requests / slots
                * mean_decode_tokens
                * decode_step_ms
                * job.backlog_share,
            backlog_ms: backlog_ahead_tokens * prefill_token_ms,
            prefill_ms: job.prefill_tokens * prefill_token_ms,
            decode_ms: job.decode_tokens * decode_step_ms + steps_with_prefill * chunk_ms,
            network_ms: 2.0 * one_way_ms.as_secs_f64() * 1e3,
        }
    }

    /// Estimated time to first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.slot_ms + self.backlog_ms + self.prefill_ms + self.network_ms
    }

    /// Estimated time to the complete answer.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.first_token_ms() + self.decode_ms
    }
}
