//! Registration of targets, and the updates that their agents write.
//!
//! Each update is a log record that every entry reads, so an agent writes only when it registers,
//! has executed an order, or releases its row.

use std::fmt;

use types::ChangeBody;
use types::Incarnation;
use types::LoadedModel;
use types::Order;
use types::OrderKind;
use types::OrderNumber;
use types::Revision;
use types::Role;
use types::Target;
use types::TargetName;
use types::TargetState;

use crate::command::CommandError;
use crate::keys;
use crate::orders::check_name;
use crate::plan::Draft;
use crate::plan::Intent;
use crate::plan::put;
use crate::rows::RowSet;
use crate::rows::RowsNeeded;
use crate::rows::Versioned;

/// Update of a target row by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetUpdate {
    /// A new run of the agent takes over the row. `state` and `applied` keep the values of an
    /// existing row.
    Register(Box<Target>),
    /// An order was executed.
    Executed {
        /// Target that is updated.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
        /// Number of the executed order.
        number: OrderNumber,
        /// Role after the order.
        role: Role,
        /// Model, version and adapters after the order.
        loaded: LoadedModel,
    },
    /// The agent stops and releases its row; the row's incarnation becomes 0.
    Release {
        /// Target that is updated.
        target: TargetName,
        /// Incarnation of the agent.
        incarnation: Incarnation,
    },
}

/// Reason why an agent's update is not possible.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetError {
    /// Another run of the agent holds the row, or none does; this run must stop.
    Superseded {
        /// Target whose update failed.
        target: TargetName,
        /// Incarnation that holds the row; 0 if none does.
        incarnation: Incarnation,
    },
    /// The target was withdrawn permanently; this agent must stop.
    Withdrawn {
        /// Target whose update failed.
        target: TargetName,
    },
    /// The table has no order with this number.
    UnknownOrder {
        /// Target whose update failed.
        target: TargetName,
        /// Number of the order that the agent reported.
        number: OrderNumber,
    },
    /// Any other failure.
    Command(CommandError),
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Superseded {
                target,
                incarnation,
            } => write!(
                f,
                "target/{target} is held by run {incarnation:016x} of its agent; stop this run"
            ),
            Self::Withdrawn { target } => write!(
                f,
                "target/{target} was withdrawn; start the agent under another target name"
            ),
            Self::UnknownOrder { target, number } => write!(
                f,
                "order {number} to target {target} is not in the table; read order/{target} again"
            ),
            Self::Command(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for TargetError {}

impl From<CommandError> for TargetError {
    fn from(error: CommandError) -> Self {
        Self::Command(error)
    }
}

impl TargetUpdate {
    /// Name of the target that is updated.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        match self {
            Self::Register(target) => &target.name,
            Self::Executed { target, .. } | Self::Release { target, .. } => target,
        }
    }
}

impl Intent for TargetUpdate {
    type Error = TargetError;

    fn conflict_item(&self) -> Option<(String, serde_json::Value)> {
        None
    }

    fn rows_needed(&self, _rows: &RowSet) -> RowsNeeded {
        RowsNeeded {
            keys: vec![keys::target(self.target()), keys::order(self.target())],
            prefixes: Vec::new(),
        }
    }

    fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Option<Draft>, TargetError> {
        let name = self.target();
        check_name("name", name)?;
        let key = keys::target(name);
        let stored: Option<Versioned<Target>> = rows.get(&key).map_err(CommandError::from)?;
        let before = stored.map(|stored| stored.value);
        let order: Option<Order> = rows.get(&keys::order(name)).map_err(CommandError::from)?;
        let after = match self {
            Self::Register(target) => Some(register(target, before.as_ref(), order.as_ref())?),
            Self::Executed {
                incarnation,
                number,
                role,
                loaded,
                ..
            } => {
                let held = held_row(name, *incarnation, before.as_ref())?;
                if order.is_none_or(|order| *number > order.number) {
                    return Err(TargetError::UnknownOrder {
                        target: name.clone(),
                        number: *number,
                    });
                }
                (*number > held.applied).then(|| Target {
                    applied: *number,
                    role: *role,
                    loaded: loaded.clone(),
                    ..held.clone()
                })
            }
            Self::Release { incarnation, .. } => release(*incarnation, before.as_ref()),
        };
        let Some(after) = after.filter(|after| Some(after) != before.as_ref()) else {
            return Ok(None);
        };
        let value = Versioned {
            revision,
            value: after,
        };
        Ok(Some(Draft {
            checks: vec![rows.check(&key), rows.check(&keys::order(name))],
            puts: vec![put(key, &value)],
            body: ChangeBody::Target {
                before,
                after: value.value,
            },
        }))
    }
}

/// The row after a registration. Registration from another host completes a replacement: the target
/// becomes active, and the order to replace it counts as executed.
fn register(
    target: &Target,
    before: Option<&Target>,
    order: Option<&Order>,
) -> Result<Target, TargetError> {
    let Some(before) = before else {
        return Ok(Target {
            state: TargetState::Active,
            applied: 0,
            ..target.clone()
        });
    };
    if before.state == TargetState::Withdrawn {
        return Err(TargetError::Withdrawn {
            target: target.name.clone(),
        });
    }
    if before.kind != target.kind {
        return Err(TargetError::Command(CommandError::Invalid {
            field: "kind".to_owned(),
            fix: "the kind of a target cannot be changed; use another name".to_owned(),
        }));
    }
    let mut after = Target {
        state: before.state,
        applied: before.applied,
        ..target.clone()
    };
    if before.state == TargetState::Replacing && before.host != target.host {
        after.state = TargetState::Active;
        if let Some(order) = order.filter(|order| order.kind == OrderKind::Replace) {
            after.applied = after.applied.max(order.number);
        }
    }
    Ok(after)
}

/// The row after a release; `None` if another run holds the row.
fn release(incarnation: Incarnation, before: Option<&Target>) -> Option<Target> {
    let held = before.filter(|target| target.incarnation == incarnation)?;
    Some(Target {
        incarnation: 0,
        ..held.clone()
    })
}

/// The row, if this run of the agent holds it.
fn held_row<'a>(
    name: &str,
    incarnation: Incarnation,
    before: Option<&'a Target>,
) -> Result<&'a Target, TargetError> {
    let holder = before.map_or(0, |target| target.incarnation);
    before
        .filter(|_| holder == incarnation && incarnation != 0)
        .ok_or_else(|| TargetError::Superseded {
            target: name.to_owned(),
            incarnation: holder,
        })
}
