//! Faults and operator actions at fixed times of a run.

use std::time::Duration;

use fakes::engine_job::EngineSettings;

use crate::scenario::SubScenario;

/// Longest time for which a drained engine still runs calls: the longest deadline of a call.
const LONGEST_DRAIN_MS: Duration = Duration::from_secs(75);

/// A fault or an operator action. The number is the index of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptedAction {
    Drain(usize),
    Resume(usize),
    Crash(usize),
    TableDown,
    TableUp,
}

/// Faults and operator actions of a run, with their times.
#[derive(Debug, Clone, Default)]
pub struct Script(pub Vec<(Duration, ScriptedAction)>);

impl Script {
    pub fn new(sub_scenario: SubScenario) -> Self {
        let at = Duration::from_secs;
        match sub_scenario {
            SubScenario::Faults => Self(vec![
                (at(150), ScriptedAction::Drain(0)),
                (at(240), ScriptedAction::Crash(5)),
                (at(420), ScriptedAction::Resume(0)),
            ]),
            SubScenario::Outage => Self(vec![
                (at(130), ScriptedAction::TableDown),
                (at(310), ScriptedAction::TableUp),
            ]),
            _ => Self::default(),
        }
    }

    /// Number of engines that are certainly unavailable to any policy throughout an interval.
    pub fn engines_out_of_service(&self, begin: Duration, end: Duration) -> usize {
        let is_out_of_service = |(at, action): &(Duration, ScriptedAction)| {
            let (from, to) = match action {
                ScriptedAction::Crash(_) => (*at, *at + EngineSettings::default().restart_ms),
                ScriptedAction::Drain(engine) => {
                    let resumed = self
                        .0
                        .iter()
                        .find(|(_, action)| *action == ScriptedAction::Resume(*engine));
                    let to = resumed.map_or(Duration::MAX, |(at, _)| *at);
                    (*at + LONGEST_DRAIN_MS, to)
                }
                _ => return false,
            };
            from <= begin && end <= to
        };
        self.0
            .iter()
            .filter(|event| is_out_of_service(event))
            .count()
    }
}
