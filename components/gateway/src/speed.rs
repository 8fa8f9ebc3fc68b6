//! How long an engine takes to read a prompt.
//!
//! An engine works in steps: a step takes a fixed time, time for each running stream, and time for
//! a chunk of prompt. Attention adds time for each pair of a new token and one before it.

use types::Role;

/// Prompt tokens that an engine reads in a millisecond; from the engines' data sheet.
const TOKENS_PER_MS: f64 = 61.4;
/// Time for a million pairs of tokens; from the engines' data sheet.
const PAIRS_MS_PER_MILLION: f64 = 0.525;
/// Fixed time of a step; from the engines' data sheet.
const STEP_MS: f64 = 4.55;
/// Time that each running stream adds to a step; from the engines' data sheet.
const STREAM_STEP_MS: f64 = 0.181;
/// Prompt tokens of one step; from the engines' data sheet.
const CHUNK_TOKENS: f64 = 2048.0;
/// An engine that decodes reads prompts at half the speed, in chunks of a quarter of the size.
const DECODE_SLOWDOWN: f64 = 2.0;
const DECODE_CHUNK_PART: f64 = 0.25;
/// Time from the end of the prompt to the first event; from the engines' data sheet.
pub const FIRST_EVENT_MS: f64 = 90.0;

/// Nominal time of the readings from which an engine's pace is estimated: some ten prompts.
const PACE_MEMORY_MS: f64 = 2_000.0;
/// Nominal time of readings at nominal speed that a new engine is taken to have done.
const PACE_PRIOR_MS: f64 = 300.0;
/// Bounds of what one reading says; one that was held up by a fault says little of the speed.
const PACE_RANGE: (f64, f64) = (0.5, 6.0);

/// How fast an engine has read lately.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    nominal_ms: f64,
    actual_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            nominal_ms: PACE_PRIOR_MS,
            actual_ms: PACE_PRIOR_MS,
        }
    }
}

impl Pace {
    /// Takes a reading into account. Its weight is its size, since short ones consist of delays.
    pub fn has_read(&mut self, nominal_ms: f64, actual_ms: f64) {
        let (least, most) = PACE_RANGE;
        let kept = PACE_MEMORY_MS / (PACE_MEMORY_MS + nominal_ms);
        let actual_ms = actual_ms.clamp(nominal_ms * least, nominal_ms * most);
        self.nominal_ms = self.nominal_ms * kept + nominal_ms;
        self.actual_ms = self.actual_ms * kept + actual_ms;
    }

    /// Time that readings take, relative to the nominal speed.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.actual_ms / self.nominal_ms
    }
}

/// A prompt as one engine has to read it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reading {
    /// Tokens that are not in the engine's memory.
    pub new_tokens: f64,
    /// All tokens of the prompt.
    pub prompt_tokens: f64,
}

impl Reading {
    /// Time that an engine of nominal speed takes, alone.
    #[must_use]
    pub fn work_ms(&self, role: Role, streams: f64) -> f64 {
        let pairs = self.new_tokens * (self.prompt_tokens - self.new_tokens / 2.0);
        let compute_ms = self.new_tokens / TOKENS_PER_MS + pairs / 1e6 * PAIRS_MS_PER_MILLION;
        let (slowdown, chunk_tokens) = match role {
            Role::Prefill => (1.0, CHUNK_TOKENS),
            Role::Decode | Role::Mixed => (DECODE_SLOWDOWN, CHUNK_TOKENS * DECODE_CHUNK_PART),
        };
        let steps = (self.new_tokens / chunk_tokens).ceil();
        compute_ms * slowdown + steps * step_ms(streams)
    }
}

/// Time of a step that reads no prompt.
#[must_use]
pub fn step_ms(streams: f64) -> f64 {
    STEP_MS + STREAM_STEP_MS * streams
}
