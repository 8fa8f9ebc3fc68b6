//! Requests of a service, and calls beyond the first of each, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Width of one counter; the window moves in steps of this.
pub const SLOT_MS: Duration = Duration::from_millis(500);

/// What was counted in a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Calls beyond the first of each.
    pub repeats: u64,
}

/// Counters of one service.
#[derive(Debug, Default)]
pub struct Window {
    slots: VecDeque<(Instant, Counts)>,
}

impl Window {
    /// Counters of the present moment; those older than `width_ms` are forgotten.
    pub fn current(&mut self, now: Instant, width_ms: Duration) -> &mut Counts {
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
            repeats: counters().map(|counts| counts.repeats).sum(),
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
