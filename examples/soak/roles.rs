//! Checks of the role changes that the planner orders.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use control::Versioned;
use control::keys;
use store::Rows;
use types::Change;
use types::ChangeBody;
use types::Order;
use types::OrderKind;
use types::Role;
use types::ServiceName;
use types::Target;
use types::TargetName;

use crate::simulation::Simulation;

/// Reason given in orders that the simulation itself writes under an entry's lease.
pub const SIMULATION_REASON: &str = "soak";
/// The planner may not have seen changes of the service more recent than this: it accepts load
/// reports up to 3 s old, and a commit is retried for up to 3 s.
const STALENESS_LIMIT_MS: Duration = Duration::from_secs(7);

/// Role changes committed to the table.
#[derive(Default)]
pub struct RoleChanges {
    /// Role changes ordered by the planner, by target and order number.
    pub planned: BTreeSet<(TargetName, u64)>,
    /// Number of orders for which the remaining targets of the class were checked.
    pub checked: u64,
    /// Role of each target, and whether it accepts work.
    target_states: BTreeMap<TargetName, (Role, bool)>,
    /// Time of the latest change of a role or state, by service.
    last_changes: BTreeMap<ServiceName, Instant>,
}

impl RoleChanges {
    /// Records a target row.
    pub fn record_target(&mut self, now: Instant, target: &Target) {
        let state = (target.role, target.state.accepts_work());
        let before = self.target_states.insert(target.name.clone(), state);
        if before != Some(state) {
            self.last_changes.insert(target.service.clone(), now);
        }
    }

    /// Records a change; returns a violation if it removes the last target of a class.
    pub fn check_change(&mut self, now: Instant, rows: &Rows, change: &Change) -> Option<String> {
        if change.by != "planner" || change.reason == SIMULATION_REASON {
            return None;
        }
        let ChangeBody::Order { after, .. } = &change.body else {
            return None;
        };
        let OrderKind::ChangeRole { role } = after.kind else {
            return None;
        };
        self.planned.insert((after.target.clone(), after.number));
        let target = row(rows, &after.target)?;
        let last_change = self.last_changes.get(&target.service);
        if last_change.is_some_and(|at| now < *at + STALENESS_LIMIT_MS) {
            return None;
        }
        self.checked += 1;
        let uncovered = [Role::Prefill, Role::Decode]
            .into_iter()
            .filter(|class| serves(target.role, *class) && !serves(role, *class))
            .find(|class| !self.is_served_by_others(rows, &target, *class))?;
        Some(format!(
            "planner: order {} changes {} from {:?} to {role:?}, the last target for {uncovered:?}",
            after.number, after.target, target.role
        ))
    }

    fn is_served_by_others(&self, rows: &Rows, target: &Target, class: Role) -> bool {
        let others = self
            .target_states
            .keys()
            .filter(|name| **name != target.name);
        others
            .filter_map(|name| row(rows, name))
            .filter(|other| other.service == target.service && other.state.accepts_work())
            .any(|other| serves(other.role, class) || is_ordered_to(rows, &other.name, class))
    }
}

fn row(rows: &Rows, target: &str) -> Option<Target> {
    let row = rows.get(&keys::target(target))?;
    let target: Versioned<Target> = serde_json::from_str(&row.value).ok()?;
    Some(target.value)
}

/// Whether a target may already have changed to a role that serves a class, although its row
/// does not show it yet.
fn is_ordered_to(rows: &Rows, target: &str, class: Role) -> bool {
    let order: Option<Order> = rows
        .get(&keys::order(target))
        .and_then(|row| serde_json::from_str(&row.value).ok());
    order.is_some_and(
        |order| matches!(order.kind, OrderKind::ChangeRole { role } if serves(role, class)),
    )
}

fn serves(role: Role, class: Role) -> bool {
    role == class || role == Role::Mixed
}

impl Simulation {
    /// Number of planner role changes that engines executed.
    pub fn role_changes_executed(&self) -> usize {
        let commits = self.commits.borrow();
        let planned = &commits.roles.planned;
        let execution_log = self.execution_log.borrow();
        let executed: BTreeSet<(&str, u64)> = execution_log
            .executed_orders
            .iter()
            .filter(|(_, _, order)| planned.contains(&(order.target.clone(), order.number)))
            .map(|(_, _, order)| (order.target.as_str(), order.number))
            .collect();
        executed.len()
    }

    /// Number of orders that conflicted with another one at an engine or in the table.
    pub fn conflicting_orders(&self) -> usize {
        let conflicts = self.violations.iter();
        conflicts
            .filter(|text| text.starts_with("invariant 1"))
            .count()
    }
}
