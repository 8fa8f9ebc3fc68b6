//! Implementation of the commands.

mod daemon;
mod engine;
mod inspect;
mod profile;
mod service;

use std::process::ExitCode;

use control::Command;
use control::CommandOutcome;
use control::CommandRequest;
use operators::OperatorsClient;

use crate::cli::ChangeOptions;
use crate::cli::Cli;
use crate::cli::EntryOptions;
use crate::failure::EXIT_USAGE;
use crate::failure::Failure;
use crate::output;

type CommandResult = Result<(), Failure>;

/// Runs a command and returns the exit code of the process.
pub fn run(cli: Cli) -> ExitCode {
    let result = match cli {
        Cli::Entry(file) => daemon::run_entry(&file),
        Cli::Agent(file) => daemon::run_agent(&file),
        Cli::Gateway(file) => daemon::run_gateway(&file),
        Cli::Check(file) => daemon::check_settings(&file),
        Cli::Profile(command) => smol::block_on(profile::run(command)),
        Cli::Service(command) => smol::block_on(service::run(command)),
        Cli::Engine(command) => smol::block_on(engine::run(command)),
        Cli::Status(entry) => smol::block_on(inspect::status(&entry)),
        Cli::Explain {
            entry: Some(entry),
            log,
            subject,
        } if log.is_empty() => smol::block_on(inspect::explain(&entry, &subject)),
        Cli::Explain { log, subject, .. } => inspect::explain_from_logs(&log, &subject),
        Cli::Audit {
            entry,
            before,
            limit,
        } => smol::block_on(inspect::audit(&entry, before, limit)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{}", failure.message);
            ExitCode::from(failure.code)
        }
    }
}

fn client(options: &EntryOptions) -> Result<OperatorsClient, Failure> {
    let file = &options.token_file;
    let token = std::fs::read_to_string(file)
        .map_err(|error| Failure::new(EXIT_USAGE, format!("{}: {error}", file.display())))?;
    Ok(OperatorsClient::new(options.entry, token.trim()))
}

async fn execute(
    client: &OperatorsClient,
    options: &ChangeOptions,
    command: Command,
) -> CommandResult {
    let request = CommandRequest {
        command,
        reason: options.reason.clone(),
        if_revision: options.if_revision,
        dry_run: options.dry_run,
    };
    let outcome = client.execute(&request).await?;
    print_outcome(&options.entry_options, &outcome);
    Ok(())
}

fn print_outcome(options: &EntryOptions, outcome: &CommandOutcome) {
    if options.json {
        output::print_json(outcome);
    } else {
        println!("{}", output::render_outcome(outcome));
    }
}

/// Prints a value as JSON or as text, depending on the options.
fn print(options: &EntryOptions, value: &impl serde::Serialize) {
    if options.json {
        output::print_json(value);
    } else {
        let value = serde_json::to_value(value).unwrap_or_default();
        print!("{}", output::render(&value));
    }
}
