//! Failed commands and their exit codes.

use std::fmt;

use control::CommandError;
use operators::OperatorError;

/// The command failed for another reason than those below.
pub const EXIT_FAILED: u8 = 1;
/// Wrong usage.
pub const EXIT_USAGE: u8 = 2;
/// Another change came first, or the change contradicts what is in use.
pub const EXIT_CONFLICT: u8 = 3;
/// The item does not exist.
pub const EXIT_NOT_FOUND: u8 = 4;
/// The entry or the table does not answer.
pub const EXIT_UNAVAILABLE: u8 = 5;

/// A command that failed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the process.
    pub code: u8,
    /// For the operator.
    pub message: String,
}

impl Failure {
    /// A failure with an exit code.
    pub fn new(code: u8, message: impl fmt::Display) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }
}

impl From<OperatorError> for Failure {
    fn from(error: OperatorError) -> Self {
        let code = match &error {
            OperatorError::Command(error) => command_code(error),
            OperatorError::Refused(problem) if problem.status == 503 => EXIT_UNAVAILABLE,
            OperatorError::Unreachable(_) | OperatorError::Interrupted(_) => EXIT_UNAVAILABLE,
            OperatorError::Refused(_) | OperatorError::Malformed(_) => EXIT_FAILED,
        };
        Self::new(code, error)
    }
}

fn command_code(error: &CommandError) -> u8 {
    match error {
        CommandError::NotFound { .. } => EXIT_NOT_FOUND,
        CommandError::Conflict { .. }
        | CommandError::Exists { .. }
        | CommandError::InUse { .. }
        | CommandError::Refused { .. } => EXIT_CONFLICT,
        CommandError::Invalid { .. } => EXIT_FAILED,
        CommandError::Unavailable { .. } | CommandError::Unanswered { .. } => EXIT_UNAVAILABLE,
    }
}
