//! Budget for second and later attempts, per service.
//!
//! Without it, a service that fails most attempts would get up to `attempt_limit` times its
//! load just when it can bear the least.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Retries are a tenth of the requests at most.
const REQUESTS_PER_RETRY: u64 = 10;
/// Retries allowed however few requests there are. Callers that wait for an answer send nothing
/// new, so a fault that stops all targets lowers the number of requests just when each of them
/// needs a retry: with 3, `chaos --seed 104` kept up to 8 requests waiting until their deadline.
const MIN_RETRIES: u64 = 20;
/// Time over which requests and retries are counted.
const WINDOW_MS: Duration = Duration::from_secs(10);
/// Width of one counter; the window moves in steps of this.
const SLOT_MS: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Slot {
    start: Instant,
    requests: u64,
    retries: u64,
}

/// Retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one retry, if the budget has one left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.expire(now);
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = (requests / REQUESTS_PER_RETRY).max(MIN_RETRIES);
        if retries >= allowed {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    fn slot(&mut self, now: Instant) -> &mut Slot {
        self.expire(now);
        let fresh = self
            .slots
            .back()
            .is_none_or(|slot| now.saturating_duration_since(slot.start) >= SLOT_MS);
        if fresh {
            self.slots.push_back(Slot {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    fn expire(&mut self, now: Instant) {
        while let Some(slot) = self.slots.front() {
            if now.saturating_duration_since(slot.start) < WINDOW_MS {
                return;
            }
            self.slots.pop_front();
        }
    }
}
