//! Feedback from completed attempts into estimates, the prefix-cache index and ejection.

use std::time::Instant;

use request::AttemptResult;
use types::Usage;

use crate::fleet::Fleet;
use crate::fleet::InFlight;

/// Smoothing factor of the mean ratio of output tokens to the requested maximum.
const OUTPUT_RATIO_WEIGHT: f64 = 0.05;
/// Smoothing factor of the ratio of reported to expected cached tokens.
const CACHE_HIT_RATIO_WEIGHT: f64 = 0.1;
/// Lower bound of the ratio of reported to expected cached tokens; at 0 no hits would be expected
/// and the ratio could not recover.
const MIN_CACHE_HIT_RATIO: f64 = 0.05;
/// Smoothing factor of the mean ratio of actual to estimated time.
const CORRECTION_WEIGHT: f64 = 0.05;
/// Upper bound of one sample of the ratio of actual to estimated time.
const MAX_CORRECTION: f64 = 8.0;

impl Fleet {
    /// Updates the correction factor of the attempt's priority. Estimates omit work that arrives
    /// later at a higher priority, so under load low priorities take longer than estimated.
    ///
    /// A cancelled attempt gives only a lower bound of its time, so it can only raise the factor.
    pub(crate) fn update_correction(
        &mut self,
        now: Instant,
        pool: usize,
        in_flight: &InFlight,
        result: AttemptResult,
    ) {
        let elapsed_ms = now
            .saturating_duration_since(in_flight.dispatched_at)
            .as_secs_f64()
            * 1e3;
        let ratio = elapsed_ms / in_flight.estimate_ms.max(1.0);
        let correction = &mut self.pools[pool].corrections[in_flight.priority];
        let is_sample = match result {
            AttemptResult::Answered(_) => true,
            AttemptResult::Cancelled => ratio > *correction,
            AttemptResult::Rejected | AttemptResult::Failed => false,
        };
        if is_sample {
            *correction += CORRECTION_WEIGHT * (ratio.min(MAX_CORRECTION) - *correction);
        }
    }

    pub(crate) fn record_success(&mut self, in_flight: &InFlight, usage: Usage) {
        let member = &mut self.members[in_flight.member];
        member.ejection.record_success();
        if usage.is_known() {
            self.update_averages(in_flight, usage);
        }
        // The engine has just processed the whole prompt, so its cache holds all pieces of it.
        for prefix in &in_flight.prefixes {
            self.index
                .stored(*prefix, self.members[in_flight.member].holder);
        }
    }

    /// Updates the averages behind the estimates with the token usage of an answer.
    pub(crate) fn update_averages(&mut self, in_flight: &InFlight, usage: Usage) {
        let member = &mut self.members[in_flight.member];
        if in_flight.max_output_tokens > 0 {
            let ratio = f64::from(usage.output_tokens) / f64::from(in_flight.max_output_tokens);
            let mean = &mut self.pools[member.pool].output_ratio;
            *mean += OUTPUT_RATIO_WEIGHT * (ratio.min(1.0) - *mean);
        }
        if in_flight.cached_tokens >= 1.0 {
            let expected = in_flight.cached_tokens / member.cache_hit_ratio;
            let ratio = (f64::from(usage.cached_tokens) / expected).min(1.0);
            member.cache_hit_ratio += CACHE_HIT_RATIO_WEIGHT * (ratio - member.cache_hit_ratio);
            member.cache_hit_ratio = member.cache_hit_ratio.max(MIN_CACHE_HIT_RATIO);
        }
    }

    pub(crate) fn remove_prefixes(&mut self, in_flight: &InFlight) {
        let holder = self.members[in_flight.member].holder;
        for prefix in &in_flight.prefixes {
            self.index.evicted(*prefix, holder);
        }
    }

    pub(crate) fn record_failure(&mut self, now: Instant, position: usize) {
        let is_ejection_due = self.members[position].ejection.record_failure();
        if !is_ejection_due || !self.settings.mechanisms.ejection {
            return;
        }
        let pool = self.members[position].pool;
        let is_ejected = |position: &usize| self.members[*position].ejection.until(now).is_some();
        let count = self.pools[pool]
            .members
            .iter()
            .filter(|position| is_ejected(position))
            .count();
        // At most half of the targets of a service may be ejected at once.
        if (count + 1) * 2 > self.pools[pool].members.len() || is_ejected(&position) {
            return;
        }
        self.members[position].ejection.eject(now);
        self.update_open_list(now, position);
    }
}
