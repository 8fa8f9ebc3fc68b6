//! Bounded queue of one profile: priority, then earliest deadline; waiting raises the priority.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use types::RequestId;

/// Waiting this long raises the priority by one, so that long reads are not starved. A request
/// of the lowest priority (9) reaches the highest one within the default deadline of 30 s.
const AGING_STEP_MS: Duration = Duration::from_secs(3);
/// Weight of a new sample in the moving average of the time between departures.
const SMOOTHING: f64 = 0.2;
/// Departures seen before the average is used to refuse requests.
const MIN_SAMPLES: u32 = 8;

#[derive(Debug, Clone, Copy)]
struct Place {
    level: u8,
    deadline: Instant,
    promote_at: Instant,
}

/// Requests of one profile that wait for a target.
#[derive(Debug, Default)]
pub struct Queue {
    order: BTreeSet<(u8, Instant, RequestId)>,
    promotions: BTreeSet<(Instant, RequestId)>,
    places: HashMap<RequestId, Place>,
    departed: Option<Instant>,
    interval_s: f64,
    samples: u32,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether nothing is lost when the queue is dropped.
    #[must_use]
    pub fn is_forgettable(&self) -> bool {
        self.is_empty() && self.samples == 0
    }

    /// Adds a request. `waiting_since` is earlier than `now` if it was queued before.
    pub fn push(
        &mut self,
        now: Instant,
        request: RequestId,
        priority: u8,
        deadline: Instant,
        waiting_since: Instant,
    ) {
        if self.is_empty() {
            self.departed = None;
        }
        let waited = now.saturating_duration_since(waiting_since);
        let steps = waited.as_millis() / AGING_STEP_MS.as_millis();
        let raised = u8::try_from(steps).unwrap_or(u8::MAX);
        let place = Place {
            level: priority.saturating_sub(raised),
            deadline,
            promote_at: waiting_since + AGING_STEP_MS * (u32::from(raised) + 1),
        };
        self.insert(request, place);
    }

    fn insert(&mut self, request: RequestId, place: Place) {
        self.order.insert((place.level, place.deadline, request));
        self.promotions.insert((place.promote_at, request));
        self.places.insert(request, place);
    }

    /// Removes a request, wherever it stands.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let Some(place) = self.places.remove(&request) else {
            return false;
        };
        self.order.remove(&(place.level, place.deadline, request));
        self.promotions.remove(&(place.promote_at, request));
        true
    }

    /// The request to serve next, with its level.
    pub fn first(&mut self, now: Instant) -> Option<(u8, Instant, RequestId)> {
        self.promote(now);
        self.order.first().copied()
    }

    /// A request left the queue for a target.
    pub fn depart(&mut self, now: Instant, request: RequestId) {
        if !self.remove(request) {
            return;
        }
        if let Some(last) = self.departed.replace(now) {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            self.interval_s += SMOOTHING * (sample - self.interval_s);
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Expected wait of a request that joins now, from the pace of recent departures.
    #[must_use]
    pub fn expected_wait(&self, priority: u8, deadline: Instant) -> Duration {
        if self.samples < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let ahead = self
            .order
            .range(..(priority, deadline, RequestId::MAX))
            .count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        Duration::from_secs_f64(self.interval_s * f64::from(ahead))
    }

    fn promote(&mut self, now: Instant) {
        while let Some(&(at, request)) = self.promotions.first() {
            if at > now {
                return;
            }
            let Some(place) = self.places.get(&request).copied() else {
                self.promotions.remove(&(at, request));
                continue;
            };
            self.remove(request);
            self.insert(
                request,
                Place {
                    level: place.level.saturating_sub(1),
                    promote_at: at + AGING_STEP_MS,
                    ..place
                },
            );
        }
    }
}
