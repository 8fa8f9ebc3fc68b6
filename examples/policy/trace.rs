//! Arrivals of one run.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::scenario::ARRIVALS;
use crate::scenario::PIECE_TOKENS;
use crate::scenario::Scenario;
use crate::scenario::Sub;

/// Time over which arrival rates are taken as constant.
const GRID_S: f64 = 0.1;

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: Duration,
    pub class: usize,
    pub entry: usize,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub max_output_tokens: u32,
    pub prefixes: Vec<u64>,
    pub deadline: Duration,
}

/// Poisson arrivals with the rates of the scenario.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn arrivals(scenario: &Scenario, sub: Sub, load: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7ACE);
    let mut calls = Vec::new();
    let steps = (ARRIVALS.as_secs_f64() / GRID_S) as u32;
    for step in 0..steps {
        let begin = f64::from(step) * GRID_S;
        for class in 0..scenario.classes.len() {
            let rate = scenario.rate(class, sub, load, begin);
            let mut at = begin + exponential(&mut rng, rate);
            while at < begin + GRID_S {
                calls.push(call(scenario, class, at, &mut rng));
                at += exponential(&mut rng, rate);
            }
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn exponential(rng: &mut SmallRng, rate: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate.max(1e-9)
}

#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn call(scenario: &Scenario, class: usize, at: f64, rng: &mut SmallRng) -> Call {
    let spec = &scenario.classes[class];
    let tail = rng.random_range(spec.prompt.0..=spec.prompt.1);
    let output_tokens = rng.random_range(spec.output.0..=spec.output.1);
    // Callers ask for more than they need, by a factor between 1 and 2.
    let bound = f64::from(output_tokens) * rng.random_range(1.0..2.0);
    // Documents differ in popularity: the lower the number, the more often it is read.
    let skew = rng.random::<f64>().powf(1.6);
    let document = (skew * scenario.documents as f64) as u64;
    let shared = (1..=spec.shared_pieces).map(|piece| hash(document, u64::from(piece)));
    let unique = rng.random::<u64>();
    let whole = tail / PIECE_TOKENS;
    let own = (1..=whole).map(|piece| hash(unique, u64::from(piece)));
    let at = Duration::from_secs_f64(at);
    Call {
        at,
        class,
        entry: rng.random_range(0..scenario.entries),
        prompt_tokens: spec.shared_pieces * PIECE_TOKENS + tail,
        output_tokens,
        max_output_tokens: bound as u32,
        prefixes: shared.chain(own).collect(),
        deadline: at + spec.deadline,
    }
}

fn hash(document: u64, piece: u64) -> u64 {
    let mixed = (document.wrapping_add(1) << 16 ^ piece).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}
