//! Load snapshots and cache events of the fake engine. Cache events are delayed, and some are lost.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use smallvec::SmallVec;
use types::CacheEvent;

/// Load of the engine at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadSnapshot {
    /// Time since the start of the run.
    pub taken_at: Duration,
    /// Jobs that hold a slot.
    pub running: u32,
    /// Jobs that wait for a slot or for cache memory.
    pub queued: u32,
    /// Prompt tokens still to be processed, of running and queued jobs.
    pub prefill_tokens: u64,
    /// Output tokens still expected, estimated as half of the remaining output limits.
    pub decode_tokens: u64,
    /// Share of the cache memory that running jobs hold, in thousandths.
    pub cache_used_permille: u16,
    /// Jobs submitted by each entry, refused ones included.
    pub received: SmallVec<[u64; 4]>,
}

/// Cache events that are not published yet.
#[derive(Debug)]
pub struct CacheEventQueue {
    delay_ms: Duration,
    loss_share: f64,
    sequence: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl CacheEventQueue {
    /// An empty queue that publishes events after `delay_ms` and loses `loss_share` of them.
    #[must_use]
    pub fn new(delay_ms: Duration, loss_share: f64) -> Self {
        Self {
            delay_ms,
            loss_share,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event. A lost event uses up its sequence number, so readers see a gap.
    pub fn push(&mut self, now: Duration, prefix: u64, stored: bool, rng: &mut SmallRng) {
        self.sequence += 1;
        if rng.random_bool(self.loss_share) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        };
        self.events.push_back((now + self.delay_ms, event));
    }

    /// Removes and returns the events that are due at `now`.
    pub fn take_due(&mut self, now: Duration) -> Vec<CacheEvent> {
        let due = self.events.partition_point(|(at, _)| *at <= now);
        self.events.drain(..due).map(|(_, event)| event).collect()
    }
}
