//! Records each committed table transaction and checks its invariants.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use control::Head;
use control::HeldLease;
use control::LeaseRow;
use control::Versioned;
use control::keys;
use store::Rows;
use store::Transaction;
use types::Change;
use types::ChangeBody;
use types::HostName;
use types::Incarnation;
use types::Order;
use types::OrderKind;
use types::Target;
use types::TargetName;
use types::TargetState;

use crate::roles::RoleChanges;

/// State derived from the committed transactions.
#[derive(Default)]
pub struct CommitObserver {
    /// Committed revisions, with the time of each commit.
    pub revisions: Vec<(Instant, u64)>,
    /// Committed orders, by target and order number.
    pub orders: HashMap<(TargetName, u64), Order>,
    /// Lease row at the commit of each order.
    order_leases: HashMap<(TargetName, u64), LeaseRow>,
    /// Role changes ordered by the planner.
    pub roles: RoleChanges,
    /// Number of planned orders whose lease was checked.
    pub checked_planned_orders: u64,
    /// Targets that accept no new work, and since when.
    pub leaving: BTreeMap<TargetName, Instant>,
    hosts: BTreeMap<TargetName, HostName>,
    /// Agent run that held each withdrawn target; 0 once the run has released it.
    withdrawn: BTreeMap<TargetName, Incarnation>,
    /// Number of checked writes to rows of withdrawn targets.
    pub checked_withdrawn_rows: u64,
    /// Number of committed orders that were checked.
    pub checked_orders: u64,
    /// Number of operator commands that succeeded.
    pub succeeded_commands: u64,
    /// Violations found in committed transactions.
    pub violations: Vec<String>,
    leases: HashMap<String, LeaseRow>,
}

impl CommitObserver {
    /// Records a committed transaction; `rows` is the table after the commit.
    pub fn record_commit(&mut self, now: Instant, rows: &Rows, transaction: &Transaction) {
        for put in &transaction.puts {
            let Some(value) = &put.value else {
                continue;
            };
            if put.key == keys::HEAD {
                if let Ok(head) = serde_json::from_str::<Head>(value) {
                    self.check_revision(now, head.revision);
                }
            } else if put.key.starts_with(keys::ORDER) {
                if let Ok(order) = serde_json::from_str::<Order>(value) {
                    self.check_order(now, rows, order);
                }
            } else if put.key.starts_with(keys::TARGET) {
                if let Ok(target) = serde_json::from_str::<Versioned<Target>>(value) {
                    self.record_target(now, &target.value);
                }
            } else if put.key.starts_with(keys::LOG) {
                if let Ok(change) = serde_json::from_str::<Change>(value) {
                    let violation = self.roles.check_change(now, rows, &change);
                    self.violations.extend(violation);
                }
            } else if put.key.starts_with(keys::LEASE)
                && let Ok(lease) = serde_json::from_str::<LeaseRow>(value)
            {
                self.check_lease(&put.key, lease);
            }
        }
    }

    /// Checks that the planner held the lease when its order was committed.
    pub fn check_planned_order(&mut self, change: &Change, held: &HeldLease) {
        self.checked_planned_orders += 1;
        let ChangeBody::Order { after, .. } = &change.body else {
            return;
        };
        let key = (after.target.clone(), after.number);
        let lease = self.order_leases.get(&key);
        let is_holder =
            lease.is_some_and(|lease| lease.holder == held.holder && lease.fencing == held.fencing);
        if !is_holder {
            self.violations.push(format!(
                "invariant 3: order {} to {} was committed by {held:?} while the lease was \
                 {lease:?}",
                after.number, after.target
            ));
        }
    }

    fn check_revision(&mut self, now: Instant, revision: u64) {
        let last = self.revisions.last().map_or(0, |(_, last)| *last);
        if revision != last + 1 {
            self.violations.push(format!(
                "invariant 9: revision {revision} committed after {last}"
            ));
        }
        self.revisions.push((now, revision));
    }

