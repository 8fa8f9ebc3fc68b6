//! `status`, `explain` and `audit`.

use types::Revision;

use crate::cli::EntryOptions;
use crate::cmd::CommandResult;
use crate::cmd::client;
use crate::cmd::print;
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
        println!("{}", output::change(change));
    }
    Ok(())
}
