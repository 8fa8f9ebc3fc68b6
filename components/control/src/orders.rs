//! Orders to targets.
//!
//! An order is committed with checks on the versions of the order row and of the lease row of the
//! target's service. A planner that has lost its lease therefore cannot write an order, and of two
//! authors that write at the same time only one succeeds.

use store::Put;
use types::ChangeBody;
use types::Order;
use types::OrderKind;
use types::Revision;
use types::ServiceKind;
use types::Target;
use types::TargetName;
use types::TargetState;
use types::profile::is_name;

use crate::command::CommandError;
use crate::keys;
use crate::lease::HeldLease;
use crate::plan::Draft;
use crate::plan::Intent;
use crate::plan::put;
use crate::rows::LeaseRow;
use crate::rows::RowSet;
use crate::rows::RowsNeeded;
use crate::rows::Versioned;

/// An order by a planner that holds the lease of the target's service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// Lease as last written by its holder.
    pub held: HeldLease,
    /// Target to order.
    pub target: TargetName,
    /// Kind of the order with its parameters.
    pub kind: OrderKind,
    /// Revision of the outstanding order that this one replaces; absent if none may be replaced.
    pub supersedes: Option<Revision>,
}

impl Intent for PlannedOrder {
    type Error = CommandError;

    fn conflict_item(&self) -> Option<(String, serde_json::Value)> {
        let wanted = serde_json::to_value(&self.kind).unwrap_or_default();
        Some((keys::order(&self.target), wanted))
    }

    fn rows_needed(&self, rows: &RowSet) -> RowsNeeded {
        let mut keys = OrderDraft::rows_needed(&self.target, rows);
        keys.push(keys::order(&self.target));
        keys.push(keys::lease(&self.held.scope));
        RowsNeeded {
            keys,
            prefixes: Vec::new(),
        }
    }

    fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Option<Draft>, CommandError> {
        OrderDraft {
            target: &self.target,
            kind: &self.kind,
            supersedes: self.supersedes,
            held: Some(&self.held),
        }
        .draft(rows, revision)
        .map(Some)
    }
}

/// A planner's decision to keep all roles, recorded in the log with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanKept {
    /// Lease of the service, as last written by its holder.
    pub held: HeldLease,
}

impl Intent for PlanKept {
    type Error = CommandError;

    fn conflict_item(&self) -> Option<(String, serde_json::Value)> {
        None
    }

    fn rows_needed(&self, _rows: &RowSet) -> RowsNeeded {
        RowsNeeded {
            keys: vec![keys::lease(&self.held.scope)],
            prefixes: Vec::new(),
        }
    }

    fn draft(&self, rows: &RowSet, _revision: Revision) -> Result<Option<Draft>, CommandError> {
        check_held(&self.held, rows)?;
        Ok(Some(Draft {
            body: ChangeBody::PlanKept {
                service: self.held.scope.clone(),
            },
            checks: vec![rows.check(&keys::lease(&self.held.scope))],
            puts: Vec::new(),
        }))
    }
}

/// State of a target after an order. It applies as soon as the order is written, before the target
/// executes it.
#[must_use]
pub fn state_after(kind: &OrderKind, state: TargetState) -> TargetState {
    match kind {
        OrderKind::Drain => TargetState::Draining,
        OrderKind::Replace => TargetState::Replacing,
        OrderKind::Withdraw => TargetState::Withdrawn,
        OrderKind::Resume => TargetState::Active,
        OrderKind::LoadModel { .. }
        | OrderKind::LoadAdapter { .. }
        | OrderKind::UnloadAdapter { .. }
        | OrderKind::ChangeRole { .. } => state,
    }
}

/// Order by an operator or a planner.
pub(crate) struct OrderDraft<'a> {
    pub(crate) target: &'a str,
    pub(crate) kind: &'a OrderKind,
    pub(crate) supersedes: Option<Revision>,
    /// Lease of the planner; `None` for an operator's order.
    pub(crate) held: Option<&'a HeldLease>,
}

