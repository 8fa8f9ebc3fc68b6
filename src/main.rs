//! Command line of chervilspool.
//!
//! Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another change or with an item
//! in use, 4 not found, 5 entry or table unavailable.

mod cli;
mod cmd;
mod failure;
mod output;

use std::process::ExitCode;

use bpaf::Args;
use bpaf::ParseFailure;

use crate::failure::EXIT_USAGE;

/// Maximum line width of help texts.
const HELP_WIDTH_COLUMNS: usize = 100;

fn main() -> ExitCode {
    match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => cmd::run(cli),
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            }
        }
    }
}
