//! Operators' commands, as sent from the command line to an entry.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use types::Change;
use types::OrderKind;
use types::Profile;
use types::ProfileName;
use types::Revision;
use types::Service;
use types::TargetName;

/// Change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Create a profile; fails if it exists.
    CreateProfile {
        /// Complete profile.
        profile: Profile,
    },
    /// Replace a profile; fails if it does not exist.
    ChangeProfile {
        /// Complete new value.
        profile: Profile,
    },
    /// Retire a profile that no service uses.
    RetireProfile {
        /// Name of the profile.
        name: ProfileName,
    },
    /// Create a service, or assign another profile to it.
    SetService {
        /// Complete new value.
        service: Service,
    },
    /// Give an order to a target.
    OrderTarget {
        /// Target to order.
        target: TargetName,
        /// Kind of the order with its parameters.
        order: OrderKind,
    },
}

/// A command with its preconditions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// Change to make.
    pub command: Command,
    /// Reason, recorded in the audit trail.
    pub reason: String,
    /// Expected revision of the item; the command fails if the item has another one. Absent: no
    /// check.
    pub if_revision: Option<Revision>,
    /// Plan and check the change without writing it.
    pub dry_run: bool,
}

/// A command that succeeded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandOutcome {
    /// The change; with `dry_run`, the one that would have been made.
    pub change: Change,
    /// The change was only checked, not written.
    pub dry_run: bool,
}

/// Reason for a failed command. Nothing was changed, except possibly after `Unanswered`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum CommandError {
    /// The item was changed by someone else.
    Conflict {
        /// Row key of the item, for example `profile/radio-desk`.
        item: String,
        /// Current revision of the item.
        revision: Revision,
        /// Author of that change, if its log record was read.
        by: String,
        /// Fields in which the current item differs from the command, as text for the operator.
        #[serde(default)]
        difference: String,
    },
    /// The item does not exist.
    NotFound {
        /// Row key of the item.
        item: String,
    },
    /// The item already exists.
    Exists {
        /// Row key of the item.
        item: String,
    },
    /// The item is in use.
    InUse {
        /// Row key of the item.
        item: String,
        /// Row key of the item that uses it.
        by: String,
    },
    /// A field has an invalid value.
    Invalid {
        /// Name of the field.
        field: String,
        /// Values that are allowed, or how to correct the command.
        fix: String,
    },
    /// The command is not possible in the present state, for example because an order is still
    /// outstanding.
    Refused {
        /// Row key of the item.
        item: String,
        /// Reason and how to proceed.
        fix: String,
    },
    /// The table is unavailable; nothing was written.
    Unavailable {
        /// Error of the table, or the limit that was reached.
        detail: String,
    },
    /// No reply to the commit arrived; the audit trail shows whether it was written.
    Unanswered {
        /// Token of the change, to be looked up in the audit trail.
        token: String,
    },
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict {
                item,
                revision,
                by,
                difference,
            } => write!(
                f,
                "{item} was changed by {by} at revision {revision} ({difference}); review the \
                 change and repeat the command with --if-revision {revision}"
            ),
            Self::NotFound { item } => write!(f, "{item} does not exist"),
            Self::Exists { item } => write!(f, "{item} already exists; change it instead"),
            Self::InUse { item, by } => write!(f, "{item} is in use by {by}"),
            Self::Invalid { field, fix } => write!(f, "field `{field}`: {fix}"),
            Self::Refused { item, fix } => write!(f, "{item}: {fix}"),
            Self::Unavailable { detail } => {
                write!(
                    f,
                    "the table is unavailable ({detail}); nothing was changed"
                )
            }
            Self::Unanswered { token } => write!(
                f,
                "no reply to the commit from the table; `chervilspool audit` shows whether token \
                 {token} was written"
            ),
        }
    }
}

impl std::error::Error for CommandError {}
