//! Prefix cache of a fake target, whose events come late, with gaps and with contradictions.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::CacheEvent;

/// Pieces that fit into the memory of one engine.
const PIECES_LIMIT: usize = 48;
/// Events that an engine keeps for its readers; older ones are a gap.
const EVENTS_LIMIT: usize = 256;

/// What goes wrong between the cache and the reader of its events.
#[derive(Debug, Clone, Copy, Default)]
pub struct CacheFaults {
    /// Age of an event before it can be read.
    pub lag_ms: Duration,
    /// Events in thousand that are never published.
    pub lost_permille: u32,
    /// Events in thousand that are followed by one that says the opposite.
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
    random: StdRng,
}

impl TargetCache {
    /// An empty cache.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            faults: CacheFaults::default(),
            pieces: VecDeque::new(),
            events: VecDeque::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Processes a prompt; returns the number of leading pieces that were there before.
    pub fn process(&mut self, now: Instant, prefixes: &[u64]) -> u32 {
        let held = |prefix: &&u64| self.pieces.contains(prefix);
        let matched = prefixes.iter().take_while(held).count();
        // The end of a prompt is evicted before its start.
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

    /// Events after a sequence number that can be read by now.
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

    /// The engine has crashed; another run numbers its events from 1 again.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.events.clear();
        self.sequence = 0;
    }

    fn publish(&mut self, now: Instant, prefix: u64, stored: bool) {
        let contradicted = self.chance(self.faults.contradicted_permille);
        self.push(now, prefix, stored);
        if contradicted {
            self.push(now, prefix, !stored);
        }
    }

    fn push(&mut self, now: Instant, prefix: u64, stored: bool) {
        self.sequence += 1;
        if self.chance(self.faults.lost_permille) {
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

    fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1_000) < permille
    }
}
