//! Times and numbers of recent events, in bounded memory.

use std::collections::HashMap;
use std::time::Instant;

/// Events of one key.
#[derive(Debug, Clone, Copy)]
struct Events {
    latest: Instant,
    count: u32,
}

/// Latest event of each key, and the number of its events. Of more than `limit` keys, the least recent may be forgotten.
#[derive(Debug)]
pub(crate) struct RecentTimes {
    limit: usize,
    current: HashMap<u64, Events>,
    /// Keys before the last time that `current` was full.
    previous: HashMap<u64, Events>,
}

impl RecentTimes {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            current: HashMap::new(),
            previous: HashMap::new(),
        }
    }

    /// Records an event.
    pub(crate) fn record(&mut self, key: u64, at: Instant) {
        let count = self.count(key).saturating_add(1);
        self.insert(key, at, count);
    }

    /// Records that there was an event, which may be known already.
    pub(crate) fn refresh(&mut self, key: u64, at: Instant) {
        let count = self.count(key).max(1);
        self.insert(key, at, count);
    }

    fn insert(&mut self, key: u64, at: Instant, count: u32) {
        let latest = self.get(key).map_or(at, |known| known.max(at));
        if self.current.len() >= self.limit && !self.current.contains_key(&key) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(key, Events { latest, count });
    }

    /// When the latest event was.
    pub(crate) fn get(&self, key: u64) -> Option<Instant> {
        self.events(key).map(|events| events.latest)
    }

    /// Number of events.
    pub(crate) fn count(&self, key: u64) -> u32 {
        self.events(key).map_or(0, |events| events.count)
    }

    /// What is in `current` includes what was in `previous`.
    fn events(&self, key: u64) -> Option<&Events> {
        let current = self.current.get(&key);
        current.or_else(|| self.previous.get(&key))
    }
}
