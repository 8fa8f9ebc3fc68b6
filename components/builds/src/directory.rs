//! Entries of streams, bounded in number and age.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::Notice;
use crate::Origin;
use crate::StreamKey;

/// Time for which an entry is kept after the stream began or went on; longer than callers wait.
pub const LIFETIME_MS: Duration = Duration::from_mins(2);
/// Largest number of entries; the oldest go first. About 6 MB.
const ENTRY_LIMIT: usize = 65_536;
/// Largest length of the names in an entry of another process.
const NAME_LIMIT_BYTES: usize = 256;

#[derive(Debug)]
struct Entry {
    /// `None` if two processes told different ones.
    origin: Option<Origin>,
    at: Instant,
}

/// Origins of streams, as this process and others have told them.
#[derive(Debug, Default)]
pub struct Directory {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order of their entries; one that was renewed occurs several times.
    order: VecDeque<(Instant, StreamKey)>,
}

impl Directory {
    /// Records where a stream began, or that it went on there.
    pub fn record(&mut self, now: Instant, notice: Notice) {
        let Notice { key, origin } = notice;
        if origin.service.len() > NAME_LIMIT_BYTES || origin.build.len() > NAME_LIMIT_BYTES {
            return;
        }
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            origin: Some(origin.clone()),
            at: now,
        });
        entry.at = now;
        if entry.origin.as_ref() != Some(&origin) {
            entry.origin = None;
        }
        self.order.push_back((now, key));
        while self.order.len() > ENTRY_LIMIT {
            self.remove_oldest();
        }
        self.expire(now);
    }

    /// Where a stream began, if that is known for certain.
    #[must_use]
    pub fn get(&self, now: Instant, key: StreamKey) -> Option<&Origin> {
        let entry = self.entries.get(&key)?;
        let is_alive = now.saturating_duration_since(entry.at) < LIFETIME_MS;
        entry.origin.as_ref().filter(|_| is_alive)
    }

    /// All entries that `is_selected` selects, for a process that has lost its own.
    pub fn notices(&self, is_selected: impl Fn(StreamKey) -> bool) -> Vec<Notice> {
        let selected = self.entries.iter().filter(|(key, _)| is_selected(**key));
        let notices = selected.filter_map(|(key, entry)| {
            Some(Notice {
                key: *key,
                origin: entry.origin.clone()?,
            })
        });
        notices.collect()
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front()
            && now.saturating_duration_since(*at) >= LIFETIME_MS
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, key)) = self.order.pop_front() else {
            return;
        };
        if self.entries.get(&key).is_some_and(|entry| entry.at == at) {
            self.entries.remove(&key);
        }
    }
}
