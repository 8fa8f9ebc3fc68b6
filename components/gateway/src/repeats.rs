//! Budget for calls beyond the first of each request, per service.
//!
//! Answers the load pattern of a service that rejects or fails much of what it gets: without a
//! bound, repeats would multiply its load just when it can bear the least. Processes may not hear
//! each other, so each one spends only its own share.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Width of one counter; the window moves in steps of this.
const SLOT_MS: Duration = Duration::from_millis(500);
/// Part of the allowance that is used; the rest covers calls that are counted at other moments
/// at the target than here.
const USED_PART: f64 = 0.8;

/// What a service allows, over all processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatAllowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed however few requests there are.
    pub slack: f64,
    /// Time over which both are counted.
    pub window_ms: Duration,
}

#[derive(Debug)]
struct Slot {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Repeats of one service as this process has counted them.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    slots: VecDeque<Slot>,
}

impl RepeatBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant, allowance: &RepeatAllowance) {
        self.slot(now, allowance).requests += 1;
    }

    /// Counts a call that was a repeat.
    pub fn count_repeat(&mut self, now: Instant, allowance: &RepeatAllowance) {
        self.slot(now, allowance).repeats += 1;
    }

    /// Repeats that are left to this process, one of `processes`.
    #[must_use]
    pub fn left(&mut self, now: Instant, allowance: &RepeatAllowance, processes: usize) -> u32 {
        self.expire(now, allowance);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        let processes = u32::try_from(processes.max(1)).unwrap_or(u32::MAX);
        let own_slack = allowance.slack / f64::from(processes);
        let allowed = USED_PART * (allowance.ratio * f64::from(requests) + own_slack);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive and small
        let allowed = allowed.floor() as u32;
        allowed.saturating_sub(repeats)
    }

    fn slot(&mut self, now: Instant, allowance: &RepeatAllowance) -> &mut Slot {
        self.expire(now, allowance);
        let is_stale = self
            .slots
            .back()
            .is_none_or(|slot| now.saturating_duration_since(slot.start) >= SLOT_MS);
        if is_stale {
            self.slots.push_back(Slot {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn expire(&mut self, now: Instant, allowance: &RepeatAllowance) {
        while let Some(slot) = self.slots.front() {
            if now.saturating_duration_since(slot.start) < allowance.window_ms + SLOT_MS {
                return;
            }
            self.slots.pop_front();
        }
    }
}
