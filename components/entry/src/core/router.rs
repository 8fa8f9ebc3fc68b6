//! The router with the planners' measurements beside it.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::time::Instant;

use request::Choice;
use request::Need;
use request::Router;
use request::Settlement;
use routing::Fleet;
use types::AttemptId;
use types::ServiceName;
use types::TargetName;

/// Passes every dispatch on to the fleet and to the planner of its service.
pub struct PlanningRouter {
    fleet: Fleet,
    attempts: BTreeMap<AttemptId, ServiceName>,
}

impl PlanningRouter {
    /// Starts without targets.
    pub fn new(settings: routing::Settings, seed: u64) -> Self {
        Self {
            fleet: Fleet::new(settings, seed),
            attempts: BTreeMap::new(),
        }
    }
}

impl Deref for PlanningRouter {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for PlanningRouter {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

impl Router for PlanningRouter {
    fn choose(&mut self, now: Instant, need: &Need, exclude: &[TargetName]) -> Choice {
        self.fleet.choose(now, need, exclude)
    }

    fn dispatched(&mut self, now: Instant, target: &TargetName, attempt: AttemptId, need: &Need) {
        self.fleet.dispatched(now, target, attempt, need);
        self.attempts.insert(attempt, need.service.clone());
    }

    fn settled(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        settlement: Settlement,
    ) {
        self.fleet.settled(now, target, attempt, settlement);
        self.attempts.remove(&attempt);
    }
}
