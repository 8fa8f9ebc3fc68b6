//! Roll-outs of a model version or an adapter by operators while requests are running.

use std::time::Duration;

use control::Command;
use control::Versioned;
use control::keys;
use types::LoadedModel;
use types::Order;
use types::OrderKind;
use types::Target;

use crate::repairs::Repair;
use crate::setup::ENGINES;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Time between the change of the first engines and that of the profile.
const PROFILE_DELAY_MS: Duration = Duration::from_secs(9);
/// Time between the profile change and the remaining engines; longer than the deadline, so that
/// requests accepted under the previous profile have ended.
const REMAINING_DELAY_MS: Duration = Duration::from_secs(12);
/// Number of engines that change before the profile.
const FIRST_ENGINES: usize = ENGINES / 2;
const ADAPTER: &str = "a0";

/// Change that is rolled out.
#[derive(Debug, Clone)]
pub enum RolloutChange {
    /// Another model version, without an adapter.
    Version(&'static str),
    /// Load the adapter.
    Adapter,
    /// Unload the adapter.
    NoAdapter,
}

/// Later stage of a roll-out, after the first engines have been ordered to change.
#[derive(Debug, Clone)]
pub enum Stage {
    Profile(RolloutChange, bool),
    RemainingEngines(RolloutChange),
    Review,
}

impl Simulation {
    /// Starts a random roll-out. During faults, some operators do not wait between the stages.
    pub fn start_rollout(&mut self) {
        if self.is_rolling_out {
            return;
        }
        self.is_rolling_out = true;
        let has_adapter = !self.model.adapter.is_empty();
        let change = match self.random_index(3) {
            0 if has_adapter => RolloutChange::NoAdapter,
            0 => RolloutChange::Adapter,
            _ if self.model.version == "1" => RolloutChange::Version("2"),
            _ => RolloutChange::Version("1"),
        };
        let is_immediate = self.phase == Phase::Faults && self.chance(300);
        self.record_fault("roll-out", &format!("{change:?} immediate {is_immediate}"));
        self.order_rollout(&change, 0..FIRST_ENGINES);
        let (profile_delay, remaining_delay) = if is_immediate {
            (Duration::ZERO, Duration::ZERO)
        } else {
            (PROFILE_DELAY_MS, REMAINING_DELAY_MS)
        };
        let stage = Stage::Profile(change.clone(), is_immediate);
        self.schedule_after(profile_delay, SimEvent::Repair(Repair::Rollout(stage)));
        let stage = Stage::RemainingEngines(change);
        self.schedule_after(
            profile_delay + remaining_delay,
            SimEvent::Repair(Repair::Rollout(stage)),
        );
    }

    pub fn continue_rollout(&mut self, stage: Stage) {
        if self.phase == Phase::Recovery {
            return;
        }
        match stage {
            Stage::Profile(change, is_immediate) => {
                let previous = self.model.clone();
                match change {
                    RolloutChange::Version(version) => {
                        version.clone_into(&mut self.model.version);
                        self.model.adapter.clear();
                    }
                    RolloutChange::Adapter => ADAPTER.clone_into(&mut self.model.adapter),
                    RolloutChange::NoAdapter => self.model.adapter.clear(),
                }
                if !is_immediate && self.matching_engines() < 2 {
                    self.model = previous;
                    return;
                }
                let profile = self.model.clone();
                self.execute_command(Command::ChangeProfile { profile });
            }
            Stage::RemainingEngines(change) => {
                self.is_rolling_out = false;
                self.order_rollout(&change, FIRST_ENGINES..ENGINES);
                self.schedule_after(
                    REMAINING_DELAY_MS,
                    SimEvent::Repair(Repair::Rollout(Stage::Review)),
                );
            }
            Stage::Review => {
                if !self.is_rolling_out && self.matching_engines() < 2 {
                    self.set_profile_to_majority();
                }
            }
        }
    }

    fn order_rollout(&mut self, change: &RolloutChange, engines: std::ops::Range<usize>) {
        for at in engines {
            let order = match change {
                RolloutChange::Version(version) => OrderKind::LoadModel {
                    model: self.model.model.clone(),
                    version: (*version).to_owned(),
                },
                RolloutChange::Adapter => OrderKind::LoadAdapter {
                    adapter: ADAPTER.to_owned(),
                },
                RolloutChange::NoAdapter => OrderKind::UnloadAdapter {
                    adapter: ADAPTER.to_owned(),
                },
            };
            self.order_target(at, order);
        }
    }

    /// Number of engines that match the profile, according to their target rows.
    fn matching_engines(&self) -> usize {
        let is_matching = |target: &Target| {
            let loaded = &target.loaded;
            let adapter = &self.model.adapter;
            target.state.accepts_work()
                && loaded.version == self.model.version
                && (adapter.is_empty() || loaded.adapters.contains(adapter))
        };
        (0..ENGINES)
            .filter_map(|at| self.target_row(at))
            .filter(is_matching)
            .count()
    }

    /// Sets the profile to the version that most engines have or are ordered to load.
    pub fn set_profile_to_majority(&mut self) {
        let versions: Vec<String> = (0..ENGINES)
            .filter_map(|at| self.ordered_version(at))
            .collect();
        let count = |version: &str| versions.iter().filter(|v| *v == version).count();
        let version = if count("2") > count("1") { "2" } else { "1" };
        version.clone_into(&mut self.model.version);
        self.model.adapter.clear();
        self.is_rolling_out = false;
        let profile = self.model.clone();
        self.execute_command(Command::ChangeProfile { profile });
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
            let LoadedModel { version, .. } = target.loaded;
            version
        })
    }

    /// Current table row of a target.
    pub fn target_row(&self, at: usize) -> Option<Target> {
        let row = self.table.row(&keys::target(&self.agents[at].name))?;
        let target: Versioned<Target> = serde_json::from_str(&row.value).ok()?;
        Some(target.value)
    }
}
