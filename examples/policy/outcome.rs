//! Outcomes of the calls of a run, and counters.

use std::time::Duration;

use crate::trace::Call;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered by its deadline.
    Answered,
    /// Refused before its deadline, without being run.
    Refused,
    /// Not answered by its deadline.
    Late,
    /// All attempts failed or were rejected.
    Failed,
}

/// How and when a call ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallEnd {
    pub outcome: Option<Outcome>,
    pub after_ms: Duration,
    pub first_token_ms: Option<Duration>,
}

/// Outcomes and counters of one run.
#[derive(Debug)]
pub struct Record {
    pub ends: Vec<CallEnd>,
    arrivals: Vec<Duration>,
    /// Calls that ended since the simulation last reset this.
    pub just_ended: usize,
    /// Times from submission to refusal. A call that is sent again can be refused several times.
    pub refusal_waits_ms: Vec<Duration>,
    pub attempts: u64,
    pub resends: u64,
    pub role_changes: u32,
    /// Prompt tokens of answered calls that belong to shared documents.
    pub shared_tokens: u64,
    /// Prompt tokens of answered calls that engines took from their caches.
    pub cached_tokens: u64,
    /// Time that engines spent in steps, added up over all engines.
    pub busy_s: f64,
    /// Seconds, counted at each planning, in which no engine accepted work.
    pub without_engine_s: u32,
    /// Seconds, counted at each planning, in which no engine with decode capacity accepted work.
    pub desk_gap_s: u32,
}

impl Record {
    pub fn new(calls: &[Call]) -> Self {
        Self {
            ends: vec![CallEnd::default(); calls.len()],
            arrivals: calls.iter().map(|call| call.at).collect(),
            just_ended: 0,
            refusal_waits_ms: Vec::new(),
            attempts: 0,
            resends: 0,
            role_changes: 0,
            shared_tokens: 0,
            cached_tokens: 0,
            busy_s: 0.0,
            without_engine_s: 0,
            desk_gap_s: 0,
        }
    }

    pub fn record_first_token(&mut self, call: usize, after_ms: Duration) {
        self.ends[call].first_token_ms.get_or_insert(after_ms);
    }

    pub fn record_end(&mut self, call: usize, now: Duration, outcome: Outcome) {
        self.ends[call].outcome = Some(outcome);
        self.ends[call].after_ms = now.saturating_sub(self.arrivals[call]);
        self.just_ended += 1;
    }

    /// Number of calls with an outcome, of one class or of all.
    pub fn count(&self, calls: &[Call], class: Option<usize>, outcome: Outcome) -> usize {
        let is_in_class = |call: &Call| class.is_none_or(|class| call.class == class);
        let pairs = calls.iter().zip(&self.ends);
        pairs
            .filter(|(call, end)| is_in_class(call) && end.outcome == Some(outcome))
            .count()
    }

    /// Quantile of the time to the first token, over the calls of one class or of all that got one.
    pub fn first_token_quantile_s(
        &self,
        calls: &[Call],
        class: Option<usize>,
        quantile: f64,
    ) -> f64 {
        let is_in_class = |call: &Call| class.is_none_or(|class| call.class == class);
        let pairs = calls.iter().zip(&self.ends);
        let times = pairs.filter(|(call, _)| is_in_class(call));
        quantile_s(times.filter_map(|(_, end)| end.first_token_ms), quantile)
    }

    /// Quantile of the time from the arrival of a refused call to its final refusal.
    pub fn refusal_quantile_s(&self, quantile: f64) -> f64 {
        let refused = self
            .ends
            .iter()
            .filter(|end| end.outcome == Some(Outcome::Refused));
        quantile_s(refused.map(|end| end.after_ms), quantile)
    }

    /// Quantile of the time from each submission to its refusal.
    pub fn submission_refusal_quantile_s(&self, quantile: f64) -> f64 {
        quantile_s(self.refusal_waits_ms.iter().copied(), quantile)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn quantile_s(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let at = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(at).map_or(0.0, Duration::as_secs_f64)
}
