//! Router that also reports all traffic to the role planners.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use planner::AttemptOutcome;
use planner::Decision;
use planner::Planner;
use planner::RequestWork;
use request::AttemptResult;
use request::Choice;
use request::Requirements;
use request::Router;
use routing::Fleet;
use types::AttemptId;
use types::ServiceName;
use types::TargetName;

/// Smoothing factor of this entry's share of the traffic, which is sampled every second.
const TRAFFIC_SHARE_WEIGHT: f64 = 0.1;

/// Planner of a service, with this entry's share of the traffic of the service.
struct ServicePlanner {
    planner: Planner,
    in_flight: u32,
    traffic_share: f64,
}

/// Reports each dispatch to the fleet and to the planner of its service.
///
/// Planners measure traffic on every entry, not only on the lease holder, so that an entry that
/// acquires the lease already has measurements.
pub struct PlanningRouter {
    /// Target selection.
    pub fleet: Fleet,
    planner_settings: planner::Settings,
    service_planners: BTreeMap<ServiceName, ServicePlanner>,
    services_by_attempt: HashMap<AttemptId, ServiceName>,
}

impl PlanningRouter {
    /// Creates a router without targets.
    pub fn new(settings: routing::Settings, seed: u64) -> Self {
        Self {
            planner_settings: planner::Settings::new(&settings),
            fleet: Fleet::new(settings, seed),
            service_planners: BTreeMap::new(),
            services_by_attempt: HashMap::new(),
        }
    }

    /// Decides on the roles of the targets of a service. `weight` scales the cost of a change.
    pub fn consider(&mut self, now: Instant, service: &str, weight: f64) -> Option<Decision> {
        let views = self.fleet.views(now, service);
        let service_planner = self.service_planners.get_mut(service)?;
        let total_requests: f64 = views.iter().map(|view| view.requests).sum();
        if total_requests >= 1.0 {
            let observed = (f64::from(service_planner.in_flight) / total_requests).min(1.0);
            service_planner.traffic_share +=
                TRAFFIC_SHARE_WEIGHT * (observed - service_planner.traffic_share);
            service_planner
                .planner
                .set_traffic_share(service_planner.traffic_share);
        }
        Some(service_planner.planner.consider(now, &views, weight))
    }

    /// Reports to the planner that the order of its last change could not be written.
    pub fn order_failed(&mut self, service: &str) {
        if let Some(service_planner) = self.service_planners.get_mut(service) {
            service_planner.planner.order_failed();
        }
    }
}

impl Router for PlanningRouter {
    fn choose(
        &mut self,
        now: Instant,
        requirements: &Requirements,
        exclude: &[TargetName],
    ) -> Choice {
        let choice = self.fleet.choose(now, requirements, exclude);
        // Requests refused for their deadline are part of the demand.
        if matches!(choice, Choice::Infeasible { .. })
            && let Some(service_planner) = self.service_planners.get_mut(&requirements.service)
        {
            let work = RequestWork::new(
                self.fleet.size_for(requirements),
                remaining_wait(now, requirements),
            );
            service_planner.planner.refused(now, &work);
        }
        choice
    }

    fn attempt_dispatched(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        requirements: &Requirements,
    ) {
        self.fleet
            .attempt_dispatched(now, target, attempt, requirements);
        let Some(size) = self.fleet.size_of(attempt) else {
            return;
        };
        if !self.service_planners.contains_key(&requirements.service) {
            let service_planner = ServicePlanner {
                planner: Planner::new(self.planner_settings.clone()),
                in_flight: 0,
                traffic_share: 1.0,
            };
            self.service_planners
                .insert(requirements.service.clone(), service_planner);
        }
        if let Some(service_planner) = self.service_planners.get_mut(&requirements.service) {
            service_planner.in_flight += 1;
            let work = RequestWork::new(size, remaining_wait(now, requirements));
            service_planner.planner.dispatched(now, attempt, &work);
            self.services_by_attempt
                .insert(attempt, requirements.service.clone());
        }
    }

    fn attempt_ended(
        &mut self,
        now: Instant,
        target: &TargetName,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        self.fleet.attempt_ended(now, target, attempt, result);
        let Some(service) = self.services_by_attempt.remove(&attempt) else {
            return;
        };
        if let Some(service_planner) = self.service_planners.get_mut(&service) {
            let outcome = match result {
                AttemptResult::Answered(usage) => AttemptOutcome::Answered(usage),
                AttemptResult::Rejected | AttemptResult::Failed => AttemptOutcome::Retried,
                AttemptResult::Cancelled => AttemptOutcome::Incomplete,
            };
            service_planner.in_flight = service_planner.in_flight.saturating_sub(1);
            service_planner.planner.settled(now, attempt, outcome);
        }
    }
}

/// Time until the caller wants the answer, at most until the deadline.
fn remaining_wait(now: Instant, requirements: &Requirements) -> Duration {
    let until = requirements
        .expected_hang_up
        .unwrap_or(requirements.deadline)
        .min(requirements.deadline);
    until.saturating_duration_since(now)
}
