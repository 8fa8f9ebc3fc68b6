//! Faults and operators' actions in a run.

use std::time::Duration;

use fakes::engine_job::Constants;

use crate::scenario::Sub;

/// Longest time that a drained engine may still work on what it has.
const LONGEST_DRAIN: Duration = Duration::from_secs(75);

/// One planned event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    Drain(usize),
    Resume(usize),
    Crash(usize),
    TableDown,
    TableUp,
}

/// All planned events of a run.
#[derive(Debug, Clone, Default)]
pub struct Script(pub Vec<(Duration, Act)>);

impl Script {
    pub fn new(sub: Sub) -> Self {
        let at = Duration::from_secs;
        match sub {
            Sub::Faults => Self(vec![
                (at(150), Act::Drain(0)),
                (at(240), Act::Crash(5)),
                (at(420), Act::Resume(0)),
            ]),
            Sub::Outage => Self(vec![(at(130), Act::TableDown), (at(310), Act::TableUp)]),
            _ => Self::default(),
        }
    }

    /// Engines that no policy can use in the whole interval.
    pub fn engines_surely_gone(&self, begin: Duration, end: Duration) -> usize {
        let gone = |(at, act): &(Duration, Act)| {
            let (from, to) = match act {
                Act::Crash(_) => (*at, *at + Constants::default().restart_ms),
                Act::Drain(engine) => {
                    let resumed = self.0.iter().find(|(_, act)| *act == Act::Resume(*engine));
                    let to = resumed.map_or(Duration::MAX, |(at, _)| *at);
                    (*at + LONGEST_DRAIN, to)
                }
                _ => return false,
            };
            from <= begin && end <= to
        };
        self.0.iter().filter(|event| gone(event)).count()
    }
}
