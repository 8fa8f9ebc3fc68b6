//! Counts the requests of a service, and their retries, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Width of one slot, and the step by which the window moves.
pub const SLOT_MS: Duration = Duration::from_millis(500);

/// Counts of a slot or a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Number of attempts after the first attempt of each request.
    pub retries: u64,
}

/// Sliding window of counts for one service.
#[derive(Debug, Default)]
pub struct Window {
    slots: VecDeque<(Instant, Counts)>,
}

impl Window {
    /// Counts of the current slot; slots older than `width_ms` are removed.
    pub fn current_slot(&mut self, now: Instant, width_ms: Duration) -> &mut Counts {
        self.expire(now, width_ms);
        let is_stale = self
            .slots
            .back()
            .is_none_or(|(start, _)| now.saturating_duration_since(*start) >= SLOT_MS);
        if is_stale {
            self.slots.push_back((now, Counts::default()));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last].1
    }

    /// Sums over the last `width_ms`.
    pub fn counts(&mut self, now: Instant, width_ms: Duration) -> Counts {
        self.expire(now, width_ms);
        let counters = || self.slots.iter().map(|(_, counts)| counts);
        Counts {
            requests: counters().map(|counts| counts.requests).sum(),
            retries: counters().map(|counts| counts.retries).sum(),
        }
    }

    fn expire(&mut self, now: Instant, width_ms: Duration) {
        while let Some((start, _)) = self.slots.front() {
            if now.saturating_duration_since(*start) < width_ms {
                return;
            }
            self.slots.pop_front();
        }
    }
}
