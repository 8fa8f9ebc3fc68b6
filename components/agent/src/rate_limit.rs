//! Limit on requests that the target names. The agent makes all calls of its target, so it keeps
//! the limit by itself; entries learn only how long the next request would wait.

use std::time::Duration;
use std::time::Instant;

use limits::NamedRate;
use limits::Pace;
use limits::Rate;
use limits::Standing;
use limits::Statement;
use limits::TargetLimit;
use types::Incarnation;

/// Limit of the target, and the pace that keeps to it.
#[derive(Debug)]
pub(crate) struct RateLimit {
    incarnation: Incarnation,
    limit: Option<TargetLimit>,
    pace: Option<Pace>,
    standing: Standing,
}

impl RateLimit {
    /// No limit.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            limit: None,
            pace: None,
            standing: Standing::default(),
        }
    }

    /// Applies a refusal with which the target asks for a pause.
    pub(crate) fn record_pause(&mut self, now: Instant, pause_ms: Duration) {
        let statement = Statement {
            pause_ms: Some(pause_ms),
            ..Statement::default()
        };
        self.standing.record(now, &statement);
    }

    /// Limit in force, if there is one.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.limit.and_then(|limit| limit.rate())
    }

    /// Applies an answer to a request that was sent at `called_at`. Returns whether the limit
    /// changed.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        called_at: Instant,
        named: NamedRate,
    ) -> bool {
        let limit = self
            .limit
            .get_or_insert_with(|| TargetLimit::none(called_at));
        if !limit.record_answer(now, called_at, named, self.incarnation) {
            return false;
        }
        match limit.rate() {
            None => self.pace = None,
            rate => {
                let pace = self.pace.get_or_insert_with(|| Pace::new(now));
                pace.set_rate(now, rate);
            }
        }
        true
    }

    /// Time from which the next request may be sent; `None` without a limit.
    pub(crate) fn opens_at(&self) -> Option<Instant> {
        self.pace?.next_call_at(self.rate()?)
    }

    /// Whether a request may be sent now.
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        self.standing.pause_end(now).is_none() && self.opens_at().is_none_or(|at| at <= now)
    }

    /// Expected wait of a request behind `waiting` others.
    pub(crate) fn wait(&self, now: Instant, waiting: usize) -> Duration {
        let pause = self.standing.pause_end(now);
        let pause = pause.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let (Some(at), Some(rate)) = (self.opens_at(), self.rate()) else {
            return pause;
        };
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let others_s = f64::from(waiting) / rate.requests_per_s();
        let others = Duration::try_from_secs_f64(others_s).unwrap_or(Duration::MAX);
        at.saturating_duration_since(now)
            .max(pause)
            .saturating_add(others)
    }

    /// Records a request that is sent.
    pub(crate) fn record_call(&mut self, now: Instant) {
        if let Some(pace) = &mut self.pace {
            pace.record_call(now);
        }
    }
}
