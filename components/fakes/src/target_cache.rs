//! Prefix cache of a fake target. Its events can be delayed, lost or contradicted.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::CacheEvent;

/// Capacity of the cache of one engine, in pieces.
const PIECES_LIMIT: usize = 48;
/// Events that an engine keeps for its readers; a reader that is further behind sees a gap.
const EVENTS_LIMIT: usize = 256;

/// Faults in the publication of cache events.
#[derive(Debug, Clone, Copy, Default)]
pub struct CacheFaults {
    /// Time from a change of the cache until its event can be read.
    pub lag_ms: Duration,
    /// Share of events that are never published, in thousandths.
    pub lost_permille: u32,
    /// Share of events that are followed by an event that states the opposite, in thousandths.
    pub contradicted_permille: u32,
}

/// Prefix cache of one engine.
#[derive(Debug)]
pub struct TargetCache {
    /// Faults of the events published from now on.
    pub faults: CacheFaults,
    /// Least recently used piece first.
    pieces: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    rng: StdRng,
}

impl TargetCache {
    /// An empty cache without faults; `seed` decides which events a fault affects.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: CacheFaults::default(),
            pieces: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Stores the pieces of a prompt; returns how many leading pieces were cached before.
    pub fn process(&mut self, now: Instant, prefixes: &[u64]) -> u32 {
        let is_cached = |prefix: &&u64| self.pieces.contains(prefix);
        let matched = prefixes.iter().take_while(is_cached).count();
        // Stored in reverse, so that the end of a prompt is evicted before its start.
        for prefix in prefixes.iter().rev() {
            if let Some(at) = self.pieces.iter().position(|piece| piece == prefix) {
                self.pieces.remove(at);
            } else {
                self.publish(now, *prefix, true);
            }
            self.pieces.push_back(*prefix);
        }
        while self.pieces.len() > PIECES_LIMIT
            && let Some(oldest) = self.pieces.pop_front()
        {
            self.publish(now, oldest, false);
        }
        u32::try_from(matched).unwrap_or(u32::MAX)
    }

    /// Published events with a sequence number greater than `after`.
    #[must_use]
    pub fn read(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && *at <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Share of the memory in use, in thousandths.
    #[must_use]
    pub fn used_permille(&self) -> u16 {
        u16::try_from(self.pieces.len() * 1_000 / PIECES_LIMIT).unwrap_or(1_000)
    }

    /// Empties the cache after a crash. Event sequence numbers start from 1 again.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.events.clear();
        self.sequence = 0;
    }

    fn publish(&mut self, now: Instant, prefix: u64, stored: bool) {
        let contradicted = self.occurs(self.faults.contradicted_permille);
        self.publish_one(now, prefix, stored);
        if contradicted {
            self.publish_one(now, prefix, !stored);
        }
    }

    fn publish_one(&mut self, now: Instant, prefix: u64, stored: bool) {
        self.sequence += 1;
        if self.occurs(self.faults.lost_permille) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        };
        self.events.push_back((now + self.faults.lag_ms, event));
        if self.events.len() > EVENTS_LIMIT {
            self.events.pop_front();
        }
    }

    fn occurs(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }
}
