//! Registration of targets and the updates that their agents write.
//!
//! Each update is a change in the log that every entry reads, so an agent writes only when it
//! registers, has executed an order, or gives its row back.

use std::fmt;

use types::ChangeBody;
use types::Incarnation;
use types::Loaded;
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

/// What an agent writes to its target's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetUpdate {
    /// A new run of the agent takes the row. `state` and `applied` are kept from the row, if
    /// there is one.
    Register(Box<Target>),
    /// An order was executed.
    Executed {
        /// Target concerned.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
        /// Number of the order.
        number: OrderNumber,
        /// Role now in force.
        role: Role,
        /// Model, adapters and version now in force.
        loaded: Loaded,
    },
    /// The agent stops and gives its row back; the row's incarnation becomes 0.
    Release {
        /// Target concerned.
        target: TargetName,
        /// Run of the agent.
        incarnation: Incarnation,
    },
}

/// Why an agent's update is impossible.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetError {
    /// Another run of the agent holds the row; this one must stop.
    Superseded {
        /// Target concerned.
        target: TargetName,
        /// Run that holds the row; 0 if none does.
        incarnation: Incarnation,
    },
    /// The target left the fleet for good; this agent must stop.
    Withdrawn {
        /// Target concerned.
        target: TargetName,
    },
    /// The order was never written.
    UnknownOrder {
        /// Target concerned.
        target: TargetName,
        /// Number of the order.
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
                "target/{target} is held by run {incarnation:016x} of its agent; stop this one"
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
    /// Name of the target concerned.
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

    fn contested(&self) -> Option<(String, serde_json::Value)> {
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

/// The row after a registration. A new host ends a replacement: it takes work, and the order
/// to replace counts as executed.
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
            fix: "a target keeps its kind; use another name".to_owned(),
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

/// The row after a release; unchanged if another run has taken it already.
fn release(incarnation: Incarnation, before: Option<&Target>) -> Option<Target> {
    let held = before.filter(|target| target.incarnation == incarnation)?;
    Some(Target {
        incarnation: 0,
        ..held.clone()
    })
}

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
