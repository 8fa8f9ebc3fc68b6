//! Role changes that the planner orders by itself, and what must hold for them.

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

use crate::world::World;

/// Author of the orders of the harness that are given under the lease of an entry.
pub const HARNESS_REASON: &str = "soak";
/// A planner may not know yet what changed in the service within this time: load reports up to
/// 3 s old are planned with, and a commit is tried for 3 s.
const UNSEEN_MS: Duration = Duration::from_secs(7);

/// Role changes as the table accepted them.
#[derive(Default)]
pub struct RoleChanges {
    /// Orders of planners, by target and number.
    pub planned: BTreeSet<(TargetName, u64)>,
    /// Orders whose class was checked for another target.
    pub checked: u64,
    standing: BTreeMap<TargetName, (Role, bool)>,
    /// Latest change of a role or state, by service.
    changed: BTreeMap<ServiceName, Instant>,
}

impl RoleChanges {
    /// Takes note of a target's row.
    pub fn target(&mut self, now: Instant, target: &Target) {
        let standing = (target.role, target.state.accepts_work());
        let before = self.standing.insert(target.name.clone(), standing);
        if before != Some(standing) {
            self.changed.insert(target.service.clone(), now);
        }
    }

    /// Takes note of a change; returns what should not have been accepted.
    pub fn change(&mut self, now: Instant, rows: &Rows, change: &Change) -> Option<String> {
        if change.by != "planner" || change.reason == HARNESS_REASON {
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
        let changed = self.changed.get(&target.service);
        if changed.is_some_and(|at| now < *at + UNSEEN_MS) {
            return None;
        }
        self.checked += 1;
        let left = [Role::Prefill, Role::Decode]
            .into_iter()
            .filter(|class| serves(target.role, *class) && !serves(role, *class))
            .find(|class| !self.is_served_by_others(rows, &target, *class))?;
        Some(format!(
            "planner: order {} takes {} from {:?} to {role:?}, the last one for {left:?}",
            after.number, after.target, target.role
        ))
    }

    fn is_served_by_others(&self, rows: &Rows, target: &Target, class: Role) -> bool {
        let others = self.standing.keys().filter(|name| **name != target.name);
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

/// Whether a target may have changed to a role that serves a class, before its row says so.
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

impl World {
    /// Role changes of planners that engines carried out.
    pub fn role_changes_executed(&self) -> usize {
        let facts = self.facts.borrow();
        let planned = &facts.roles.planned;
        let ledger = self.ledger.borrow();
        let executed: BTreeSet<(&str, u64)> = ledger
            .obeyed
            .iter()
            .filter(|(_, _, order)| planned.contains(&(order.target.clone(), order.number)))
            .map(|(_, _, order)| (order.target.as_str(), order.number))
            .collect();
        executed.len()
    }

    /// Orders that conflicted with another one at an engine or in the table.
    pub fn conflicting_orders(&self) -> usize {
        let conflicts = self.violations.iter();
        conflicts
            .filter(|text| text.starts_with("invariant 1"))
            .count()
    }
}
