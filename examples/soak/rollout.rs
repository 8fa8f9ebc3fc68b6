//! Operators put another version or adapter into service while requests are under way.

use std::time::Duration;

use control::Command;
use control::Versioned;
use control::keys;
use types::Loaded;
use types::Order;
use types::OrderKind;
use types::Target;

use crate::repair::Repair;
use crate::setup::ENGINES;
use crate::world::Happening;
use crate::world::Phase;
use crate::world::World;

/// Time for the first engines to change before the profile does.
const FIRST_MS: Duration = Duration::from_secs(9);
/// Longer than the deadline, so that requests of the profile before are finished.
const REST_MS: Duration = Duration::from_secs(12);
/// Engines that change before the profile.
const FIRST_ENGINES: usize = ENGINES / 2;
const ADAPTER: &str = "a0";

/// What is put into service.
#[derive(Debug, Clone)]
pub enum Change {
    /// A version of the model; the adapter is dropped.
    Version(&'static str),
    /// An adapter.
    Adapter,
    /// No adapter.
    NoAdapter,
}

/// Part of a change of all engines.
#[derive(Debug, Clone)]
pub enum Stage {
    Profile(Change, bool),
    Rest(Change),
    Review,
}

impl World {
    /// Starts a change of the model profile. A careless operator does not wait for the engines.
    pub fn roll_out(&mut self) {
        if self.rolling_out {
            return;
        }
        self.rolling_out = true;
        let has_adapter = !self.model.adapter.is_empty();
        let change = match self.pick(3) {
            0 if has_adapter => Change::NoAdapter,
            0 => Change::Adapter,
            _ if self.model.version == "1" => Change::Version("2"),
            _ => Change::Version("1"),
        };
        let careless = self.phase == Phase::Faults && self.chance(300);
        self.did("roll-out", &format!("{change:?} careless {careless}"));
        self.order_change(&change, 0..FIRST_ENGINES);
        let (first, rest) = if careless {
            (Duration::ZERO, Duration::ZERO)
        } else {
            (FIRST_MS, REST_MS)
        };
        let stage = Stage::Profile(change.clone(), careless);
        self.after(first, Happening::Repair(Repair::RollOut(stage)));
        let stage = Stage::Rest(change);
        self.after(first + rest, Happening::Repair(Repair::RollOut(stage)));
    }

    pub fn roll_on(&mut self, stage: Stage) {
        if self.phase == Phase::Recovery {
            return;
        }
        match stage {
            Stage::Profile(change, careless) => {
                let before = self.model.clone();
                match change {
                    Change::Version(version) => {
                        version.clone_into(&mut self.model.version);
                        self.model.adapter.clear();
                    }
                    Change::Adapter => ADAPTER.clone_into(&mut self.model.adapter),
                    Change::NoAdapter => self.model.adapter.clear(),
                }
                if !careless && self.fitting_engines() < 2 {
                    self.model = before;
                    return;
                }
                let profile = self.model.clone();
                self.command(Command::ChangeProfile { profile });
            }
            Stage::Rest(change) => {
                self.rolling_out = false;
                self.order_change(&change, FIRST_ENGINES..ENGINES);
                self.after(REST_MS, Happening::Repair(Repair::RollOut(Stage::Review)));
            }
            Stage::Review => {
                if !self.rolling_out && self.fitting_engines() < 2 {
                    self.settle_profile();
                }
            }
        }
    }

    fn order_change(&mut self, change: &Change, engines: std::ops::Range<usize>) {
        for at in engines {
            let order = match change {
                Change::Version(version) => OrderKind::LoadModel {
                    model: self.model.model.clone(),
                    version: (*version).to_owned(),
                },
                Change::Adapter => OrderKind::LoadAdapter {
                    adapter: ADAPTER.to_owned(),
                },
                Change::NoAdapter => OrderKind::UnloadAdapter {
                    adapter: ADAPTER.to_owned(),
                },
            };
            self.order(at, order);
        }
    }

    /// Engines that have what the profile says, according to their rows.
    fn fitting_engines(&self) -> usize {
        let fits = |target: &Target| {
            let loaded = &target.loaded;
            let adapter = &self.model.adapter;
            target.state.accepts_work()
                && loaded.version == self.model.version
                && (adapter.is_empty() || loaded.adapters.contains(adapter))
        };
        (0..ENGINES)
            .filter_map(|at| self.target_row(at))
            .filter(fits)
            .count()
    }

    /// Operators settle on the version that most engines have or are ordered to load.
    pub fn settle_profile(&mut self) {
        let versions: Vec<String> = (0..ENGINES)
            .filter_map(|at| self.ordered_version(at))
            .collect();
        let count = |version: &str| versions.iter().filter(|v| *v == version).count();
        let version = if count("2") > count("1") { "2" } else { "1" };
        version.clone_into(&mut self.model.version);
        self.model.adapter.clear();
        self.rolling_out = false;
        let profile = self.model.clone();
        self.command(Command::ChangeProfile { profile });
    }

    fn ordered_version(&self, at: usize) -> Option<String> {
        let name = &self.agents[at].name;
        let row = self.table.row(&keys::order(name));
        let order: Option<Order> = row.and_then(|row| serde_json::from_str(&row.value).ok());
        if let Some(Order {
            kind: OrderKind::LoadModel { version, .. },
            ..
        }) = order
        {
            return Some(version);
        }
        self.target_row(at).map(|target| {
            let Loaded { version, .. } = target.loaded;
            version
        })
    }

    /// Row of a target as the table has it now.
    pub fn target_row(&self, at: usize) -> Option<Target> {
        let row = self.table.row(&keys::target(&self.agents[at].name))?;
        let target: Versioned<Target> = serde_json::from_str(&row.value).ok()?;
        Some(target.value)
    }
}