    fn check_lease(&mut self, key: &str, lease: LeaseRow) {
        let before = self.leases.insert(key.to_owned(), lease);
        let Some(before) = before else {
            return;
        };
        let is_new_holder = lease.holder != before.holder && lease.holder != 0;
        if lease.fencing < before.fencing || (is_new_holder && lease.fencing <= before.fencing) {
            self.violations.push(format!(
                "invariant 3: {key} changed from {before:?} to {lease:?} without a higher fencing"
            ));
        }
    }

    fn check_order(&mut self, now: Instant, rows: &Rows, order: Order) {
        self.checked_orders += 1;
        let target: Option<Versioned<Target>> = rows
            .get(&keys::target(&order.target))
            .and_then(|row| serde_json::from_str(&row.value).ok());
        let lease: Option<LeaseRow> = target
            .as_ref()
            .and_then(|target| rows.get(&keys::lease(&target.value.service)))
            .and_then(|row| serde_json::from_str(&row.value).ok());
        let fencing = lease.map_or(0, |lease| lease.fencing);
        if order.fencing != fencing {
            self.violations.push(format!(
                "invariant 3: order {} to {} was committed with fencing {} while the lease has \
                 {fencing}",
                order.number, order.target, order.fencing
            ));
        }
        let last = self
            .orders
            .keys()
            .filter(|(target, _)| *target == order.target)
            .map(|(_, number)| *number)
            .max();
        // The simulation never supersedes orders, so the previous one must have been executed.
        let applied = target.as_ref().map_or(0, |target| target.value.applied);
        if last.is_some_and(|last| last > applied) {
            self.violations.push(format!(
                "invariant 1: order {} to {} was committed while order {last:?} was pending, \
                 the target has executed {applied}",
                order.number, order.target
            ));
        }
        if last.is_some_and(|last| order.number <= last) {
            self.violations.push(format!(
                "invariant 1: order {} to {} was committed after order {last:?}",
                order.number, order.target
            ));
        }
        if order.kind.stops_new_work() {
            self.leaving.entry(order.target.clone()).or_insert(now);
        } else if order.kind == OrderKind::Resume {
            self.leaving.remove(&order.target);
        }
        let key = (order.target.clone(), order.number);
        if let Some(lease) = lease {
            self.order_leases.insert(key.clone(), lease);
        }
        self.orders.insert(key, order);
    }

    fn record_target(&mut self, now: Instant, target: &Target) {
        self.roles.record_target(now, target);
        self.check_withdrawn(target);
        let host = self.hosts.insert(target.name.clone(), target.host.clone());
        let has_moved = host.is_some_and(|host| host != target.host);
        if !target.state.accepts_work() {
            self.leaving.entry(target.name.clone()).or_insert(now);
            return;
        }
        // A replaced target returns to service on its new host without a resume order.
        if has_moved {
            self.leaving.remove(&target.name);
        }
    }

    /// Checks that the name of a withdrawn target is never registered again.
    fn check_withdrawn(&mut self, target: &Target) {
        let run = target.incarnation;
        let holder = self.withdrawn.get(&target.name).copied();
        if holder.is_none() && target.state != TargetState::Withdrawn {
            return;
        }
        self.checked_withdrawn_rows += 1;
        self.withdrawn.insert(target.name.clone(), run);
        let is_same_run = holder.is_none_or(|holder| run == holder || run == 0);
        if !is_same_run || target.state != TargetState::Withdrawn {
            self.violations.push(format!(
                "invariant 7: withdrawn target {} was registered by run {run:x} as {:?}",
                target.name, target.state
            ));
        }
    }

    /// Latest revision committed at least `age` ago; 0 if there is none.
    pub fn latest_revision_older_than(&self, now: Instant, age: Duration) -> u64 {
        let is_old = |since: Instant| now.saturating_duration_since(since) >= age;
        let index = self.revisions.partition_point(|(since, _)| is_old(*since));
        index.checked_sub(1).map_or(0, |i| self.revisions[i].1)
    }
}
