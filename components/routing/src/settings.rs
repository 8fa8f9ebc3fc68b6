//! Settings of the routing rules.

use std::collections::BTreeMap;
use std::time::Duration;

use types::Place;
use types::Role;

/// How fast an engine works in one role.
///
/// An engine works in steps. A step gives one token to each stream and processes one chunk of
/// prompt, and takes `step_ms + streams * stream_ms + chunk * prefill_ms_per_token`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleRates {
    /// Fixed time of a step.
    pub step_ms: f64,
    /// Time that each stream adds to a step.
    pub stream_ms: f64,
    /// Time that each prompt token adds to a step.
    pub prefill_ms_per_token: f64,
    /// Most prompt tokens in one step.
    pub chunk_tokens: u32,
    /// Most requests in service at once.
    pub slots: u32,
}

/// Parts of the routing rules that can be switched off to measure what each is worth.
#[allow(clippy::struct_excessive_bools)] // independent switches
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Use the prefix-cache index.
    pub cache: bool,
    /// Count what was dispatched since the last report.
    pub netting: bool,
    /// Use the estimated time to finish; otherwise the number of requests.
    pub estimate: bool,
    /// Favour targets that have been in service for a while.
    pub slow_start: bool,
    /// Eject targets that fail.
    pub ejection: bool,
    /// Say that a deadline cannot be met instead of dispatching anyway.
    pub feasibility: bool,
    /// Correct the estimate by how long answers took.
    pub correction: bool,
    /// Count the engine time that a request takes from others.
    pub work: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            cache: true,
            netting: true,
            estimate: true,
            slow_start: true,
            ejection: true,
            feasibility: true,
            correction: true,
            work: true,
        }
    }
}

/// Settings of a [`crate::Fleet`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Place of this entry.
    pub place: Place,
    /// One-way latency to other places.
    pub distance_ms: BTreeMap<Place, Duration>,
    /// One-way latency to places that are not listed.
    pub default_distance_ms: Duration,
    /// A target without an answered probe for this long takes no new work.
    pub probe_timeout_ms: Duration,
    /// Time over which a new target is slowly given work.
    pub slow_start_ms: Duration,
    /// Candidates sampled at random.
    pub sample_count: usize,
    /// Candidates looked at, at most, when the sampled ones are full or too slow.
    pub sample_limit: usize,
    /// Time after which the caller of `choose` asks again when every target is full.
    pub retry_ms: Duration,
    /// Weight of the engine time that a request takes from others on a full target, beside its own
    /// time to finish. Less than 20 loses cache hits under overload, see `docs/policy.md`.
    pub work_weight: f64,
    /// Prompt tokens of one cache piece.
    pub piece_tokens: u32,
    /// Most pairs of prefix and target in the prefix-cache index.
    pub index_limit: usize,
    /// Rates in the role `Prefill`.
    pub prefill: RoleRates,
    /// Rates in the role `Mixed`.
    pub mixed: RoleRates,
    /// Rates in the role `Decode`.
    pub decode: RoleRates,
    /// Parts that are switched on.
    pub mechanisms: Mechanisms,
}

impl Settings {
    /// Defaults for an entry in a place.
    #[must_use]
    pub fn new(place: impl Into<Place>) -> Self {
        Self {
            place: place.into(),
            distance_ms: BTreeMap::new(),
            default_distance_ms: Duration::from_micros(1_500),
            probe_timeout_ms: Duration::from_secs(2),
            slow_start_ms: Duration::from_secs(10),
            sample_count: 5,
            sample_limit: 16,
            retry_ms: Duration::from_millis(20),
            work_weight: 40.0,
            piece_tokens: 2_000,
            index_limit: 1 << 17,
            prefill: RoleRates {
                step_ms: 3.0,
                stream_ms: 0.35,
                prefill_ms_per_token: 0.06,
                chunk_tokens: 256,
                slots: 32,
            },
            mixed: RoleRates {
                step_ms: 3.0,
                stream_ms: 0.25,
                prefill_ms_per_token: 0.08,
                chunk_tokens: 128,
                slots: 48,
            },
            decode: RoleRates {
                step_ms: 3.0,
                stream_ms: 0.16,
                prefill_ms_per_token: 0.12,
                chunk_tokens: 64,
                slots: 64,
            },
            mechanisms: Mechanisms::default(),
        }
    }

    /// Rates in a role.
    #[must_use]
    pub fn rates(&self, role: Role) -> &RoleRates {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    /// One-way latency from this entry to a place.
    #[must_use]
    pub fn distance(&self, place: &str) -> Duration {
        if place == self.place {
            return Duration::ZERO;
        }
        self.distance_ms
            .get(place)
            .copied()
            .unwrap_or(self.default_distance_ms)
    }
}
