//! Upper bound on goodput for one arrival trace, with perfect knowledge and free roles.
//!
//! The relaxation and the proof that it is an upper bound are in `docs/policy.md`.

use std::collections::HashSet;
use std::time::Duration;

use fakes::engine_job::Constants;
use routing::RoleRates;

use crate::scenario::PIECE_TOKENS;
use crate::scenario::Scenario;
use crate::script::Script;
use crate::trace::Call;

/// Length of a time slot.
const SLOT_S: f64 = 2.0;
/// Parts of the fixed time of a step that its streams pay for; its chunk pays for the rest.
const STEP_SHARES: [f64; 3] = [0.0, 0.5, 1.0];
/// Ways of sharing that the descent is run for, those with the lowest bound at flat prices.
const DESCENTS: usize = 2;
/// Steps of the descent; more steps lower the bound by less than a tenth of a per cent.
const DESCENT_STEPS: u32 = 300;
/// Prices tried that are the same in all slots.
const FLAT_PRICES: u32 = 60;

/// Bounds for one trace.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Requests.
    pub calls: f64,
    /// Engine seconds of work.
    pub work: f64,
}

struct Item {
    value: f64,
    work: f64,
    first: usize,
    last: usize,
}

/// Least engine time of each call, in seconds, for one way to share the steps' fixed time in each
/// role.
pub fn least_work(calls: &[Call], step_shares: [f64; 3]) -> Vec<f64> {
    let rates: [RoleRates; 3] = Constants::default().rates;
    let prefill_ms = |role: usize| {
        let step_ms = (1.0 - step_shares[role]) * rates[role].step_ms;
        rates[role].prefill_ms_per_token + step_ms / f64::from(rates[role].chunk_tokens)
    };
    let decode_ms = |role: usize| {
        let step_ms = step_shares[role] * rates[role].step_ms;
        rates[role].stream_ms + step_ms / f64::from(rates[role].slots)
    };
    let least = |cost: &dyn Fn(usize) -> f64| (0..3).map(cost).fold(f64::INFINITY, f64::min);
    let mut seen = HashSet::new();
    calls
        .iter()
        .map(|call| {
            // A piece has to be processed at least once by somebody, in any role; the first call
            // that brings it pays for it. The rest of the prompt and the output run in one role.
            let new = call.prefixes.iter().filter(|piece| seen.insert(**piece));
            let new = u32::try_from(new.count()).unwrap_or(u32::MAX) * PIECE_TOKENS;
            let whole = u32::try_from(call.prefixes.len()).unwrap_or(u32::MAX) * PIECE_TOKENS;
            let rest = f64::from(call.prompt_tokens.saturating_sub(whole));
            let output = f64::from(call.output_tokens.saturating_sub(1));
            let own = least(&|role| rest * prefill_ms(role) + output * decode_ms(role));
            (own + f64::from(new) * least(&prefill_ms)) / 1e3
        })
        .collect()
}

/// Computes both bounds: by number of requests, and by engine time.
pub fn bound(scenario: &Scenario, script: &Script, calls: &[Call], weights: &[f64]) -> Bound {
    let capacity = capacity(scenario, script, calls);
    let all = STEP_SHARES.map(|a| STEP_SHARES.map(|b| STEP_SHARES.map(|c| [a, b, c])));
    let works = all.into_iter().flatten().flatten();
    let works: Vec<_> = works.map(|shares| least_work(calls, shares)).collect();
    let lowest = |value: &dyn Fn(usize) -> f64| {
        let mut flat: Vec<_> = works
            .iter()
            .map(|work| {
                let items = items(calls, work, value);
                (best_flat_prices(&items, &capacity), items)
            })
            .collect();
        flat.sort_by(|a, b| a.0.0.total_cmp(&b.0.0));
        flat.into_iter()
            .take(DESCENTS)
            .map(|((_, price), items)| lowest_dual(&items, &capacity, price))
            .fold(f64::INFINITY, f64::min)
    };
    Bound {
        calls: lowest(&|_| 1.0),
        work: lowest(&|at| weights[at]),
    }
}

