//! Commands `status`, `explain` and `audit`.

use std::fs::File;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use types::Revision;

use crate::cli::EntryOptions;
use crate::cmd::CommandResult;
use crate::cmd::client;
use crate::cmd::print;
use crate::failure::EXIT_NOT_FOUND;
use crate::failure::EXIT_USAGE;
use crate::failure::Failure;
use crate::output;

pub(super) async fn status(options: &EntryOptions) -> CommandResult {
    let status = client(options)?.status().await?;
    print(options, &status);
    Ok(())
}

pub(super) async fn explain(options: &EntryOptions, subject: &str) -> CommandResult {
    let explanation = client(options)?.explain(subject).await?;
    print(options, &explanation);
    Ok(())
}

/// Prints the history of a request from log files of gateways.
pub(super) fn explain_from_logs(files: &[PathBuf], request: &str) -> CommandResult {
    if files.is_empty() {
        let message = "use --entry and --token-file to query an entry, or --log to read log files";
        return Err(Failure::new(EXIT_USAGE, message));
    }
    let mut log = String::new();
    for file in files {
        let result = if file == Path::new("-") {
            std::io::stdin().read_to_string(&mut log)
        } else {
            File::open(file).and_then(|mut opened| opened.read_to_string(&mut log))
        };
        result.map_err(|error| Failure::new(EXIT_USAGE, format!("{}: {error}", file.display())))?;
        log.push('\n');
    }
    let history = gateway::request_history::request_history(log.lines(), request);
    if history.is_empty() {
        let message = format!("no log line mentions request {request}");
        return Err(Failure::new(EXIT_NOT_FOUND, message));
    }
    for line in history {
        println!("{line}");
    }
    Ok(())
}

pub(super) async fn audit(
    options: &EntryOptions,
    before: Option<Revision>,
    limit: usize,
) -> CommandResult {
    let changes = client(options)?.audit(before, limit).await?;
    if options.json {
        output::print_json(&changes);
        return Ok(());
    }
    for change in &changes {
        println!("{}", output::render_change(change));
    }
    Ok(())
}
