//! Random calls of one run, with their arrival times.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::scenario::ARRIVAL_PERIOD_MS;
use crate::scenario::PIECE_TOKENS;
use crate::scenario::Scenario;
use crate::scenario::SubScenario;

/// Interval in which the arrival rates are constant.
const RATE_INTERVAL_S: f64 = 0.1;

/// One call.
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

/// Generates Poisson arrivals at the rates of the scenario.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn arrivals(scenario: &Scenario, sub_scenario: SubScenario, load: f64, seed: u64) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7ACE);
    let mut calls = Vec::new();
    let steps = (ARRIVAL_PERIOD_MS.as_secs_f64() / RATE_INTERVAL_S) as u32;
    for step in 0..steps {
        let start_s = f64::from(step) * RATE_INTERVAL_S;
        for class in 0..scenario.classes.len() {
            let rate = scenario.rate(class, sub_scenario, load, start_s);
            let mut at = start_s + exponential(&mut rng, rate);
            while at < start_s + RATE_INTERVAL_S {
                calls.push(generate_call(scenario, class, at, &mut rng));
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
fn generate_call(scenario: &Scenario, class: usize, at: f64, rng: &mut SmallRng) -> Call {
    let class_spec = &scenario.classes[class];
    let own_tokens = rng.random_range(class_spec.prompt_tokens.0..=class_spec.prompt_tokens.1);
    let output_tokens = rng.random_range(class_spec.output_tokens.0..=class_spec.output_tokens.1);
    // Callers set a limit of 1 to 2 times the output that they get.
    let output_limit = f64::from(output_tokens) * rng.random_range(1.0..2.0);
    // Documents with a lower number are requested more often.
    let document_position = rng.random::<f64>().powf(1.6);
    let document = (document_position * scenario.document_count as f64) as u64;
    let shared_prefixes =
        (1..=class_spec.shared_pieces).map(|piece| hash(document, u64::from(piece)));
    let unique = rng.random::<u64>();
    let own_pieces = own_tokens / PIECE_TOKENS;
    let own_prefixes = (1..=own_pieces).map(|piece| hash(unique, u64::from(piece)));
    let at = Duration::from_secs_f64(at);
    Call {
        at,
        class,
        entry: rng.random_range(0..scenario.entries),
        prompt_tokens: class_spec.shared_pieces * PIECE_TOKENS + own_tokens,
        output_tokens,
        max_output_tokens: output_limit as u32,
        prefixes: shared_prefixes.chain(own_prefixes).collect(),
        deadline: at + class_spec.deadline_ms,
    }
}

fn hash(document: u64, piece: u64) -> u64 {
    let mixed = (document.wrapping_add(1) << 16 ^ piece).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}
