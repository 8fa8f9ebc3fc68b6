//! What became of non-idempotent attempts, remembered for the whole run in bounded space.
//!
//! Attempts are remembered one by one. When the memory is full, the oldest one is dropped and
//! a floor is raised for its entry: request counters of one entry only grow, so every unknown
//! attempt at or below the floor may be a forgotten one. It is neither run nor called not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use types::AttemptId;
use types::Incarnation;

/// Entries with a floor of their own. Beyond it, unknown entries are treated as below a floor.
const FLOOR_LIMIT: usize = 65_536;

/// What is known of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Never started in this run, and never will be.
    Forbidden,
    /// Handed to the target, or about to be.
    Started,
}

/// Answer of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recall {
    /// Known one by one.
    Known(Fate),
    /// A later attempt of the same request is known, and this one is not.
    Superseded,
    /// Neither known nor forgotten.
    New,
    /// It may have been known once.
    Forgotten,
}

/// Bounded memory of attempts.
pub struct Memory {
    limit: usize,
    fates: BTreeMap<AttemptId, Fate>,
    order: VecDeque<AttemptId>,
    floors: HashMap<Incarnation, u64>,
    floors_full: bool,
}

impl Memory {
    /// Remembers `limit` attempts one by one, at least one.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            fates: BTreeMap::new(),
            order: VecDeque::new(),
            floors: HashMap::new(),
            floors_full: false,
        }
    }

    /// What is known of an attempt.
    #[must_use]
    pub fn recall(&self, attempt: AttemptId) -> Recall {
        if let Some(fate) = self.fates.get(&attempt) {
            return Recall::Known(*fate);
        }
        let (entry, counter) = split(attempt);
        let forgotten = match self.floors.get(&entry) {
            Some(floor) => counter <= *floor,
            None => self.floors_full,
        };
        if forgotten {
            return Recall::Forgotten;
        }
        let last = AttemptId {
            request: attempt.request,
            number: u32::MAX,
        };
        if self.fates.range(attempt..=last).next().is_some() {
            return Recall::Superseded;
        }
        Recall::New
    }

    /// Remembers the fate of an attempt.
    pub fn set(&mut self, attempt: AttemptId, fate: Fate) {
        if self.fates.insert(attempt, fate).is_some() {
            return;
        }
        self.order.push_back(attempt);
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.fates.remove(&oldest);
                self.raise_floor(oldest);
            }
        }
    }

    /// Attempts remembered one by one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fates.len()
    }

    /// Whether nothing is remembered one by one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fates.is_empty()
    }

    fn raise_floor(&mut self, attempt: AttemptId) {
        let (entry, counter) = split(attempt);
        if let Some(floor) = self.floors.get_mut(&entry) {
            *floor = counter.max(*floor);
        } else if self.floors.len() < FLOOR_LIMIT {
            self.floors.insert(entry, counter);
        } else {
            self.floors_full = true;
        }
    }
}

/// Entry and counter of the request, as `types::ids::request_id` joins them.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the two halves of the id are meant"
)]
fn split(attempt: AttemptId) -> (Incarnation, u64) {
    ((attempt.request >> 64) as u64, attempt.request as u64)
}
