//! Load model of a target: its last report plus the dispatches that the report does not include.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use types::AttemptId;
use types::LoadReport;

/// Time after which a dispatch that no report includes is considered lost.
const UNREPORTED_TIMEOUT_MS: Duration = Duration::from_secs(5);

/// Expected tokens of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Size {
    /// Prompt tokens not expected in the prefix cache.
    pub prefill_tokens: f64,
    /// Expected output tokens.
    pub decode_tokens: f64,
}

#[derive(Debug, Clone)]
struct Unreported {
    attempt: AttemptId,
    dispatch_number: u64,
    dispatched_at: Instant,
    size: Size,
}

/// Load at a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests in service or queued.
    pub requests: f64,
    /// Prompt tokens still to process.
    pub prefill_tokens: f64,
    /// Output tokens still expected.
    pub decode_tokens: f64,
}

/// Load model of one run of a target.
#[derive(Debug, Clone, Default)]
pub struct LoadModel {
    report: Option<LoadReport>,
    measured_at: Option<Instant>,
    dispatch_count: u64,
    unreported: VecDeque<Unreported>,
    unreported_size: Size,
}

impl LoadModel {
    /// Applies a report unless it is stale; returns whether it was applied.
    ///
    /// `received` counts the dispatches that the target got from this entry. The count kept here
    /// is wrong after a lost dispatch or a restart of the entry; it is reset to `received` as soon
    /// as no dispatch is unreported.
    pub fn report(&mut self, now: Instant, report: &LoadReport) -> bool {
        if let Some(last) = &self.report
            && report.sequence <= last.sequence
        {
            return false;
        }
        while let Some(first) = self.unreported.front() {
            let is_reported = first.dispatch_number <= report.received;
            let is_lost =
                now.saturating_duration_since(first.dispatched_at) > UNREPORTED_TIMEOUT_MS;
            if !is_reported && !is_lost {
                break;
            }
            self.unreported.pop_front();
        }
        if self.unreported.is_empty() {
            self.dispatch_count = report.received;
        }
        self.update_unreported_size();
        self.report = Some(report.clone());
        self.measured_at = now.checked_sub(Duration::from_millis(u64::from(report.age_ms)));
        true
    }

    /// Adds a dispatch to the load until a report includes it.
    pub fn dispatched(&mut self, now: Instant, attempt: AttemptId, size: Size) {
        self.dispatch_count += 1;
        self.unreported.push_back(Unreported {
            attempt,
            dispatch_number: self.dispatch_count,
            dispatched_at: now,
            size,
        });
        self.update_unreported_size();
    }

    /// Removes a finished dispatch that no report includes yet.
    pub fn settled(&mut self, attempt: AttemptId) {
        self.unreported
            .retain(|unreported| unreported.attempt != attempt);
        self.update_unreported_size();
    }

    /// Last applied report.
    #[must_use]
    pub fn last(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Time since the target measured the last report; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.measured_at.map(|at| now.saturating_duration_since(at))
    }

    /// Load of the last report, plus unreported dispatches if `count_unreported` is set.
    ///
    /// The load does not decrease with the age of the report, so that a target that stops
    /// reporting does not attract requests.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, count_unreported: bool) -> Load {
        let mut load = Load::default();
        if let Some(report) = &self.report {
            load.requests = f64::from(report.running) + f64::from(report.queued);
            load.prefill_tokens = report.prefill_backlog_tokens as f64;
            load.decode_tokens = report.decode_backlog_tokens as f64;
        }
        if count_unreported {
            load.requests += self.unreported.len() as f64;
            load.prefill_tokens += self.unreported_size.prefill_tokens;
            load.decode_tokens += self.unreported_size.decode_tokens;
        }
        load
    }

    fn update_unreported_size(&mut self) {
        self.unreported_size = self
            .unreported
            .iter()
            .fold(Size::default(), |sum, unreported| Size {
                prefill_tokens: sum.prefill_tokens + unreported.size.prefill_tokens,
                decode_tokens: sum.decode_tokens + unreported.size.decode_tokens,
            });
    }
}
