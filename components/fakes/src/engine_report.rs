//! What the fake engine publishes: load late, cache events late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use types::CacheEvent;

/// Load figures of the engine at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// When they were taken, since the start of the run.
    pub taken: Duration,
    /// Requests in service.
    pub running: u32,
    /// Requests accepted but not started.
    pub queued: u32,
    /// Prompt tokens still to be processed.
    pub prefill_tokens: u64,
    /// Output tokens still expected.
    pub decode_tokens: u64,
    /// Share of the memory in use, in thousandths.
    pub used_permille: u16,
    /// Requests received from each reader of the reports.
    pub received: SmallVec<[u64; 4]>,
}

/// Queue of cache events that are not published yet.
#[derive(Debug)]
pub struct CacheFeed {
    delay: Duration,
    loss: f64,
    sequence: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl CacheFeed {
    /// Events come `delay` late, and a share `loss` of them never comes.
    #[must_use]
    pub fn new(delay: Duration, loss: f64) -> Self {
        Self {
            delay,
            loss,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event.
    pub fn add(&mut self, now: Duration, prefix: u64, stored: bool, rng: &mut SmallRng) {
        self.sequence += 1;
        if rng.random_bool(self.loss) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        };
        self.events.push_back((now + self.delay, event));
    }

    /// Events that are due.
    pub fn take(&mut self, now: Duration) -> Vec<CacheEvent> {
        let due = self.events.partition_point(|(at, _)| *at <= now);
        self.events.drain(..due).map(|(_, event)| event).collect()
    }
}
