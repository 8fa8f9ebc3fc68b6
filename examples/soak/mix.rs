//! Workload mix of the reads; it alternates between prefill-heavy and decode-heavy, so that roles
//! have to change.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use types::OrderKind;
use types::Role;
use types::Work;

use crate::setup::ENGINES;
use crate::simulation::Phase;
use crate::simulation::Simulation;

/// Block size of the engines' prefix cache.
const BLOCK_TOKENS: u32 = fakes::target::PIECE_TOKENS;
/// Number of distinct prompts that are shared between callers.
const SHARED_PROMPTS: u64 = 12;
/// Share of reads of at least one cache block that use a shared prompt.
const SHARED_PROMPT_PERMILLE: u32 = 250;
/// Share of workload changes to a single class with more load than the engines' capacity. The
/// planner then has a reason to take even the last target of the other class.
const OVERLOAD_PERMILLE: u32 = 300;
/// Multiplier for Fibonacci hashing; odd, so that distinct inputs give distinct hashes.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Class of most reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkloadClass {
    /// Long prompts with short answers.
    Prefill,
    /// Short prompts with long answers.
    Decode,
    /// Balanced; needs no role changes.
    Balanced,
}

/// Current workload mix.
pub struct WorkloadMix {
    class: WorkloadClass,
    /// Reads of one class only, above the capacity of the engines in any roles.
    is_overload: bool,
    until: Option<Instant>,
}

/// Size and prefix hashes of one read.
#[derive(Debug, Clone, Default)]
pub struct ReadSize {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub prefixes: Vec<u64>,
}

impl ReadSize {
    pub fn apply(&self, work: &mut Work) {
        work.prompt_tokens = self.prompt_tokens;
        work.max_output_tokens = self.output_tokens;
        work.prefixes.clone_from(&self.prefixes);
    }
}

impl WorkloadMix {
    pub fn new() -> Self {
        Self {
            class: WorkloadClass::Balanced,
            is_overload: false,
            until: None,
        }
    }
}

impl Simulation {
    /// Selects the next workload when the current one ends. Warm-up and recovery always have the
    /// balanced workload, as their goodput is compared.
    pub fn update_mix(&mut self) {
        let now = self.now();
        let is_steady = matches!(self.phase, Phase::WarmUp | Phase::Recovery);
        if is_steady {
            self.mix = WorkloadMix::new();
            return;
        }
        if self.mix.until.is_some_and(|until| now < until) {
            return;
        }
        let (rebalance, to_prefill) = (self.chance(150), self.chance(500));
        let class = match self.mix.class {
            WorkloadClass::Prefill | WorkloadClass::Decode if rebalance => WorkloadClass::Balanced,
            WorkloadClass::Balanced if to_prefill => WorkloadClass::Prefill,
            WorkloadClass::Prefill | WorkloadClass::Balanced => WorkloadClass::Decode,
            WorkloadClass::Decode => WorkloadClass::Prefill,
        };
        let is_overload = class != WorkloadClass::Balanced && self.chance(OVERLOAD_PERMILLE);
        let duration: Duration = if is_overload {
            self.random_ms(90_000, 180_000)
        } else {
            self.random_ms(35_000, 100_000)
        };
        if is_overload {
            self.order_matching_roles(class);
        }
        self.mix = WorkloadMix {
            class,
            is_overload,
            until: Some(now + duration),
        };
        self.count("swings of the mix");
        self.log(&format!(
            "workload mix: {class:?}, overload {is_overload}, for {duration:?}"
        ));
    }

    /// Operators change the roles of half of the engines before an overload of one class.
    fn order_matching_roles(&mut self, class: WorkloadClass) {
        let role = match class {
            WorkloadClass::Prefill => Role::Prefill,
            WorkloadClass::Decode => Role::Decode,
            WorkloadClass::Balanced => return,
        };
        for at in (0..ENGINES).step_by(2) {
            self.order_target(at, OrderKind::ChangeRole { role });
        }
    }

    /// Draws the size of a read; `number` makes an unshared prompt unique.
    pub fn read_size(&mut self, number: usize) -> ReadSize {
        // Cumulative percentages of prompts of 100 and 4,000 tokens; the rest have 12,000.
        let (short, long) = match self.mix.class {
            WorkloadClass::Prefill if self.mix.is_overload => (0, 96),
            WorkloadClass::Prefill => (44, 96),
            WorkloadClass::Decode if self.mix.is_overload => (100, 100),
            WorkloadClass::Decode => (95, 99),
            WorkloadClass::Balanced => (80, 96),
        };
        let draw = self.random.random_range(0..100);
        let prompt_tokens = if draw < short {
            100
        } else if draw < long {
            4_000
        } else {
            12_000
        };
        let output_tokens = match self.mix.class {
            WorkloadClass::Prefill => 50,
            WorkloadClass::Decode if self.mix.is_overload => 1_300,
            WorkloadClass::Decode => 750,
            WorkloadClass::Balanced => 100,
        };
        let is_shared = prompt_tokens >= BLOCK_TOKENS && self.chance(SHARED_PROMPT_PERMILLE);
        let prompt = if is_shared {
            self.random.random_range(0..SHARED_PROMPTS)
        } else {
            SHARED_PROMPTS + number as u64
        };
        let prefixes = (0..u64::from(prompt_tokens / BLOCK_TOKENS))
            .map(|block| (prompt << 8 | block).wrapping_mul(HASH_MULTIPLIER))
            .collect();
        ReadSize {
            prompt_tokens,
            output_tokens,
            prefixes,
        }
    }
}