impl OrderDraft<'_> {
    /// Keys of the rows needed. The lease row is included once the target row is read, which names
    /// the service.
    pub(crate) fn rows_needed(target: &str, rows: &RowSet) -> Vec<String> {
        let target_key = keys::target(target);
        let stored: Option<Versioned<Target>> = rows.get(&target_key).ok().flatten();
        let lease = stored.map(|stored| keys::lease(&stored.value.service));
        [target_key].into_iter().chain(lease).collect()
    }

    pub(crate) fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Draft, CommandError> {
        let target_key = keys::target(self.target);
        let order_key = keys::order(self.target);
        let stored: Versioned<Target> =
            rows.get(&target_key)?
                .ok_or_else(|| CommandError::NotFound {
                    item: target_key.clone(),
                })?;
        let target = stored.value;
        let lease_key = keys::lease(&target.service);
        if let Some(held) = self.held {
            check_held(held, rows)?;
            if held.scope != target.service {
                return Err(refused(
                    &target_key,
                    format!(
                        "the lease of {} does not cover service {}",
                        held.scope, target.service
                    ),
                ));
            }
        }
        let lease: Option<LeaseRow> = rows.get(&lease_key)?;
        let before: Option<Order> = rows.get(&order_key)?;
        self.check_outstanding(&target, before.as_ref(), &order_key)?;
        check_kind(self.kind, &target, &target_key)?;

        let after = Order {
            target: self.target.to_owned(),
            number: before.as_ref().map_or(0, |order| order.number) + 1,
            fencing: lease.map_or(0, |lease| lease.fencing),
            revision,
            kind: self.kind.clone(),
        };
        let checks = vec![
            rows.check(&order_key),
            rows.check(&lease_key),
            rows.check(&target_key),
        ];
        let mut puts = vec![put(order_key, &after)];
        puts.extend(self.state_put(target_key, target, revision));
        Ok(Draft {
            body: ChangeBody::Order { before, after },
            checks,
            puts,
        })
    }

    /// Fails if an order is outstanding that this one does not supersede.
    fn check_outstanding(
        &self,
        target: &Target,
        order: Option<&Order>,
        order_key: &str,
    ) -> Result<(), CommandError> {
        let Some(order) = order.filter(|order| order.number > target.applied) else {
            return Ok(());
        };
        if self.supersedes == Some(order.revision) {
            return Ok(());
        }
        Err(refused(
            order_key,
            format!(
                "order {} is outstanding; wait until the target has executed it, or supersede \
                 it with --if-revision {}",
                order.number, order.revision
            ),
        ))
    }

    /// Write of the target row, if the order changes the target's state.
    fn state_put(&self, key: String, mut target: Target, revision: Revision) -> Option<Put> {
        let state = state_after(self.kind, target.state);
        if state == target.state {
            return None;
        }
        target.state = state;
        Some(put(
            key,
            &Versioned {
                revision,
                value: target,
            },
        ))
    }
}

/// Fails if an order is not possible for a target in its present state.
fn check_kind(kind: &OrderKind, target: &Target, key: &str) -> Result<(), CommandError> {
    let fix = match (kind, target.state) {
        (_, TargetState::Withdrawn) => "the target was withdrawn; register a new one",
        (OrderKind::Resume, TargetState::Active) => "the target is already active",
        (OrderKind::Drain, TargetState::Draining) => "the target is already draining",
        (OrderKind::Replace, TargetState::Replacing) => "the target is already being replaced",
        (kind, _) if kind.is_sent_to_engine() && target.kind == ServiceKind::Plain => {
            "a plain service has no models, adapters or roles"
        }
        (OrderKind::ChangeRole { role }, _) if *role == target.role => {
            "the target already has this role"
        }
        (OrderKind::LoadModel { model, version }, _) if model.is_empty() || version.is_empty() => {
            "specify a model and a version"
        }
        (OrderKind::LoadAdapter { adapter } | OrderKind::UnloadAdapter { adapter }, _)
            if adapter.is_empty() =>
        {
            "specify an adapter"
        }
        _ => return Ok(()),
    };
    Err(refused(key, fix.to_owned()))
}

/// Fails unless the lease row still has this holder and fencing number.
fn check_held(held: &HeldLease, rows: &RowSet) -> Result<(), CommandError> {
    let key = keys::lease(&held.scope);
    let row: Option<LeaseRow> = rows.get(&key)?;
    if row.is_some_and(|row| row.holder == held.holder && row.fencing == held.fencing) {
        return Ok(());
    }
    Err(refused(
        &key,
        "the lease was lost; plan again after acquiring it".to_owned(),
    ))
}

fn refused(item: &str, fix: String) -> CommandError {
    CommandError::Refused {
        item: item.to_owned(),
        fix,
    }
}

/// Fails if a name may not be part of a row key.
pub(crate) fn check_name(field: &str, name: &str) -> Result<(), CommandError> {
    if is_name(name) {
        return Ok(());
    }
    Err(CommandError::Invalid {
        field: field.to_owned(),
        fix: "use 1 to 63 of a-z, 0-9 and -".to_owned(),
    })
}
