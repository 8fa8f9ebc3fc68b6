//! Upper bound on the goodput for one arrival trace, for a policy that knows all arrivals and
//! changes roles without cost.
//!
//! The bound comes from the dual of a relaxed scheduling problem, with a price for the engine time
//! in each slot. `docs/policy.md` states the relaxation and proves that it is an upper bound.

use std::collections::HashSet;
use std::time::Duration;

use fakes::engine_job::EngineSettings;
use routing::RoleRates;

use crate::scenario::PIECE_TOKENS;
use crate::scenario::Scenario;
use crate::script::Script;
use crate::trace::Call;

/// Length of a time slot of the relaxed problem.
const SLOT_S: f64 = 2.0;
/// Shares of the fixed time of a step that are charged to its decoding requests. The rest is
/// charged to its prompt chunk.
const STEP_SHARES: [f64; 3] = [0.0, 0.5, 1.0];
/// Number of divisions of the step time for which the descent runs: those with the lowest bounds at
/// flat prices.
const DESCENT_CANDIDATES: usize = 2;
/// Steps of the subgradient descent. More steps lower the bound by less than 0.1 %.
const DESCENT_STEPS: u32 = 300;
/// Number of flat prices tried, that is, the same price in all slots.
const FLAT_PRICES: u32 = 60;

/// Upper bounds for one trace.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Number of calls answered by their deadline.
    pub calls: f64,
    /// Engine time of the calls answered by their deadline, in seconds.
    pub engine_s: f64,
}

struct Item {
    value: f64,
    engine_s: f64,
    first_slot: usize,
    last_slot: usize,
}

/// Least engine time of each call, in seconds.
///
/// `step_shares` is the share of the fixed time of a step charged to decoding, for each role.
pub fn least_engine_s(calls: &[Call], step_shares: [f64; 3]) -> Vec<f64> {
    let rates: [RoleRates; 3] = EngineSettings::default().rates;
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
            // Each piece is processed at least once, by an engine in any role, and is charged to
            // the first call that has it. The rest of the prompt and the output run in one role.
            let new = call.prefixes.iter().filter(|piece| seen.insert(**piece));
            let new = u32::try_from(new.count()).unwrap_or(u32::MAX) * PIECE_TOKENS;
            let in_pieces = u32::try_from(call.prefixes.len()).unwrap_or(u32::MAX) * PIECE_TOKENS;
            let rest = f64::from(call.prompt_tokens.saturating_sub(in_pieces));
            let output = f64::from(call.output_tokens.saturating_sub(1));
            let own_ms = least(&|role| rest * prefill_ms(role) + output * decode_ms(role));
            (own_ms + f64::from(new) * least(&prefill_ms)) / 1e3
        })
        .collect()
}

/// Computes both bounds: `weights` are the values of the calls for the bound on the engine time.
pub fn bound(scenario: &Scenario, script: &Script, calls: &[Call], weights: &[f64]) -> Bound {
    let capacity = capacity(scenario, script, calls);
    let divisions = STEP_SHARES.map(|a| STEP_SHARES.map(|b| STEP_SHARES.map(|c| [a, b, c])));
    let divisions = divisions.into_iter().flatten().flatten();
    let engine_s_of_divisions: Vec<_> = divisions
        .map(|shares| least_engine_s(calls, shares))
        .collect();
    let lowest = |value: &dyn Fn(usize) -> f64| {
        let mut candidates: Vec<_> = engine_s_of_divisions
            .iter()
            .map(|engine_s| {
                let items = items(calls, engine_s, value);
                (best_flat_price(&items, &capacity), items)
            })
            .collect();
        candidates.sort_by(|a, b| a.0.0.total_cmp(&b.0.0));
        candidates
            .into_iter()
            .take(DESCENT_CANDIDATES)
            .map(|((_, price), items)| lowest_dual(&items, &capacity, price))
            .fold(f64::INFINITY, f64::min)
    };
    Bound {
        calls: lowest(&|_| 1.0),
        engine_s: lowest(&|at| weights[at]),
    }
}

fn items(calls: &[Call], engine_s: &[f64], value: impl Fn(usize) -> f64) -> Vec<Item> {
    let item = |(at, call): (usize, &Call)| Item {
        value: value(at),
        engine_s: engine_s[at],
        first_slot: slot(call.at),
        last_slot: slot(call.deadline),
    };
    calls.iter().enumerate().map(item).collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn slot(at: Duration) -> usize {
    (at.as_secs_f64() / SLOT_S) as usize
}

/// Available engine time in each slot, in seconds.
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
            let unavailable = script.engines_out_of_service(begin, end);
            (scenario.engines - unavailable) as f64 * SLOT_S
        })
        .collect()
}

/// Lowest value of the dual that the descent finds. Every value of the dual is an upper bound.
fn lowest_dual(items: &[Item], capacity: &[f64], flat_price: f64) -> f64 {
    let mut prices = vec![flat_price; capacity.len()];
    let mut excess = vec![0.0; capacity.len()];
    let mut lowest = dual(items, capacity, &prices, &mut excess);
    let scale = items
        .iter()
        .map(|item| item.value / item.engine_s.max(1e-9));
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
fn best_flat_price(items: &[Item], capacity: &[f64]) -> (f64, f64) {
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

/// Value of the dual at these prices. `excess` is set to the engine time assigned to each slot, less
/// its capacity.
fn dual(items: &[Item], capacity: &[f64], prices: &[f64], excess: &mut [f64]) -> f64 {
    let cheapest_slots = CheapestSlots::new(prices);
    let mut value = 0.0;
    for (at, capacity) in capacity.iter().enumerate() {
        value += capacity * prices[at];
        excess[at] = -capacity;
    }
    for item in items {
        let at = cheapest_slots.between(prices, item.first_slot, item.last_slot);
        let surplus = item.value - item.engine_s * prices[at];
        if surplus > 0.0 {
            value += surplus;
            excess[at] += item.engine_s;
        }
    }
    value
}

/// Sparse table that finds the slot with the lowest price in a range of slots.
struct CheapestSlots(Vec<Vec<usize>>);

impl CheapestSlots {
    fn new(prices: &[f64]) -> Self {
        let mut levels: Vec<Vec<usize>> = vec![(0..prices.len()).collect()];
        let mut width = 1;
        while 2 * width <= prices.len() {
            let below = &levels[levels.len() - 1];
            let level = (0..=prices.len() - 2 * width)
                .map(|at| cheaper_slot(prices, below[at], below[at + width]))
                .collect();
            levels.push(level);
            width *= 2;
        }
        Self(levels)
    }

    fn between(&self, prices: &[f64], first: usize, last: usize) -> usize {
        let level = (last - first + 1).ilog2();
        let row = &self.0[level as usize];
        cheaper_slot(prices, row[first], row[last + 1 - (1 << level)])
    }
}

fn cheaper_slot(prices: &[f64], left: usize, right: usize) -> usize {
    if prices[right] < prices[left] {
        right
    } else {
        left
    }
}
