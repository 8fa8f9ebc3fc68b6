//! What the table accepted, noted at the moment of each commit.

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

/// Facts about committed transactions.
#[derive(Default)]
pub struct Facts {
    /// Accepted revisions and when.
    pub revisions: Vec<(Instant, u64)>,
    /// Accepted orders by target and number.
    pub orders: HashMap<(TargetName, u64), Order>,
    /// Lease at the moment of each order.
    order_leases: HashMap<(TargetName, u64), LeaseRow>,
    /// Role changes that planners ordered.
    pub roles: RoleChanges,
    /// Planned orders that were accepted and checked.
    pub planned_checks: u64,
    /// Since when targets take no new work.
    pub leaving: BTreeMap<TargetName, Instant>,
    hosts: BTreeMap<TargetName, HostName>,
    /// Runs that held a target when it was withdrawn; 0 after it was given back.
    withdrawn: BTreeMap<TargetName, Incarnation>,
    /// Rows of withdrawn targets that were written and checked.
    pub withdrawn_checks: u64,
    /// Orders accepted and checked.
    pub order_checks: u64,
    /// Commands of operators that were carried out.
    pub commands_done: u64,
    /// Orders and leases that should not have been accepted.
    pub violations: Vec<String>,
    leases: HashMap<String, LeaseRow>,
}

impl Facts {
    /// Takes note of a transaction; `rows` are those after it.
    pub fn committed(&mut self, now: Instant, rows: &Rows, transaction: &Transaction) {
        for put in &transaction.puts {
            let Some(value) = &put.value else {
                continue;
            };
            if put.key == keys::HEAD {
                if let Ok(head) = serde_json::from_str::<Head>(value) {
                    self.revision(now, head.revision);
                }
            } else if put.key.starts_with(keys::ORDER) {
                if let Ok(order) = serde_json::from_str::<Order>(value) {
                    self.order(now, rows, order);
                }
            } else if put.key.starts_with(keys::TARGET) {
                if let Ok(target) = serde_json::from_str::<Versioned<Target>>(value) {
                    self.target(now, &target.value);
                }
            } else if put.key.starts_with(keys::LOG) {
                if let Ok(change) = serde_json::from_str::<Change>(value) {
                    let fault = self.roles.change(now, rows, &change);
                    self.violations.extend(fault);
                }
            } else if put.key.starts_with(keys::LEASE)
                && let Ok(lease) = serde_json::from_str::<LeaseRow>(value)
            {
                self.lease(&put.key, lease);
            }
        }
    }

    /// A planner's order was accepted; it must have held the lease at that moment.
    pub fn planned(&mut self, change: &Change, held: &HeldLease) {
        self.planned_checks += 1;
        let ChangeBody::Order { after, .. } = &change.body else {
            return;
        };
        let key = (after.target.clone(), after.number);
        let lease = self.order_leases.get(&key);
        let is_holder =
            lease.is_some_and(|lease| lease.holder == held.holder && lease.fencing == held.fencing);
        if !is_holder {
            self.violations.push(format!(
                "invariant 3: order {} to {} was accepted from {held:?} while the lease was \
                 {lease:?}",
                after.number, after.target
            ));
        }
    }

    fn revision(&mut self, now: Instant, revision: u64) {
        let last = self.revisions.last().map_or(0, |(_, last)| *last);
        if revision != last + 1 {
            self.violations
                .push(format!("invariant 9: revision {revision} after {last}"));
        }
        self.revisions.push((now, revision));
    }

    fn lease(&mut self, key: &str, lease: LeaseRow) {
        let before = self.leases.insert(key.to_owned(), lease);
        let Some(before) = before else {
            return;
        };
        let is_new_holder = lease.holder != before.holder && lease.holder != 0;
        if lease.fencing < before.fencing || (is_new_holder && lease.fencing <= before.fencing) {
            self.violations.push(format!(
                "invariant 3: {key} goes from {before:?} to {lease:?}"
            ));
        }
    }

    fn order(&mut self, now: Instant, rows: &Rows, order: Order) {
        self.order_checks += 1;
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
                "invariant 3: order {} to {} was accepted with fencing {} while the lease has \
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
        // Nothing here supersedes an order, so the one before has been executed.
        let applied = target.as_ref().map_or(0, |target| target.value.applied);
        if last.is_some_and(|last| last > applied) {
            self.violations.push(format!(
                "invariant 1: order {} to {} was accepted while order {last:?} was outstanding, \
                 the target has executed {applied}",
                order.number, order.target
            ));
        }
        if last.is_some_and(|last| order.number <= last) {
            self.violations.push(format!(
                "invariant 1: order {} to {} was accepted after order {last:?}",
                order.number, order.target
            ));
        }
        if order.kind.ends_service() {
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

    fn target(&mut self, now: Instant, target: &Target) {
        self.roles.target(now, target);
        self.check_withdrawn(target);
        let host = self.hosts.insert(target.name.clone(), target.host.clone());
        let moved = host.is_some_and(|host| host != target.host);
        if !target.state.accepts_work() {
            self.leaving.entry(target.name.clone()).or_insert(now);
            return;
        }
        // A replaced target serves again from another host, without an order.
        if moved {
            self.leaving.remove(&target.name);
        }
    }

    /// A withdrawn name is never registered again.
    fn check_withdrawn(&mut self, target: &Target) {
        let run = target.incarnation;
        let holder = self.withdrawn.get(&target.name).copied();
        if holder.is_none() && target.state != TargetState::Withdrawn {
            return;
        }
        self.withdrawn_checks += 1;
        self.withdrawn.insert(target.name.clone(), run);
        let is_same_run = holder.is_none_or(|holder| run == holder || run == 0);
        if !is_same_run || target.state != TargetState::Withdrawn {
            self.violations.push(format!(
                "invariant 7: {} was withdrawn and is registered by run {run:x} as {:?}",
                target.name, target.state
            ));
        }
    }

    /// Latest revision that was accepted at least `age` ago.
    pub fn revision_aged(&self, now: Instant, age: Duration) -> u64 {
        let is_old = |since: Instant| now.saturating_duration_since(since) >= age;
        let index = self.revisions.partition_point(|(since, _)| is_old(*since));
        index.checked_sub(1).map_or(0, |i| self.revisions[i].1)
    }
}
