//! Load of one target: its last report plus what was dispatched since.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::LoadReport;

/// A dispatch that no report has counted within this time was lost on the way.
const UNSEEN_LIMIT_MS: Duration = Duration::from_secs(5);

/// Size of one dispatch, for load accounting.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Size {
    /// Prompt tokens that are not expected in the cache.
    pub prefill_tokens: f64,
    /// Output tokens expected.
    pub decode_tokens: f64,
}

#[derive(Debug, Clone)]
struct Unseen {
    attempt: AttemptId,
    ordinal: u64,
    sent: Instant,
    size: Size,
}

/// Load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests in service or queued.
    pub requests: f64,
    /// Prompt tokens still to be processed.
    pub prefill_tokens: f64,
    /// Output tokens still expected.
    pub decode_tokens: f64,
}

/// Load model of one run of a target.
#[derive(Debug, Clone, Default)]
pub struct LoadModel {
    report: Option<LoadReport>,
    reported: Option<Instant>,
    dispatches: u64,
    unseen: VecDeque<Unseen>,
    unseen_size: Size,
}

impl LoadModel {
    /// Takes a report unless it is stale; returns whether it was taken.
    ///
    /// `received` counts the dispatches of the reader of the report. A dispatch that was lost, or
    /// an entry that does not know its own count after a restart, is corrected as soon as
    /// nothing is on the way.
    pub fn report(&mut self, now: Instant, report: &LoadReport) -> bool {
        if let Some(last) = &self.report
            && report.sequence <= last.sequence
        {
            return false;
        }
        while let Some(first) = self.unseen.front() {
            let seen = first.ordinal <= report.received;
            let lost = now.saturating_duration_since(first.sent) > UNSEEN_LIMIT_MS;
            if !seen && !lost {
                break;
            }
            self.unseen.pop_front();
        }
        if self.unseen.is_empty() {
            self.dispatches = report.received;
        }
        self.sum_unseen();
        self.report = Some(report.clone());
        self.reported = now.checked_sub(Duration::from_millis(u64::from(report.age_ms)));
        true
    }

    /// Counts a dispatch.
    pub fn dispatched(&mut self, now: Instant, attempt: AttemptId, size: Size) {
        self.dispatches += 1;
        self.unseen.push_back(Unseen {
            attempt,
            ordinal: self.dispatches,
            sent: now,
            size,
        });
        self.sum_unseen();
    }

    /// Ends the count of a dispatch that no report has counted yet.
    pub fn settled(&mut self, attempt: AttemptId) {
        self.unseen.retain(|unseen| unseen.attempt != attempt);
        self.sum_unseen();
    }

    /// Last report taken.
    #[must_use]
    pub fn last(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Age of the figures in the last report.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.reported.map(|at| now.saturating_duration_since(at))
    }

    /// Last report plus, with `netting`, what was dispatched since.
    ///
    /// The figures do not shrink with the age of the report, so a target does not become more
    /// attractive by falling silent.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, netting: bool) -> Load {
        let mut load = Load::default();
        if let Some(report) = &self.report {
            load.requests = f64::from(report.running) + f64::from(report.queued);
            load.prefill_tokens = report.prefill_backlog_tokens as f64;
            load.decode_tokens = report.decode_backlog_tokens as f64;
        }
        if netting {
            load.requests += self.unseen.len() as f64;
            load.prefill_tokens += self.unseen_size.prefill_tokens;
            load.decode_tokens += self.unseen_size.decode_tokens;
        }
        load
    }

    fn sum_unseen(&mut self) {
        self.unseen_size = self
            .unseen
            .iter()
            .fold(Size::default(), |sum, unseen| Size {
                prefill_tokens: sum.prefill_tokens + unseen.size.prefill_tokens,
                decode_tokens: sum.decode_tokens + unseen.size.decode_tokens,
            });
    }
}
