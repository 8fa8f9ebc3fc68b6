//! Figures of a run.

use std::time::Duration;

use crate::trace::Call;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// Refused before its deadline, not run.
    Refused,
    /// Refused at its deadline.
    Late,
    /// Every attempt failed.
    Failed,
}

/// End of one call.
#[derive(Debug, Clone, Copy, Default)]
pub struct End {
    pub outcome: Option<Outcome>,
    pub after: Duration,
    pub first_token: Option<Duration>,
}

/// Everything that is counted in a run.
#[derive(Debug)]
pub struct Record {
    pub ends: Vec<End>,
    arrivals: Vec<Duration>,
    pub just_ended: usize,
    /// Times from a submission to its refusal; a call that is sent again has several.
    pub refusal_waits: Vec<Duration>,
    pub attempts: u64,
    pub resends: u64,
    pub role_changes: u32,
    /// Shared tokens of answered reads, and how many of them were cached.
    pub shared_tokens: u64,
    pub cached_tokens: u64,
    /// Engine time spent in steps.
    pub busy_s: f64,
    pub dark_s: u32,
    pub desk_gap_s: u32,
}

impl Record {
    pub fn new(calls: &[Call]) -> Self {
        Self {
            ends: vec![End::default(); calls.len()],
            arrivals: calls.iter().map(|call| call.at).collect(),
            just_ended: 0,
            refusal_waits: Vec::new(),
            attempts: 0,
            resends: 0,
            role_changes: 0,
            shared_tokens: 0,
            cached_tokens: 0,
            busy_s: 0.0,
            dark_s: 0,
            desk_gap_s: 0,
        }
    }

    pub fn first_token(&mut self, call: usize, after: Duration) {
        self.ends[call].first_token.get_or_insert(after);
    }

    pub fn ended(&mut self, call: usize, now: Duration, outcome: Outcome) {
        self.ends[call].outcome = Some(outcome);
        self.ends[call].after = now.saturating_sub(self.arrivals[call]);
        self.just_ended += 1;
    }

    /// Number of calls of a class with an outcome.
    pub fn count(&self, calls: &[Call], class: Option<usize>, outcome: Outcome) -> usize {
        let of_class = |call: &Call| class.is_none_or(|class| call.class == class);
        let pairs = calls.iter().zip(&self.ends);
        pairs
            .filter(|(call, end)| of_class(call) && end.outcome == Some(outcome))
            .count()
    }

    /// Time to the first token of a class at a quantile of those that got one.
    pub fn first_token_at(&self, calls: &[Call], class: Option<usize>, quantile: f64) -> f64 {
        let of_class = |call: &Call| class.is_none_or(|class| call.class == class);
        let pairs = calls.iter().zip(&self.ends);
        let times = pairs.filter(|(call, _)| of_class(call));
        at_quantile(times.filter_map(|(_, end)| end.first_token), quantile)
    }

    /// Time until the refusal at a quantile of the refused ones.
    pub fn refusal_at(&self, quantile: f64) -> f64 {
        let refused = self
            .ends
            .iter()
            .filter(|end| end.outcome == Some(Outcome::Refused));
        at_quantile(refused.map(|end| end.after), quantile)
    }

    /// Time from a submission to its refusal at a quantile.
    pub fn submission_refusal_at(&self, quantile: f64) -> f64 {
        at_quantile(self.refusal_waits.iter().copied(), quantile)
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn at_quantile(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let at = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(at).map_or(0.0, Duration::as_secs_f64)
}
