//! Estimates of the demand by class of request, with a fast and a slow time constant.
//!
//! Prefill and decode of a request run on the same engine. Requests are therefore grouped into
//! those whose prefill takes longer than their decode and the others, and both token rates are
//! kept for each class.

use std::time::Duration;
use std::time::Instant;

use routing::RoleRates;

/// Token rates of one class of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct Rate {
    /// Prompt tokens per second that the prefix cache did not hold.
    pub prefill: f64,
    /// Output tokens per second.
    pub decode: f64,
}

/// Share of urgent output in the decode class above which the whole class counts as urgent.
const MIN_URGENT_SHARE: f64 = 0.1;

/// Class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Prefill takes longer.
    Prefill,
    /// Decode takes longer.
    Decode,
    /// A fully loaded prefill engine would not finish the output before the caller gives up.
    Urgent,
}

/// Token rates by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct Demand {
    /// Requests of class [`Class::Prefill`].
    pub prefill_class: Rate,
    /// Requests of the classes [`Class::Decode`] and [`Class::Urgent`].
    pub decode_class: Rate,
    /// Requests of class [`Class::Urgent`], which are also part of `decode_class`.
    pub urgent: Rate,
}

impl Demand {
    /// Engine seconds per second that the prefill and the decode class need in a role.
    #[must_use]
    pub fn engine_time(&self, rates: &RoleRates) -> (f64, f64) {
        let (prefill, decode) = (&self.prefill_class, &self.decode_class);
        (prefill.engine_time(rates), decode.engine_time(rates))
    }

    /// The decode class if it has a relevant share of urgent requests, otherwise zero. The other
    /// requests of the class run on the same engines and delay the urgent ones.
    #[must_use]
    pub fn competing_with_urgent(&self) -> Rate {
        if self.urgent.decode > MIN_URGENT_SHARE * self.decode_class.decode {
            self.decode_class
        } else {
            Rate::default()
        }
    }
}

impl Rate {
    /// Engine seconds per second that these tokens need in a role.
    #[must_use]
    pub fn engine_time(&self, rates: &RoleRates) -> f64 {
        let (prefill_ms, decode_ms) = token_ms(rates);
        (self.prefill * prefill_ms + self.decode * decode_ms) / 1e3
    }
}

/// Engine time in ms of a prompt token and of an output token on a fully loaded engine.
#[must_use]
pub fn token_ms(rates: &RoleRates) -> (f64, f64) {
    (
        rates.prefill_ms_per_token + rates.step_ms / f64::from(rates.chunk_tokens),
        rates.stream_ms + rates.step_ms / f64::from(rates.slots),
    )
}

/// Token sums that decay exponentially with one time constant.
#[derive(Debug, Clone)]
struct DecayingSums {
    time_constant_s: f64,
    /// Prefill and decode tokens of the prefill class, the decode class and urgent requests.
    sums: [f64; 6],
    elapsed_s: f64,
}

impl DecayingSums {
    fn new(constant: Duration) -> Self {
        Self {
            time_constant_s: constant.as_secs_f64(),
            sums: [0.0; 6],
            elapsed_s: 0.0,
        }
    }

    fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / self.time_constant_s).exp();
        self.sums.iter_mut().for_each(|sum| *sum *= factor);
        self.elapsed_s += seconds;
    }

    fn demand(&self) -> Demand {
        // Elapsed time, decayed like the sums. It is below the time constant at first, so that the
        // time before the first update does not count as idle.
        let seconds = self.time_constant_s * (1.0 - (-self.elapsed_s / self.time_constant_s).exp());
        let rate = |at: usize| Rate {
            prefill: (self.sums[at] / seconds.max(0.1)).max(0.0),
            decode: (self.sums[at + 1] / seconds.max(0.1)).max(0.0),
        };
        Demand {
            prefill_class: rate(0),
            decode_class: rate(2),
            urgent: rate(4),
        }
    }
}

/// Fast and slow estimate of the demand.
#[derive(Debug, Clone)]
pub struct Mix {
    rates: RoleRates,
    last_update: Option<Instant>,
    fast: DecayingSums,
    slow: DecayingSums,
}

impl Mix {
    /// Creates empty estimates. `rates` are the engine rates that requests are classified with.
    #[must_use]
    pub fn new(rates: RoleRates, fast_ms: Duration, slow_ms: Duration) -> Self {
        Self {
            rates,
            last_update: None,
            fast: DecayingSums::new(fast_ms),
            slow: DecayingSums::new(slow_ms),
        }
    }

    /// Class of a request by its token-time; never [`Class::Urgent`].
    #[must_use]
    pub fn class(&self, prefill_tokens: f64, decode_tokens: f64) -> Class {
        let (prefill_ms, decode_ms) = token_ms(&self.rates);
        if prefill_tokens * prefill_ms > decode_tokens * decode_ms {
            Class::Prefill
        } else {
            Class::Decode
        }
    }

    /// Adds tokens to a class. Negative numbers correct an earlier overestimate.
    pub fn add(&mut self, now: Instant, class: Class, prefill: f64, decode: f64) {
        self.advance(now);
        let positions: &[usize] = match class {
            Class::Prefill => &[0],
            Class::Decode => &[2],
            Class::Urgent => &[2, 4],
        };
        for estimate in [&mut self.fast, &mut self.slow] {
            for at in positions {
                estimate.sums[*at] += prefill;
                estimate.sums[at + 1] += decode;
            }
        }
    }

    /// Decays the sums up to `now`.
    pub fn advance(&mut self, now: Instant) {
        let last = *self.last_update.get_or_insert(now);
        let seconds = now.saturating_duration_since(last).as_secs_f64();
        self.last_update = Some(last.max(now));
        self.fast.decay(seconds);
        self.slow.decay(seconds);
    }

    /// Time from the first to the latest update, in seconds.
    #[must_use]
    pub fn measured_s(&self) -> f64 {
        self.fast.elapsed_s
    }

    /// Current rates by the fast estimate.
    #[must_use]
    pub fn fast(&self) -> Demand {
        self.fast.demand()
    }

    /// Current rates by the slow estimate.
    #[must_use]
    pub fn slow(&self) -> Demand {
        self.slow.demand()
    }
}
