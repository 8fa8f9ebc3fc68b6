//! The view that a process has of a store, and its questions.

use std::time::Duration;
use std::time::Instant;

use crate::Place;
use crate::Version;

/// Time for which the own poll may deliver a version that a peer has announced, before it is asked
/// for.
const POLL_LEAD_MS: Duration = Duration::from_millis(50);
/// Time between two questions while a newer version is known.
const RETRY_MS: Duration = Duration::from_millis(100);

/// Questions after which that time doubles, up to a number of times: the version may be lost.
const FAST_TRIES: u32 = 6;
const MAX_DOUBLINGS: u32 = 4;

/// Whom a process asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

/// What a process knows of the newest version.
#[derive(Debug, Clone)]
pub struct View {
    applied: Version,
    newest: Version,
    /// Since when `newest` is higher than `applied`, or nothing is applied.
    behind_since: Option<Instant>,
    /// The store had nothing newer than `newest` then.
    checked_at: Option<Instant>,
    /// When the question in flight was asked.
    asked_at: Option<Instant>,
    next_ask: Instant,
    next_source: Source,
    /// Questions since a newer version became known.
    tries: u32,
}

impl View {
    /// Knows no version.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            applied: 0,
            newest: 0,
            behind_since: Some(now),
            checked_at: None,
            asked_at: None,
            next_ask: now,
            next_source: Source::Store,
            tries: 0,
        }
    }

    /// Version in force here; 0 before the first.
    #[must_use]
    pub fn applied(&self) -> Version {
        self.applied
    }

    /// Newest version that is known of.
    #[must_use]
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Since when a newer version is known of, or none is in force; `None` if neither.
    #[must_use]
    pub fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }

    /// Age of the view; `None` if the store was never checked.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let checked_at = self.checked_at?;
        Some(now.saturating_duration_since(checked_at))
    }

    /// Records that a version exists.
    pub fn observe(&mut self, now: Instant, version: Version) {
        if version <= self.newest {
            return;
        }
        self.newest = version;
        self.tries = 0;
        if version > self.applied && self.behind_since.is_none() {
            self.behind_since = Some(now);
            self.next_ask = now + POLL_LEAD_MS;
            // The peer that announced it has it for certain.
            self.next_source = Source::Peer;
        }
    }

    /// Records that a version is in force here.
    pub fn apply(&mut self, now: Instant, version: Version) {
        self.applied = self.applied.max(version);
        self.newest = self.newest.max(version);
        if self.applied < self.newest {
            self.behind_since.get_or_insert(now);
        } else {
            self.behind_since = None;
        }
    }

    /// Records that the store had nothing newer than what is known of here at `at`.
    pub fn check(&mut self, at: Instant) {
        self.checked_at = self.checked_at.max(Some(at));
    }

    /// Records the view of a peer.
    pub fn hear(&mut self, now: Instant, version: Version, age: Option<Duration>) {
        self.observe(now, version);
        let checked_at = age.and_then(|age| now.checked_sub(age));
        if let Some(at) = checked_at.filter(|_| version >= self.applied) {
            self.check(at);
        }
    }

    /// The question to ask now, if one is due; [`Self::answered`] must follow.
    pub fn next_question(&mut self, now: Instant, place: Place) -> Option<Source> {
        if self.asked_at.is_some() || now < self.next_ask {
            return None;
        }
        let is_old = self.age(now).is_none_or(|age| age >= place.check_age_ms());
        if self.behind_since.is_none() && !is_old {
            return None;
        }
        self.asked_at = Some(now);
        let source = self.next_source;
        self.next_source = match source {
            Source::Store => Source::Peer,
            Source::Peer => Source::Store,
        };
        Some(source)
    }

    /// Records the end of a question. `is_answered` is false if there was no answer in time.
    pub fn answered(&mut self, now: Instant, place: Place, is_answered: bool) {
        let Some(asked_at) = self.asked_at.take() else {
            return;
        };
        self.next_ask = if self.newest > self.applied {
            self.tries += 1;
            now + RETRY_MS * (1 << self.tries.saturating_sub(FAST_TRIES).min(MAX_DOUBLINGS))
        } else if is_answered && self.behind_since.is_none() {
            self.next_source = Source::Store;
            now
        } else {
            asked_at + place.failed_check_interval_ms()
        };
    }
}
