//! The two measured deployments, their classes of calls, and the sub-scenarios.

use std::time::Duration;

use fakes::engine_job::EngineSettings;
use planner::RoleCounts;
use planner::capacity::ROLES;
use planner::mix::token_ms;
use types::DataCentre;
use types::Role;

/// Period in which the calls of one run arrive.
pub const ARRIVAL_PERIOD_MS: Duration = Duration::from_mins(10);
/// Prompt tokens in one cache piece.
pub const PIECE_TOKENS: u32 = 2_000;

/// One class of calls.
#[derive(Debug, Clone)]
pub struct Class {
    pub priority: u8,
    /// Number of cache pieces of the document at the start of the prompt, which other calls share.
    pub shared_pieces: u32,
    /// Range of the prompt tokens after the shared pieces.
    pub prompt_tokens: (u32, u32),
    /// Range of the output tokens.
    pub output_tokens: (u32, u32),
    pub deadline_ms: Duration,
    /// Time after which a caller hangs up and sends the call again, in [`SubScenario::Resends`].
    pub patience_ms: Duration,
    pub concurrency_limit: u32,
}

/// One deployment and the calls to it.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: &'static str,
    pub data_centres: Vec<DataCentre>,
    pub engines: usize,
    pub entries: usize,
    pub distance_between_places_ms: Duration,
    pub distance_to_callers_ms: Duration,
    pub role_change_weight: f64,
    pub document_count: u64,
    /// Interactive questions (desk), drafts, and questions on long documents (reads).
    pub classes: [Class; 3],
    /// Share of each class in the engine time, before and after the change of the mix.
    pub mixes: [[f64; 3]; 2],
}

/// Variation of a scenario, in the mix of classes, the load, the faults or the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubScenario {
    Steady,
    Swing,
    Swings,
    Faults,
    Outage,
    Resends,
    Overload,
}

impl SubScenario {
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

    /// Interpolation factor between the mixes at a time of the run: 0 is the first, 1 the second.
    pub fn mix_position(self, seconds: f64) -> f64 {
        match self {
            Self::Steady | Self::Overload => 0.0,
            Self::Swings if seconds < 120.0 => 0.0,
            Self::Swings => {
                // Alternates between the mixes with a period of 50 s.
                let phase = ((seconds - 120.0) / 50.0).fract();
                (2.0 - (phase * 4.0 - 2.0).abs() * 2.0).clamp(0.0, 1.0)
            }
            Self::Swing | Self::Faults | Self::Outage | Self::Resends => {
                ((seconds - 120.0) / 90.0).clamp(0.0, 1.0)
            }
        }
    }

    /// Factor on the offered load at a time of the run.
    pub fn load_factor(self, seconds: f64) -> f64 {
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
        data_centres: data_centres(&["bolson-centro", "lago-puelo", "mallin-ahogado"]),
        engines: 12,
        entries: 3,
        distance_between_places_ms: Duration::from_micros(1_500),
        distance_to_callers_ms: Duration::from_millis(1),
        role_change_weight: 10.0,
        document_count: 24,
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
        data_centres: data_centres(&["sapporo-a", "sapporo-b", "asahikawa", "hakodate"]),
        engines: 9,
        entries: 3,
        distance_between_places_ms: Duration::from_millis(1),
        distance_to_callers_ms: Duration::from_millis(3),
        role_change_weight: 0.7,
        document_count: 30,
        classes: [
            desk((200, 700), (20, 80)),
            drafts((600, 1_800), (700, 1_700)),
            reads(10, (10_000, 30_000), (200, 600)),
        ],
        mixes: [[0.10, 0.60, 0.30], [0.10, 0.20, 0.70]],
    }
}

fn data_centres(names: &[&str]) -> Vec<DataCentre> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn desk(prompt_tokens: (u32, u32), output_tokens: (u32, u32)) -> Class {
    Class {
        priority: 0,
        shared_pieces: 0,
        prompt_tokens,
        output_tokens,
        deadline_ms: Duration::from_secs(5),
        patience_ms: Duration::from_secs(2),
        concurrency_limit: 48,
    }
}

fn drafts(prompt_tokens: (u32, u32), output_tokens: (u32, u32)) -> Class {
    Class {
        priority: 4,
        shared_pieces: 0,
        prompt_tokens,
        output_tokens,
        deadline_ms: Duration::from_secs(75),
        patience_ms: Duration::from_secs(45),
        concurrency_limit: 24,
    }
}

fn reads(shared_pieces: u32, prompt_tokens: (u32, u32), output_tokens: (u32, u32)) -> Class {
    Class {
        priority: 5,
        shared_pieces,
        prompt_tokens,
        output_tokens,
        deadline_ms: Duration::from_mins(1),
        patience_ms: Duration::from_secs(30),
        concurrency_limit: 24,
    }
}

impl Class {
    /// Engine time of the mean call in a role, in seconds, with all shared pieces cached.
    pub fn mean_engine_s(&self, settings: &EngineSettings, role: Role) -> f64 {
        let (prefill_ms, decode_ms) = token_ms(&settings.rates[RoleCounts::position(role)]);
        let mean = |(from, to): (u32, u32)| f64::from(from + to) / 2.0;
        (mean(self.prompt_tokens) * prefill_ms + mean(self.output_tokens) * decode_ms) / 1e3
    }

    /// Engine time of the mean call in the role that needs least, in seconds.
    pub fn least_engine_s(&self, settings: &EngineSettings) -> f64 {
        ROLES
            .iter()
            .map(|role| self.mean_engine_s(settings, *role))
            .fold(f64::INFINITY, f64::min)
    }
}

impl Scenario {
    /// Arrival rate of a class at a time of the run, per second.
    ///
    /// A load of 1 is the capacity of all engines if each call ran in the role that is best for it,
    /// all slots and chunks were full, and every shared piece were cached.
    pub fn rate(&self, class: usize, sub_scenario: SubScenario, load: f64, seconds: f64) -> f64 {
        let mix = sub_scenario.mix_position(seconds);
        let share = self.mixes[0][class] * (1.0 - mix) + self.mixes[1][class] * mix;
        let engines = f64::from(u32::try_from(self.engines).unwrap_or(u32::MAX));
        let call_engine_s = self.classes[class].least_engine_s(&EngineSettings::default());
        load * sub_scenario.load_factor(seconds) * engines * share / call_engine_s
    }

    /// Roles at the start of a run: those with the highest capacity for the first mix.
    pub fn initial_roles(&self) -> Vec<Role> {
        let settings = EngineSettings::default();
        let mut demand = planner::Demand::default();
        for (at, class) in self.classes.iter().enumerate() {
            let rate = self.rate(at, SubScenario::Steady, 1.0, 0.0);
            let mean = |(from, to): (u32, u32)| f64::from(from + to) / 2.0;
            let (prefill_ms, decode_ms) = token_ms(&settings.rates[1]);
            let (prompt_tokens, output_tokens) =
                (mean(class.prompt_tokens), mean(class.output_tokens));
            let to = if prompt_tokens * prefill_ms > output_tokens * decode_ms {
                &mut demand.prefill_class
            } else {
                &mut demand.decode_class
            };
            to.prefill += rate * prompt_tokens;
            to.decode += rate * output_tokens;
        }
        let engines = u32::try_from(self.engines).unwrap_or(u32::MAX);
        let mut best = (0.0, RoleCounts::default());
        for prefill in 1..engines - 1 {
            for mixed in 0..engines - prefill {
                let roles = RoleCounts([prefill, mixed, engines - prefill - mixed]);
                let capacity = roles.capacity(&demand, &settings.rates);
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
