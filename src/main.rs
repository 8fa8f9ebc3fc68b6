//! Command line of chervilspool.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change or with what is in
//! use, 4 not found, 5 the entry or the table is not available.

mod cli;
mod cmd;
mod failure;
mod output;

use std::process::ExitCode;

use bpaf::Args;
use bpaf::ParseFailure;

use crate::failure::EXIT_USAGE;

/// Width of help texts.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => cmd::run(cli),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            }
        }
    }
}
