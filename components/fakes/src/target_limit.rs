//! Limit on requests that a fake target names, and whether its agents keep to it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use agent::Event;
use agent::RunId;
use agent::TargetEvent;
use limits::NamedRate;
use limits::Rate;
use limits::SPAN_MS;
use types::Incarnation;

/// Limit of one fake target.
#[derive(Debug, Default)]
pub struct TargetLimit {
    rate: Option<Rate>,
    /// Agents that an answer has told of the limit, with the time.
    told: BTreeMap<Incarnation, Instant>,
    calls: VecDeque<(Instant, Incarnation)>,
}

impl TargetLimit {
    /// Limit that it names.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Names another limit from now on, or none.
    pub fn set_rate(&mut self, rate: Option<Rate>) {
        self.rate = rate;
        self.told.clear();
    }

    /// What the head of an answer that arrives at `at` tells the agent.
    pub fn tell(&mut self, at: Instant, agent: Incarnation, run: RunId) -> Event {
        if self.rate.is_some() {
            let told = self.told.entry(agent).or_insert(at);
            *told = (*told).min(at);
        }
        Event::Target {
            run,
            event: TargetEvent::RateNamed(self.rate.map_or(NamedRate::Absent, NamedRate::Limit)),
        }
    }

    /// Records a call; an error if the agent knew that the limit had no room for it.
    ///
    /// # Errors
    ///
    /// Describes the calls of the span that ends now.
    pub fn record_call(&mut self, now: Instant, agent: Incarnation) -> Result<(), String> {
        self.calls.push_back((now, agent));
        let is_old = |at: Instant| now.saturating_duration_since(at) >= SPAN_MS;
        while self.calls.front().is_some_and(|(at, _)| is_old(*at)) {
            self.calls.pop_front();
        }
        let (Some(rate), Some(told)) = (self.rate, self.told.get(&agent)) else {
            return Ok(());
        };
        let calls = self.calls.iter();
        let calls = calls.filter(|(at, caller)| *caller == agent && at > told);
        let count = calls.count();
        let allowed = (rate.requests_per_s() * SPAN_MS.as_secs_f64())
            .floor()
            .max(1.0);
        if f64::from(u32::try_from(count).unwrap_or(u32::MAX)) <= allowed {
            return Ok(());
        }
        Err(format!(
            "{count} calls in {SPAN_MS:?} at a limit of {rate} a second"
        ))
    }
}