fn items(calls: &[Call], work: &[f64], value: impl Fn(usize) -> f64) -> Vec<Item> {
    let item = |(at, call): (usize, &Call)| Item {
        value: value(at),
        work: work[at],
        first: slot(call.at),
        last: slot(call.deadline),
    };
    calls.iter().enumerate().map(item).collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn slot(at: Duration) -> usize {
    (at.as_secs_f64() / SLOT_S) as usize
}

/// Engine seconds in each slot.
#[allow(clippy::cast_precision_loss)]
fn capacity(scenario: &Scenario, script: &Script, calls: &[Call]) -> Vec<f64> {
    let slots = calls
        .iter()
        .map(|call| slot(call.deadline))
        .max()
        .unwrap_or(0)
        + 1;
    (0..slots)
        .map(|at| {
            let begin = Duration::from_secs_f64(at as f64 * SLOT_S);
            let end = Duration::from_secs_f64((at + 1) as f64 * SLOT_S);
            let gone = script.engines_surely_gone(begin, end);
            (scenario.engines - gone) as f64 * SLOT_S
        })
        .collect()
}

/// Lowest value of the dual that the descent finds; every value is an upper bound.
fn lowest_dual(items: &[Item], capacity: &[f64], flat_price: f64) -> f64 {
    let mut prices = vec![flat_price; capacity.len()];
    let mut excess = vec![0.0; capacity.len()];
    let mut lowest = dual(items, capacity, &prices, &mut excess);
    let scale = items.iter().map(|item| item.value / item.work.max(1e-9));
    let scale = scale.fold(0.0, f64::max).min(4.0);
    for step in 1..=DESCENT_STEPS {
        let norm = excess.iter().map(|e| e * e).sum::<f64>().sqrt().max(1e-9);
        let length = scale / f64::from(step).sqrt() / norm;
        for (price, excess) in prices.iter_mut().zip(&excess) {
            *price = (*price + length * excess).max(0.0);
        }
        lowest = lowest.min(dual(items, capacity, &prices, &mut excess));
    }
    lowest
}

/// Lowest value of the dual with one price in all slots, and that price.
fn best_flat_prices(items: &[Item], capacity: &[f64]) -> (f64, f64) {
    let mut best = (f64::INFINITY, 0.0);
    let mut excess = vec![0.0; capacity.len()];
    for step in 0..=FLAT_PRICES {
        let price = if step == 0 {
            0.0
        } else {
            0.01 * 1.15_f64.powf(f64::from(step))
        };
        let value = dual(items, capacity, &vec![price; capacity.len()], &mut excess);
        if value < best.0 {
            best = (value, price);
        }
    }
    best
}

/// Value of the dual at the prices; `excess` gets the work that wants a slot beyond its capacity.
fn dual(items: &[Item], capacity: &[f64], prices: &[f64], excess: &mut [f64]) -> f64 {
    let cheapest = Cheapest::new(prices);
    let mut value = 0.0;
    for (at, capacity) in capacity.iter().enumerate() {
        value += capacity * prices[at];
        excess[at] = -capacity;
    }
    for item in items {
        let at = cheapest.between(prices, item.first, item.last);
        let surplus = item.value - item.work * prices[at];
        if surplus > 0.0 {
            value += surplus;
            excess[at] += item.work;
        }
    }
    value
}

/// Position of the lowest price in any range of slots.
struct Cheapest(Vec<Vec<usize>>);

impl Cheapest {
    fn new(prices: &[f64]) -> Self {
        let mut levels: Vec<Vec<usize>> = vec![(0..prices.len()).collect()];
        let mut width = 1;
        while 2 * width <= prices.len() {
            let below = &levels[levels.len() - 1];
            let level = (0..=prices.len() - 2 * width)
                .map(|at| lower(prices, below[at], below[at + width]))
                .collect();
            levels.push(level);
            width *= 2;
        }
        Self(levels)
    }

    fn between(&self, prices: &[f64], first: usize, last: usize) -> usize {
        let level = (last - first + 1).ilog2();
        let row = &self.0[level as usize];
        lower(prices, row[first], row[last + 1 - (1 << level)])
    }
}

fn lower(prices: &[f64], left: usize, right: usize) -> usize {
    if prices[right] < prices[left] {
        right
    } else {
        left
    }
}
