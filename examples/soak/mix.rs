//! Mix of work: it swings between prefill-heavy and decode-heavy, so that roles have to change.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use types::OrderKind;
use types::Role;
use types::Work;

use crate::setup::ENGINES;
use crate::world::Phase;
use crate::world::World;

/// Tokens of one cache piece; engines hand out their cache in blocks of this.
const PIECE_TOKENS: u32 = fakes::target::PIECE_TOKENS;
/// Prompts that many callers send again, one for each logbook.
const LOGBOOKS: u64 = 12;
/// Long reads in thousand that start with a shared logbook.
const SHARED_PERMILLE: u32 = 250;
/// Swings in thousand to one class only, with more work than the engines can carry. The planner
/// then wants the last target of the other class too.
const STRONG_PERMILLE: u32 = 300;
/// Odd factor that spreads consecutive numbers over 64 bits.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// What most reads are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lean {
    /// Long prompts with short answers.
    Prefill,
    /// Short prompts with long answers.
    Decode,
    /// Neither; the roles carry it as they are.
    Even,
}

/// The present lean of the mix.
pub struct Mix {
    lean: Lean,
    /// One class only, and more of it than the engines can carry in any roles.
    strong: bool,
    until: Option<Instant>,
}

/// Size of one read.
#[derive(Debug, Clone, Default)]
pub struct Size {
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    pub prefixes: Vec<u64>,
}

impl Size {
    pub fn apply(&self, work: &mut Work) {
        work.prompt_tokens = self.prompt_tokens;
        work.max_output_tokens = self.output_tokens;
        work.prefixes.clone_from(&self.prefixes);
    }
}

impl Mix {
    pub fn new() -> Self {
        Self {
            lean: Lean::Even,
            strong: false,
            until: None,
        }
    }
}

impl World {
    /// Lets the mix swing when its time is over. Warm-up and recovery are compared with each
    /// other, so both have the even mix.
    pub fn swing(&mut self) {
        let now = self.now();
        let is_steady = matches!(self.phase, Phase::WarmUp | Phase::Recovery);
        if is_steady {
            self.mix = Mix::new();
            return;
        }
        if self.mix.until.is_some_and(|until| now < until) {
            return;
        }
        let (to_even, to_prefill) = (self.chance(150), self.chance(500));
        let lean = match self.mix.lean {
            Lean::Prefill | Lean::Decode if to_even => Lean::Even,
            Lean::Even if to_prefill => Lean::Prefill,
            Lean::Prefill | Lean::Even => Lean::Decode,
            Lean::Decode => Lean::Prefill,
        };
        let strong = lean != Lean::Even && self.chance(STRONG_PERMILLE);
        let time: Duration = if strong {
            self.millis(90_000, 180_000)
        } else {
            self.millis(35_000, 100_000)
        };
        if strong {
            self.prepare(lean);
        }
        self.mix = Mix {
            lean,
            strong,
            until: Some(now + time),
        };
        self.count("swings of the mix");
        self.note(&format!(
            "the mix leans to {lean:?}, strong {strong}, for {time:?}"
        ));
    }

    /// Operators who expect a strong swing change the roles of half of the engines themselves.
    fn prepare(&mut self, lean: Lean) {
        let role = match lean {
            Lean::Prefill => Role::Prefill,
            Lean::Decode => Role::Decode,
            Lean::Even => return,
        };
        for at in (0..ENGINES).step_by(2) {
            self.order(at, OrderKind::ChangeRole { role });
        }
    }

    /// Draws the size of a read; `number` tells its prompt from all others.
    pub fn read_size(&mut self, number: usize) -> Size {
        // Shares of prompts of 100, 4,000 and 12,000 tokens, in hundredths.
        let (short, long) = match self.mix.lean {
            Lean::Prefill if self.mix.strong => (0, 96),
            Lean::Prefill => (44, 96),
            Lean::Decode if self.mix.strong => (100, 100),
            Lean::Decode => (95, 99),
            Lean::Even => (80, 96),
        };
        let draw = self.random.random_range(0..100);
        let prompt_tokens = if draw < short {
            100
        } else if draw < long {
            4_000
        } else {
            12_000
        };
        let output_tokens = match self.mix.lean {
            Lean::Prefill => 50,
            Lean::Decode if self.mix.strong => 1_300,
            Lean::Decode => 750,
            Lean::Even => 100,
        };
        let shared = prompt_tokens >= PIECE_TOKENS && self.chance(SHARED_PERMILLE);
        let text = if shared {
            self.random.random_range(0..LOGBOOKS)
        } else {
            LOGBOOKS + number as u64
        };
        let prefixes = (0..u64::from(prompt_tokens / PIECE_TOKENS))
            .map(|piece| (text << 8 | piece).wrapping_mul(SPREAD))
            .collect();
        Size {
            prompt_tokens,
            output_tokens,
            prefixes,
        }
    }
}
