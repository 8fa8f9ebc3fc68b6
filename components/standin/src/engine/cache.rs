//! Prefix cache of the stand-in engine, with delayed and omitted events.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use types::CacheEvent;

/// Maximum number of events kept for readers.
const EVENT_LIMIT: usize = 65_536;

/// LRU cache of pieces, each identified by the hash of the prompt prefix that it ends.
pub struct PrefixCache {
    limit: usize,
    last_uses: HashMap<u64, u64>,
    /// Logical clock, incremented by each use of a piece.
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    gap: u64,
}

impl PrefixCache {
    /// Holds up to `limit` pieces; every `gap`-th event is omitted, none if `gap` is 0.
    pub fn new(limit: usize, gap: u64) -> Self {
        Self {
            limit,
            last_uses: HashMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap,
        }
    }

    /// Inserts or refreshes the pieces of a prompt; returns how many leading pieces were cached.
    pub fn insert(&mut self, now: Instant, pieces: &[u64]) -> u32 {
        let hits = pieces
            .iter()
            .take_while(|piece| self.last_uses.contains_key(piece))
            .count();
        for piece in pieces {
            self.clock += 1;
            if self.last_uses.insert(*piece, self.clock).is_none() {
                self.publish(now, *piece, true);
            }
        }
        while self.last_uses.len() > self.limit {
            let oldest = self.last_uses.iter().min_by_key(|(_, last_use)| **last_use);
            let Some(piece) = oldest.map(|(piece, _)| *piece) else {
                break;
            };
            self.last_uses.remove(&piece);
            self.publish(now, piece, false);
        }
        u32::try_from(hits).unwrap_or(u32::MAX)
    }

    /// Share of the capacity in use, in thousandths.
    pub fn used_permille(&self) -> u16 {
        let permille = self.last_uses.len() * 1000 / self.limit.max(1);
        u16::try_from(permille).unwrap_or(1000)
    }

    /// Evicts all pieces, as a model load or a crash does.
    pub fn clear(&mut self, now: Instant) {
        let pieces: Vec<u64> = self.last_uses.drain().map(|(piece, _)| piece).collect();
        for piece in pieces {
            self.publish(now, piece, false);
        }
    }

    /// Events after a sequence number that are at least `lag_ms` old.
    pub fn events(&self, now: Instant, after: u64, lag_ms: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && now >= *at + lag_ms)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, now: Instant, prefix: u64, stored: bool) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
