//! Role planning for the services whose lease this entry holds.

use std::time::Duration;
use std::time::Instant;

use control::HeldLease;
use planner::Decision;
use planner::Reason;
use planner::Verdict;
use types::OrderKind;
use types::ServiceName;

use crate::core::Action;
use crate::core::EntryCore;
use crate::core::LogEvent;

/// Interval of planning decisions for a service.
const PLANNING_INTERVAL_MS: Duration = Duration::from_secs(1);
/// Minimum time between audit records of rejected changes of a service. Each record takes a
/// revision of the change log.
const REJECTION_RECORD_INTERVAL_MS: Duration = Duration::from_mins(1);

/// Latest planning decision for a service.
pub(super) struct Plan {
    pub(super) decision: Decision,
    pub(super) recorded_at: Option<Instant>,
}

impl EntryCore {
    pub(super) fn tick_planners(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_planning_at || self.is_stopping() {
            return;
        }
        self.next_planning_at = now + PLANNING_INTERVAL_MS;
        for held in self.held_service_leases(now) {
            self.plan(now, held, actions);
        }
    }

    fn plan(&mut self, now: Instant, held: HeldLease, actions: &mut Vec<Action>) {
        let service: ServiceName = held.scope.clone();
        let Some(service_config) = self.service_configs.get(&service) else {
            return;
        };
        let weight = service_config.profile.role_change_weight;
        let Some(decision) = self.router.consider(now, &service, weight) else {
            return;
        };
        match &decision.verdict {
            Verdict::Change { target, to, .. } => {
                let reason = decision.to_string();
                actions.push(Action::Log(LogEvent::OrderPlanned {
                    service: service.clone(),
                    target: target.clone(),
                    reason: reason.clone(),
                }));
                actions.push(Action::WritePlannedOrder {
                    held,
                    target: target.clone(),
                    kind: OrderKind::ChangeRole { role: *to },
                    reason,
                });
            }
            Verdict::Keep(reason) if decision.is_news && is_rejected_change(reason) => {
                if self.is_record_due(now, &service) {
                    let reason = decision.to_string();
                    actions.push(Action::RecordKeptPlan { held, reason });
                }
            }
            Verdict::Keep(_) => {}
        }
        self.plans
            .entry(service)
            .and_modify(|plan| plan.decision = decision.clone())
            .or_insert(Plan {
                decision,
                recorded_at: None,
            });
    }

    fn is_record_due(&mut self, now: Instant, service: &str) -> bool {
        let Some(plan) = self.plans.get_mut(service) else {
            return true;
        };
        let is_recent = plan
            .recorded_at
            .is_some_and(|at| now.saturating_duration_since(at) < REJECTION_RECORD_INTERVAL_MS);
        if !is_recent {
            plan.recorded_at = Some(now);
        }
        !is_recent
    }
}

/// Whether a possible change was rejected; the other reasons mean that none was due.
fn is_rejected_change(reason: &Reason) -> bool {
    matches!(
        reason,
        Reason::LastOfClass { .. } | Reason::NotWorth | Reason::Reversal
    )
}
