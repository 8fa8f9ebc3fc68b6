//! The mix of work as token-time, with a fast and a slow estimate.
//!
//! A request stays on one engine, so its prefill and decode cannot be placed apart. Requests are
//! therefore summed in two classes, those whose prefill takes longer than their decode and the
//! others, and each class keeps both of its token rates.

use std::time::Duration;
use std::time::Instant;

use routing::RoleRates;

/// Token rates of one class of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct Rate {
    /// Prompt tokens per second that were not in a prefix cache.
    pub prefill: f64,
    /// Output tokens per second.
    pub decode: f64,
}

/// Least share of urgent work in the output of the decode class that is noticed.
const URGENT_SHARE: f64 = 0.1;

/// Class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Prefill takes longer.
    Prefill,
    /// Decode takes longer.
    Decode,
    /// The output would come too late at the pace of a busy prefill engine.
    Urgent,
}

/// Token rates by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct Demand {
    /// Requests whose prefill takes longer.
    pub prefill_class: Rate,
    /// Requests whose decode takes longer, and urgent ones.
    pub decode_class: Rate,
    /// Part of the decode class that is too urgent for a busy prefill engine.
    pub urgent: Rate,
}

impl Demand {
    /// Engine time per second in a role, for the prefill and the decode class.
    #[must_use]
    pub fn engine_time(&self, rates: &RoleRates) -> (f64, f64) {
        let (prefill, decode) = (&self.prefill_class, &self.decode_class);
        (prefill.engine_time(rates), decode.engine_time(rates))
    }

    /// The decode class if urgent work is a part of it, because it shares engines and so delays it.
    #[must_use]
    pub fn beside_urgent(&self) -> Rate {
        if self.urgent.decode > URGENT_SHARE * self.decode_class.decode {
            self.decode_class
        } else {
            Rate::default()
        }
    }
}

impl Rate {
    /// Engine time per second in a role.
    #[must_use]
    pub fn engine_time(&self, rates: &RoleRates) -> f64 {
        let (prefill_ms, decode_ms) = token_ms(rates);
        (self.prefill * prefill_ms + self.decode * decode_ms) / 1e3
    }
}

/// Engine time of a prompt token and of an output token on a busy engine.
#[must_use]
pub fn token_ms(rates: &RoleRates) -> (f64, f64) {
    (
        rates.prefill_ms_per_token + rates.step_ms / f64::from(rates.chunk_tokens),
        rates.stream_ms + rates.step_ms / f64::from(rates.slots),
    )
}

/// Decaying sums of one time constant.
#[derive(Debug, Clone)]
struct Decaying {
    constant_s: f64,
    sums: [f64; 6],
    elapsed_s: f64,
}

impl Decaying {
    fn new(constant: Duration) -> Self {
        Self {
            constant_s: constant.as_secs_f64(),
            sums: [0.0; 6],
            elapsed_s: 0.0,
        }
    }

    fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / self.constant_s).exp();
        self.sums.iter_mut().for_each(|sum| *sum *= factor);
        self.elapsed_s += seconds;
    }

    fn demand(&self) -> Demand {
        // While less time has passed than the sum remembers, the missing part is not idle time.
        let seconds = self.constant_s * (1.0 - (-self.elapsed_s / self.constant_s).exp());
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

/// Fast and slow estimate of the mix.
#[derive(Debug, Clone)]
pub struct Mix {
    rates: RoleRates,
    last: Option<Instant>,
    fast: Decaying,
    slow: Decaying,
}

impl Mix {
    /// Starts with nothing measured; `rates` are those that the classes are told apart with.
    #[must_use]
    pub fn new(rates: RoleRates, fast_ms: Duration, slow_ms: Duration) -> Self {
        Self {
            rates,
            last: None,
            fast: Decaying::new(fast_ms),
            slow: Decaying::new(slow_ms),
        }
    }

    /// The class of a request by its token-time.
    #[must_use]
    pub fn class(&self, prefill_tokens: f64, decode_tokens: f64) -> Class {
        let (prefill_ms, decode_ms) = token_ms(&self.rates);
        if prefill_tokens * prefill_ms > decode_tokens * decode_ms {
            Class::Prefill
        } else {
            Class::Decode
        }
    }

    /// Adds a request to a class; negative figures take back what was expected too much.
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

    /// Lets time pass.
    pub fn advance(&mut self, now: Instant) {
        let last = *self.last.get_or_insert(now);
        let seconds = now.saturating_duration_since(last).as_secs_f64();
        self.last = Some(last.max(now));
        self.fast.decay(seconds);
        self.slow.decay(seconds);
    }

    /// Time since the first event.
    #[must_use]
    pub fn measured_s(&self) -> f64 {
        self.fast.elapsed_s
    }

    /// The fast estimate.
    #[must_use]
    pub fn fast(&self) -> Demand {
        self.fast.demand()
    }

    /// The slow estimate.
    #[must_use]
    pub fn slow(&self) -> Demand {
        self.slow.demand()
    }
}
