//! Errors of commands and their exit codes.

use std::fmt;

use control::CommandError;
use operators::OperatorError;

/// Any failure that has no exit code of its own.
pub const EXIT_FAILED: u8 = 1;
/// Invalid arguments, or a token, profile or log file that cannot be read.
pub const EXIT_USAGE: u8 = 2;
/// The item was changed in the meantime, exists already or is in use, or its state does not allow
/// the change.
pub const EXIT_CONFLICT: u8 = 3;
/// The requested item does not exist, or no log line mentions the request.
pub const EXIT_NOT_FOUND: u8 = 4;
/// The entry or the table is unavailable.
pub const EXIT_UNAVAILABLE: u8 = 5;

/// Error of a command.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the process, one of the `EXIT_*` constants.
    pub code: u8,
    /// Error message that is printed to standard error.
    pub message: String,
}

impl Failure {
    /// Creates a failure whose message is the text of a value.
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
            OperatorError::Command(error) => command_exit_code(error),
            OperatorError::Refused(problem) if problem.status == 503 => EXIT_UNAVAILABLE,
            OperatorError::Unreachable(_) | OperatorError::Interrupted(_) => EXIT_UNAVAILABLE,
            OperatorError::Refused(_) | OperatorError::Malformed(_) => EXIT_FAILED,
        };
        Self::new(code, error)
    }
}

fn command_exit_code(error: &CommandError) -> u8 {
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
