//! Operators' commands, as they travel from the command line to an entry.

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

/// What an operator wants changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Create a profile; fails if it exists.
    CreateProfile {
        /// Whole profile.
        profile: Profile,
    },
    /// Replace a profile; fails if it does not exist.
    ChangeProfile {
        /// Whole new value.
        profile: Profile,
    },
    /// Retire a profile that no service uses.
    RetireProfile {
        /// Its name.
        name: ProfileName,
    },
    /// Create a service, or let it pick another profile.
    SetService {
        /// Whole new value.
        service: Service,
    },
    /// Give an order to a target.
    OrderTarget {
        /// Target concerned.
        target: TargetName,
        /// What it has to do.
        order: OrderKind,
    },
}

/// A command with its conditions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// What to change.
    pub command: Command,
    /// Why, for the audit trail.
    pub reason: String,
    /// Revision of the item that the operator saw; the command fails if it has changed since.
    pub if_revision: Option<Revision>,
    /// Check everything and write nothing.
    pub dry_run: bool,
}

/// A command that succeeded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandOutcome {
    /// The change; with `dry_run`, the one that would have been made.
    pub change: Change,
    /// Nothing was written.
    pub dry_run: bool,
}

/// A command that failed; nothing was changed, except possibly after `Unanswered`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum CommandError {
    /// Another change came first.
    Conflict {
        /// Item concerned, for example `profile/radio-desk`.
        item: String,
        /// Revision of the item now.
        revision: Revision,
        /// Who made that change, as far as the log tells.
        by: String,
        /// Fields in which the item now differs from the command, for people.
        #[serde(default)]
        difference: String,
    },
    /// The item does not exist.
    NotFound {
        /// Item concerned.
        item: String,
    },
    /// The item exists already.
    Exists {
        /// Item concerned.
        item: String,
    },
    /// The item is in use.
    InUse {
        /// Item concerned.
        item: String,
        /// What uses it.
        by: String,
    },
    /// A field is out of range.
    Invalid {
        /// Field at fault.
        field: String,
        /// What to do.
        fix: String,
    },
    /// The order contradicts the target's state or an order that is still outstanding.
    Refused {
        /// Item concerned.
        item: String,
        /// Why, and what to do.
        fix: String,
    },
    /// The table does not answer; nothing was written.
    Unavailable {
        /// For the operator.
        detail: String,
    },
    /// The table's answer is lost; look at the audit trail for the token.
    Unanswered {
        /// Token of the write.
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
                "{item} was changed by {by} at revision {revision} ({difference}); look at it \
                 again and repeat the command with --if-revision {revision}"
            ),
            Self::NotFound { item } => write!(f, "{item} does not exist"),
            Self::Exists { item } => write!(f, "{item} exists already; change it instead"),
            Self::InUse { item, by } => write!(f, "{item} is in use by {by}"),
            Self::Invalid { field, fix } => write!(f, "field `{field}`: {fix}"),
            Self::Refused { item, fix } => write!(f, "{item}: {fix}"),
            Self::Unavailable { detail } => {
                write!(
                    f,
                    "the table does not answer ({detail}); nothing was changed"
                )
            }
            Self::Unanswered { token } => write!(
                f,
                "the table's answer is lost; `chervilspool audit` shows whether token {token} \
                 was written"
            ),
        }
    }
}

impl std::error::Error for CommandError {}
