//! Model of the time that an engine takes for a prefill.
//!
//! An engine works in steps. The duration of a step is the sum of a fixed time, a time for each
//! running stream and a time for one chunk of a prompt. Attention adds a time for each pair of a
//! new token and a token before it.

use types::Role;

/// Prefill throughput of an engine; from the engines' data sheet.
const TOKENS_PER_MS: f64 = 61.4;
/// Attention time for a million pairs of tokens; from the engines' data sheet.
const MS_PER_MILLION_PAIRS: f64 = 0.525;
/// Fixed time of a step; from the engines' data sheet.
const STEP_BASE_MS: f64 = 4.55;
/// Time that each running stream adds to a step; from the engines' data sheet.
const STEP_PER_STREAM_MS: f64 = 0.181;
/// Prompt tokens processed in one step; from the engines' data sheet.
const CHUNK_TOKENS: f64 = 2048.0;
/// A decode engine runs prefills at half the speed, in chunks of a quarter of the size.
const DECODE_SLOWDOWN: f64 = 2.0;
const DECODE_CHUNK_FRACTION: f64 = 0.25;
/// Time from the end of the prefill to the first event; from the engines' data sheet.
pub const FIRST_EVENT_MS: f64 = 90.0;

/// Nominal prefill time over which an engine's speed is averaged: about ten prompts.
const SPEED_MEMORY_MS: f64 = 2_000.0;
/// Nominal prefill time of the prior: a new engine starts as if it had run this at nominal speed.
const SPEED_PRIOR_MS: f64 = 300.0;
/// Bounds of one sample of the slowdown; a prefill delayed by a fault says little about the speed.
const SPEED_SAMPLE_RANGE: (f64, f64) = (0.5, 6.0);

/// Moving average of an engine's prefill speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSpeed {
    nominal_ms: f64,
    actual_ms: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            nominal_ms: SPEED_PRIOR_MS,
            actual_ms: SPEED_PRIOR_MS,
        }
    }
}

impl PrefillSpeed {
    /// Adds a sample, weighted by its nominal time: short prefills consist mostly of delays.
    pub fn record(&mut self, nominal_ms: f64, actual_ms: f64) {
        let (least, most) = SPEED_SAMPLE_RANGE;
        let kept = SPEED_MEMORY_MS / (SPEED_MEMORY_MS + nominal_ms);
        let actual_ms = actual_ms.clamp(nominal_ms * least, nominal_ms * most);
        self.nominal_ms = self.nominal_ms * kept + nominal_ms;
        self.actual_ms = self.actual_ms * kept + actual_ms;
    }

    /// Measured duration of prefills relative to the nominal one; 1 at nominal speed.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.actual_ms / self.nominal_ms
    }
}

/// Size of the prefill of one prompt on one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillWork {
    /// Tokens that are not in the engine's prefix cache.
    pub new_tokens: f64,
    /// All tokens of the prompt.
    pub prompt_tokens: f64,
}

impl PrefillWork {
    /// Duration on an engine of nominal speed with `streams` running and no other prefill.
    #[must_use]
    pub fn duration_ms(&self, role: Role, streams: f64) -> f64 {
        let pairs = self.new_tokens * (self.prompt_tokens - self.new_tokens / 2.0);
        let compute_ms = self.new_tokens / TOKENS_PER_MS + pairs / 1e6 * MS_PER_MILLION_PAIRS;
        let (slowdown, chunk_tokens) = match role {
            Role::Prefill => (1.0, CHUNK_TOKENS),
            Role::Decode | Role::Mixed => (DECODE_SLOWDOWN, CHUNK_TOKENS * DECODE_CHUNK_FRACTION),
        };
        let steps = (self.new_tokens / chunk_tokens).ceil();
        compute_ms * slowdown + steps * step_ms(streams)
    }
}

/// Duration of a step without prefill.
#[must_use]
pub fn step_ms(streams: f64) -> f64 {
    STEP_BASE_MS + STEP_PER_STREAM_MS * streams
}
