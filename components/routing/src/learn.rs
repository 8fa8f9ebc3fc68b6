//! What the ends of attempts teach about estimates, the cache index and failing targets.

use std::time::Instant;

use request::Settlement;
use types::Usage;

use crate::fleet::Fleet;
use crate::fleet::Sent;

/// Weight of the newest answer in the mean share of the output bound that is used.
const OUTPUT_SHARE_WEIGHT: f64 = 0.05;
/// Weight of the newest answer in the share of the expected cached tokens that was found.
const CACHE_TRUST_WEIGHT: f64 = 0.1;
/// Least share of the expected cached tokens that is counted on, so that it can recover.
const LEAST_CACHE_TRUST: f64 = 0.05;
/// Weight of the newest answer in the mean of the time taken over the time estimated.
const CORRECTION_WEIGHT: f64 = 0.05;
/// Largest time taken over the time estimated that is learned from.
const LARGEST_CORRECTION: f64 = 8.0;

impl Fleet {
    /// Learns from the end of an attempt. Work that arrives later at a higher priority is not in
    /// the estimate, so low priorities take longer under load.
    pub(crate) fn correct(
        &mut self,
        now: Instant,
        pool: usize,
        sent: &Sent,
        settlement: Settlement,
    ) {
        let elapsed_ms = now.saturating_duration_since(sent.dispatched).as_secs_f64() * 1e3;
        let ratio = elapsed_ms / sent.estimate_ms.max(1.0);
        let correction = &mut self.pools[pool].corrections[sent.priority];
        let learns = match settlement {
            Settlement::Answered(_) => true,
            Settlement::Cancelled => ratio > *correction,
            Settlement::Rejected | Settlement::Failed => false,
        };
        if learns {
            *correction += CORRECTION_WEIGHT * (ratio.min(LARGEST_CORRECTION) - *correction);
        }
    }

    pub(crate) fn answered(&mut self, sent: &Sent, usage: Usage) {
        let member = &mut self.members[sent.member];
        member.ejection.succeeded();
        if usage.is_known() {
            self.learn(sent, usage);
        }
        // The engine has just processed the whole prompt, so it holds all of its pieces now.
        for prefix in &sent.prefixes {
            self.index.stored(*prefix, self.members[sent.member].holder);
        }
    }

    /// Takes the tokens that an answer used into the means that estimates are made with.
    pub(crate) fn learn(&mut self, sent: &Sent, usage: Usage) {
        let member = &mut self.members[sent.member];
        if sent.max_output_tokens > 0 {
            let share = f64::from(usage.output_tokens) / f64::from(sent.max_output_tokens);
            let mean = &mut self.pools[member.pool].output_share;
            *mean += OUTPUT_SHARE_WEIGHT * (share.min(1.0) - *mean);
        }
        if sent.cached_tokens >= 1.0 {
            let expected = sent.cached_tokens / member.cache_trust;
            let share = (f64::from(usage.cached_tokens) / expected).min(1.0);
            member.cache_trust += CACHE_TRUST_WEIGHT * (share - member.cache_trust);
            member.cache_trust = member.cache_trust.max(LEAST_CACHE_TRUST);
        }
    }

    pub(crate) fn forget_prefixes(&mut self, sent: &Sent) {
        let holder = self.members[sent.member].holder;
        for prefix in &sent.prefixes {
            self.index.evicted(*prefix, holder);
        }
    }

    pub(crate) fn failed(&mut self, now: Instant, at: usize) {
        let due = self.members[at].ejection.failed();
        if !due || !self.settings.mechanisms.ejection {
            return;
        }
        let pool = self.members[at].pool;
        let ejected = |at: &usize| self.members[*at].ejection.until(now).is_some();
        let count = self.pools[pool]
            .members
            .iter()
            .filter(|at| ejected(at))
            .count();
        if (count + 1) * 2 > self.pools[pool].members.len() || ejected(&at) {
            return;
        }
        self.members[at].ejection.eject(now);
        self.refresh(now, at);
    }
}
