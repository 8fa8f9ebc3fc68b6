//! The two users' fleets, their classes of work, and the sub-scenarios.

use std::time::Duration;

use fakes::engine_job::Constants;
use planner::Roles;
use planner::fluid::ROLES;
use planner::mix::token_ms;
use types::Place;
use types::Role;

/// Length of the arrivals of one run.
pub const ARRIVALS: Duration = Duration::from_mins(10);
/// Prompt tokens of one cache piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// One class of work.
#[derive(Debug, Clone)]
pub struct Class {
    pub priority: u8,
    /// Pieces of a document that several prompts begin with.
    pub shared_pieces: u32,
    /// Prompt tokens after the shared pieces, from and to.
    pub prompt: (u32, u32),
    pub output: (u32, u32),
    pub deadline: Duration,
    /// Time after which a careless caller hangs up and sends the request again.
    pub patience: Duration,
    pub concurrency_limit: u32,
}

/// One user's fleet and work.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub places: Vec<Place>,
    pub engines: usize,
    pub entries: usize,
    pub between_places: Duration,
    pub to_clients: Duration,
    pub role_change_weight: f64,
    pub documents: u64,
    /// Desk questions, drafts and long reads.
    pub classes: [Class; 3],
    /// Shares of the token-time at the start and after the swing.
    pub mixes: [[f64; 3]; 2],
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sub {
    Steady,
    Swing,
    Swings,
    Faults,
    Outage,
    Resends,
    Overload,
}

impl Sub {
    pub const ALL: [Self; 7] = [
        Self::Steady,
        Self::Swing,
        Self::Swings,
        Self::Faults,
        Self::Outage,
        Self::Resends,
        Self::Overload,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Swing => "swing",
            Self::Swings => "swings",
            Self::Faults => "faults",
            Self::Outage => "outage",
            Self::Resends => "resends",
            Self::Overload => "overload",
        }
    }

    /// Position between the two mixes: 0 before the swing, 1 after it.
    pub fn mix_at(self, seconds: f64) -> f64 {
        match self {
            Self::Steady | Self::Overload => 0.0,
            Self::Swings if seconds < 120.0 => 0.0,
            Self::Swings => {
                // Back and forth with a period of 50 s.
                let phase = ((seconds - 120.0) / 50.0).fract();
                (2.0 - (phase * 4.0 - 2.0).abs() * 2.0).clamp(0.0, 1.0)
            }
            Self::Swing | Self::Faults | Self::Outage | Self::Resends => {
                ((seconds - 120.0) / 90.0).clamp(0.0, 1.0)
            }
        }
    }

    /// Factor on the offered load.
    pub fn load_at(self, seconds: f64) -> f64 {
        if self == Self::Overload && (200.0..300.0).contains(&seconds) {
            1.8
        } else {
            1.0
        }
    }
}

pub fn find(name: &str) -> Option<Scenario> {
    match name {
        "el-bolson" => Some(el_bolson()),
        "kitagawa" => Some(kitagawa()),
        _ => None,
    }
}

fn el_bolson() -> Scenario {
    Scenario {
        name: "el-bolson",
        places: places(&["bolson-centro", "lago-puelo", "mallin-ahogado"]),
        engines: 12,
        entries: 3,
        between_places: Duration::from_micros(1_500),
        to_clients: Duration::from_millis(1),
        role_change_weight: 10.0,
        documents: 24,
        classes: [
            desk((300, 900), (40, 120)),
            drafts((500, 1_500), (600, 1_800)),
            reads(8, (12_000, 36_000), (150, 450)),
        ],
        mixes: [[0.15, 0.45, 0.40], [0.15, 0.10, 0.75]],
    }
}

fn kitagawa() -> Scenario {
    Scenario {
        name: "kitagawa",
        places: places(&["sapporo-a", "sapporo-b", "asahikawa", "hakodate"]),
        engines: 9,
        entries: 3,
        between_places: Duration::from_millis(1),
        to_clients: Duration::from_millis(3),
        role_change_weight: 0.7,
        documents: 30,
        classes: [
            desk((200, 700), (20, 80)),
            drafts((600, 1_800), (700, 1_700)),
            reads(10, (10_000, 30_000), (200, 600)),
        ],
        mixes: [[0.10, 0.60, 0.30], [0.10, 0.20, 0.70]],
    }
}

