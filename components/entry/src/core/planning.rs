//! Role planning of the services whose lease this entry holds.

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
use crate::core::Note;

/// Between two looks at a service.
const PLAN_MS: Duration = Duration::from_secs(1);
/// Shortest time between two records of a service that nothing was changed. Each one takes a
/// revision of the change log.
const KEPT_RECORD_MS: Duration = Duration::from_mins(1);

/// Latest decision about a service.
pub(super) struct Plan {
    pub(super) decision: Decision,
    pub(super) recorded: Option<Instant>,
}

impl EntryCore {
    pub(super) fn tick_planning(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.plans_due || self.is_stopping() {
            return;
        }
        self.plans_due = now + PLAN_MS;
        for held in self.held_services(now) {
            self.plan(now, held, actions);
        }
    }

    fn plan(&mut self, now: Instant, held: HeldLease, actions: &mut Vec<Action>) {
        let service: ServiceName = held.scope.clone();
        let Some(terms) = self.terms.get(&service) else {
            return;
        };
        let weight = terms.profile.role_change_weight;
        let Some(decision) = self.router.consider(now, &service, weight) else {
            return;
        };
        match &decision.verdict {
            Verdict::Change { target, to, .. } => {
                let reason = decision.to_string();
                actions.push(Action::Note(Note::OrderPlanned {
                    service: service.clone(),
                    target: target.clone(),
                    reason: reason.clone(),
                }));
                actions.push(Action::PlanOrder {
                    held,
                    target: target.clone(),
                    kind: OrderKind::ChangeRole { role: *to },
                    reason,
                });
            }
            Verdict::Keep(reason) if decision.is_news && is_refusal(reason) => {
                if self.may_record(now, &service) {
                    let reason = decision.to_string();
                    actions.push(Action::KeepPlan { held, reason });
                }
            }
            Verdict::Keep(_) => {}
        }
        self.plans
            .entry(service)
            .and_modify(|plan| plan.decision = decision.clone())
            .or_insert(Plan {
                decision,
                recorded: None,
            });
    }

    fn may_record(&mut self, now: Instant, service: &str) -> bool {
        let Some(plan) = self.plans.get_mut(service) else {
            return true;
        };
        let recent = plan
            .recorded
            .is_some_and(|at| now.saturating_duration_since(at) < KEPT_RECORD_MS);
        if !recent {
            plan.recorded = Some(now);
        }
        !recent
    }
}

/// Whether a change was weighed and refused; the other reasons mean that none was due.
fn is_refusal(reason: &Reason) -> bool {
    matches!(
        reason,
        Reason::LastOfClass { .. } | Reason::NotWorth | Reason::Reversal
    )
}
