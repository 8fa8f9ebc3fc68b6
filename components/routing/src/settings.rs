//! Settings of the routing policy.

use std::collections::BTreeMap;
use std::time::Duration;

use types::DataCentre;
use types::Role;

/// Speed of an engine in a role.
///
/// An engine runs in steps. A step decodes one token of each stream and prefills one chunk of
/// prompt tokens; it takes `step_ms + streams * stream_ms + chunk * prefill_ms_per_token`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleRates {
    /// Fixed time per step.
    pub step_ms: f64,
    /// Additional time of a step per stream.
    pub stream_ms: f64,
    /// Additional time of a step per prompt token.
    pub prefill_ms_per_token: f64,
    /// Maximum prompt tokens per step.
    pub chunk_tokens: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Parts of the routing policy. Each can be disabled to measure its effect.
#[allow(clippy::struct_excessive_bools)] // each part is enabled on its own
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Prefer targets that hold the prefix, by the prefix-cache index.
    pub cache: bool,
    /// Add the dispatches that the last report does not include to the load.
    pub count_unreported: bool,
    /// Rank by estimated completion time; otherwise by the number of requests.
    pub estimate: bool,
    /// Penalise targets that became open recently.
    pub slow_start: bool,
    /// Eject targets after repeated failures.
    pub ejection: bool,
    /// Refuse requests whose estimated completion is after their deadline.
    pub feasibility: bool,
    /// Scale estimates by the ratio of actual to estimated time of earlier answers.
    pub correction: bool,
    /// Add the delay that a request causes to others on the target to its rank.
    pub count_displaced_work: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            cache: true,
            count_unreported: true,
            estimate: true,
            slow_start: true,
            ejection: true,
            feasibility: true,
            correction: true,
            count_displaced_work: true,
        }
    }
}

/// Settings of [`crate::Fleet`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Data centre of this entry.
    pub data_centre: DataCentre,
    /// One-way network latency to other data centres.
    pub distance_ms: BTreeMap<DataCentre, Duration>,
    /// One-way network latency to data centres not in `distance_ms`.
    pub default_distance_ms: Duration,
    /// Time since the last answered probe after which a target gets no new work.
    pub probe_timeout_ms: Duration,
    /// Time over which the traffic of a new target is increased.
    pub slow_start_ms: Duration,
    /// Number of targets sampled at random.
    pub sample_count: usize,
    /// Maximum number of sampled targets while those sampled are full or too slow.
    pub sample_limit: usize,
    /// Delay before the next call of `choose` while every target is full or away.
    pub retry_ms: Duration,
    /// Weight of a request's engine time on a full target, added to its completion time as the
    /// delay of other requests. Values below 20 lose cache hits under overload, see
    /// `docs/policy.md`.
    pub work_weight: f64,
    /// Prompt tokens per cache piece.
    pub piece_tokens: u32,
    /// Maximum number of pairs of prefix and target in the prefix-cache index.
    pub index_limit: usize,
    /// Rates while the engine is tuned for prefill.
    pub prefill: RoleRates,
    /// Rates while the engine is tuned for neither.
    pub mixed: RoleRates,
    /// Rates while the engine is tuned for decoding.
    pub decode: RoleRates,
    /// Enabled parts of the policy.
    pub mechanisms: Mechanisms,
}

impl Settings {
    /// Default settings of an entry in a data centre.
    #[must_use]
    pub fn new(data_centre: impl Into<DataCentre>) -> Self {
        Self {
            data_centre: data_centre.into(),
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

    /// Speed of an engine in a role.
    #[must_use]
    pub fn rates(&self, role: Role) -> &RoleRates {
        match role {
            Role::Prefill => &self.prefill,
            Role::Decode => &self.decode,
            Role::Mixed => &self.mixed,
        }
    }

    /// One-way network latency from this entry to a data centre.
    #[must_use]
    pub fn one_way_latency(&self, data_centre: &str) -> Duration {
        if data_centre == self.data_centre {
            return Duration::ZERO;
        }
        self.distance_ms
            .get(data_centre)
            .copied()
            .unwrap_or(self.default_distance_ms)
    }
}