fn places(names: &[&str]) -> Vec<Place> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn desk(prompt: (u32, u32), output: (u32, u32)) -> Class {
    Class {
        priority: 0,
        shared_pieces: 0,
        prompt,
        output,
        deadline: Duration::from_secs(5),
        patience: Duration::from_secs(2),
        concurrency_limit: 48,
    }
}

fn drafts(prompt: (u32, u32), output: (u32, u32)) -> Class {
    Class {
        priority: 4,
        shared_pieces: 0,
        prompt,
        output,
        deadline: Duration::from_secs(75),
        patience: Duration::from_secs(45),
        concurrency_limit: 24,
    }
}

fn reads(shared_pieces: u32, prompt: (u32, u32), output: (u32, u32)) -> Class {
    Class {
        priority: 5,
        shared_pieces,
        prompt,
        output,
        deadline: Duration::from_mins(1),
        patience: Duration::from_secs(30),
        concurrency_limit: 24,
    }
}

impl Class {
    /// Engine time of the mean request in a role, with all shared pieces cached.
    pub fn mean_cost(&self, constants: &Constants, role: Role) -> f64 {
        let (prefill_ms, decode_ms) = token_ms(&constants.rates[Roles::position(role)]);
        let mean = |(from, to): (u32, u32)| f64::from(from + to) / 2.0;
        (mean(self.prompt) * prefill_ms + mean(self.output) * decode_ms) / 1e3
    }

    /// The same in the role that is best for the class.
    pub fn best_cost(&self, constants: &Constants) -> f64 {
        ROLES
            .iter()
            .map(|role| self.mean_cost(constants, *role))
            .fold(f64::INFINITY, f64::min)
    }
}

impl Scenario {
    /// Requests per second of a class.
    ///
    /// A load of 1 is what the fleet could do if each request ran in the role that is best for it,
    /// all slots and chunks were full, and every shared piece were cached.
    pub fn rate(&self, class: usize, sub: Sub, load: f64, seconds: f64) -> f64 {
        let mix = sub.mix_at(seconds);
        let share = self.mixes[0][class] * (1.0 - mix) + self.mixes[1][class] * mix;
        let engines = f64::from(u32::try_from(self.engines).unwrap_or(u32::MAX));
        let cost = self.classes[class].best_cost(&Constants::default());
        load * sub.load_at(seconds) * engines * share / cost
    }

    /// Roles at the start: those that carry most of the first mix.
    pub fn first_roles(&self) -> Vec<Role> {
        let constants = Constants::default();
        let mut demand = planner::Demand::default();
        for (at, class) in self.classes.iter().enumerate() {
            let rate = self.rate(at, Sub::Steady, 1.0, 0.0);
            let mean = |(from, to): (u32, u32)| f64::from(from + to) / 2.0;
            let (prefill_ms, decode_ms) = token_ms(&constants.rates[1]);
            let (prompt, output) = (mean(class.prompt), mean(class.output));
            let to = if prompt * prefill_ms > output * decode_ms {
                &mut demand.prefill_class
            } else {
                &mut demand.decode_class
            };
            to.prefill += rate * prompt;
            to.decode += rate * output;
        }
        let engines = u32::try_from(self.engines).unwrap_or(u32::MAX);
        let mut best = (0.0, Roles::default());
        for prefill in 1..engines - 1 {
            for mixed in 0..engines - prefill {
                let roles = Roles([prefill, mixed, engines - prefill - mixed]);
                let capacity = roles.capacity(&demand, &constants.rates);
                if capacity > best.0 {
                    best = (capacity, roles);
                }
            }
        }
        let counts = best.1.0;
        ROLES
            .iter()
            .zip(counts)
            .flat_map(|(role, count)| (0..count).map(|_| *role))
            .collect()
    }
}
