//! Prefix cache of the stand-in engine, with events that come late and with gaps.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use types::CacheEvent;

/// Events kept for readers.
const EVENT_LIMIT: usize = 65_536;

/// Least recently used cache pieces.
pub struct PrefixCache {
    limit: usize,
    used: HashMap<u64, u64>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
    gap: u64,
}

impl PrefixCache {
    /// Holds `limit` pieces; every `gap`-th event is left out.
    pub fn new(limit: usize, gap: u64) -> Self {
        Self {
            limit,
            used: HashMap::new(),
            clock: 0,
            events: VecDeque::new(),
            sequence: 0,
            gap,
        }
    }

    /// Takes the pieces of a prompt; returns how many of its first pieces were there.
    pub fn touch(&mut self, now: Instant, pieces: &[u64]) -> u32 {
        let found = pieces
            .iter()
            .take_while(|piece| self.used.contains_key(piece))
            .count();
        for piece in pieces {
            self.clock += 1;
            if self.used.insert(*piece, self.clock).is_none() {
                self.publish(now, *piece, true);
            }
        }
        while self.used.len() > self.limit {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used);
            let Some(piece) = oldest.map(|(piece, _)| *piece) else {
                break;
            };
            self.used.remove(&piece);
            self.publish(now, piece, false);
        }
        u32::try_from(found).unwrap_or(u32::MAX)
    }

    /// Share in use, in thousandths.
    pub fn used_permille(&self) -> u16 {
        let permille = self.used.len() * 1000 / self.limit.max(1);
        u16::try_from(permille).unwrap_or(1000)
    }

    /// Drops all pieces, as a load or a crash does.
    pub fn clear(&mut self, now: Instant) {
        let pieces: Vec<u64> = self.used.drain().map(|(piece, _)| piece).collect();
        for piece in pieces {
            self.publish(now, piece, false);
        }
    }

    /// Events after a sequence number that are at least as old as the lag.
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
