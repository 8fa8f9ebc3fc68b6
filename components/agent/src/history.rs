//! Bounded history of attempts, so that none is started twice or after it was reported as not run.
//!
//! Attempts are recorded one by one. When the history is full, the oldest record is evicted and the
//! watermark of its entry is raised. Request counters of one entry only grow, so an unrecorded
//! attempt at or below the watermark may have been evicted. Such an attempt is neither run nor
//! reported as not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use types::AttemptId;
use types::Incarnation;

/// Maximum number of entries with a watermark. When it is reached, all attempts of an entry without
/// a watermark count as evicted.
const WATERMARK_LIMIT: usize = 65_536;

/// Recorded state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// Was not started in this process and never will be.
    Forbidden,
    /// Was sent to the target, or will be at once.
    Started,
}

/// Result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// The attempt has a record.
    Found(Record),
    /// The attempt has no record, but a later attempt of the same request has one.
    Superseded,
    /// The attempt was never recorded.
    New,
    /// The attempt may have been recorded and evicted.
    Evicted,
}

/// Records of attempts, with a limit on their number.
pub struct AttemptHistory {
    limit: usize,
    records: BTreeMap<AttemptId, Record>,
    insertion_order: VecDeque<AttemptId>,
    watermarks: HashMap<Incarnation, u64>,
    is_watermark_limit_reached: bool,
}

impl AttemptHistory {
    /// Keeps at most `limit` records, and at least one.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            records: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            watermarks: HashMap::new(),
            is_watermark_limit_reached: false,
        }
    }

    /// Looks up an attempt.
    #[must_use]
    pub fn lookup(&self, attempt: AttemptId) -> Lookup {
        if let Some(record) = self.records.get(&attempt) {
            return Lookup::Found(*record);
        }
        let (entry, counter) = split_id(attempt);
        let is_evicted = match self.watermarks.get(&entry) {
            Some(watermark) => counter <= *watermark,
            None => self.is_watermark_limit_reached,
        };
        if is_evicted {
            return Lookup::Evicted;
        }
        let last = AttemptId {
            request: attempt.request,
            number: u32::MAX,
        };
        if self.records.range(attempt..=last).next().is_some() {
            return Lookup::Superseded;
        }
        Lookup::New
    }

    /// Records an attempt, evicting the oldest record if the history is full.
    pub fn record(&mut self, attempt: AttemptId, record: Record) {
        if self.records.insert(attempt, record).is_some() {
            return;
        }
        self.insertion_order.push_back(attempt);
        while self.insertion_order.len() > self.limit {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.records.remove(&oldest);
                self.raise_watermark(oldest);
            }
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records; evicted attempts do not count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn raise_watermark(&mut self, attempt: AttemptId) {
        let (entry, counter) = split_id(attempt);
        if let Some(watermark) = self.watermarks.get_mut(&entry) {
            *watermark = counter.max(*watermark);
        } else if self.watermarks.len() < WATERMARK_LIMIT {
            self.watermarks.insert(entry, counter);
        } else {
            self.is_watermark_limit_reached = true;
        }
    }
}

/// Incarnation of the entry, and its request counter: the halves of `types::ids::request_id`.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the two halves of the id are meant"
)]
fn split_id(attempt: AttemptId) -> (Incarnation, u64) {
    ((attempt.request >> 64) as u64, attempt.request as u64)
}
