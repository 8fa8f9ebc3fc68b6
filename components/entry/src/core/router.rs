//! The router with the planners' measurements beside it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use planner::Decision;
use planner::Ended;
use planner::Job;
use planner::Planner;
use request::Choice;
use request::Need;
use request::Router;
use request::Settlement;
use routing::Fleet;
use types::AttemptId;
use types::ServiceName;
use types::TargetName;

/// Weight of the latest look at the share of traffic; looks are a second apart.
const SHARE_SMOOTHING: f64 = 0.1;

/// Planner of one service and what it needs to know about this entry's part of the traffic.
struct Seat {
    planner: Planner,
    in_flight: u32,
    share: f64,
}

/// Passes every dispatch on to the fleet and to the planner of its service.
///
/// Every entry measures, so that an entry which takes over a lease plans from what it has seen.
pub struct PlanningRouter {
    /// Targets and their load.
    pub fleet: Fleet,
    planning: planner::Settings,
    seats: BTreeMap<ServiceName, Seat>,
    attempts: HashMap<AttemptId, ServiceName>,
}

impl PlanningRouter {
    /// Starts without targets.
    pub fn new(settings: routing::Settings, seed: u64) -> Self {
        Self {
            planning: planner::Settings::new(&settings),
            fleet: Fleet::new(settings, seed),
            seats: BTreeMap::new(),
            attempts: HashMap::new(),
        }
    }

    /// Looks at the targets of a service and decides on its roles.
    pub fn consider(&mut self, now: Instant, service: &str, weight: f64) -> Option<Decision> {
        let views = self.fleet.views(now, service);
        let seat = self.seats.get_mut(service)?;
        let total: f64 = views.iter().map(|view| view.requests).sum();
        if total >= 1.0 {
            let seen = (f64::from(seat.in_flight) / total).min(1.0);
            seat.share += SHARE_SMOOTHING * (seen - seat.share);
            seat.planner.set_traffic_share(seat.share);
        }
        Some(seat.planner.consider(now, &views, weight))
    }

    /// The order of the last change could not be written.
    pub fn order_failed(&mut self, service: &str) {
        if let Some(seat) = self.seats.get_mut(service) {
            seat.planner.order_failed();
        }
    }
}

impl Router for PlanningRouter {
    fn choose(&mut self, now: Instant, need: &Need, exclude: &[TargetName]) -> Choice {
        let choice = self.fleet.choose(now, need, exclude);
        // What is refused for its deadline is demand too.
        if matches!(choice, Choice::Infeasible { .. })
            && let Some(seat) = self.seats.get_mut(&need.service)
        {
            let job = Job::new(self.fleet.size_for(need), within(now, need));
            seat.planner.refused(now, &job);
        }
        choice
    }

    fn dispatched(&mut self, now: Instant, target: &TargetName, attempt: AttemptId, need: &Need) {
        self.fleet.dispatched(now, target, attempt, need);
        let Some(size) = self.fleet.size_of(attempt) else {
            return;
        };
        if !self.seats.contains_key(&need.service) {
            let seat = Seat {
                planner: Planner::new(self.planning.clone()),
                in_flight: 0,
                share: 1.0,
            };
            self.seats.insert(need.service.clone(), seat);
        }
        if let Some(seat) = self.seats.get_mut(&need.service) {
            seat.in_flight += 1;
            let job = Job::new(size, within(now, need));
            seat.planner.dispatched(now, attempt, &job);
            self.attempts.insert(attempt, need.service.clone());
        }
    }

    fn settled(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        settlement: Settlement,
    ) {
        self.fleet.settled(now, target, attempt, settlement);
        let Some(service) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&service) {
            let ended = match settlement {
                Settlement::Answered(usage) => Ended::Answered(usage),
                Settlement::Rejected | Settlement::Failed => Ended::TriedAgain,
                Settlement::Cancelled => Ended::Unserved,
            };
            seat.in_flight = seat.in_flight.saturating_sub(1);
            seat.planner.settled(now, attempt, ended);
        }
    }
}

/// Time for which the caller is expected to wait.
fn within(now: Instant, need: &Need) -> Duration {
    let until = need.wanted_by.unwrap_or(need.deadline).min(need.deadline);
    until.saturating_duration_since(now)
}
