//! Commands about services.

use control::Command;
use types::Service;
use types::ServiceKind;

use crate::cli::ServiceCommand;
use crate::cmd::CommandResult;
use crate::cmd::client;
use crate::cmd::execute;
use crate::cmd::print;
use crate::failure::EXIT_USAGE;
use crate::failure::Failure;

pub(super) async fn run(command: ServiceCommand) -> CommandResult {
    match command {
        ServiceCommand::Set {
            change,
            kind,
            profile,
            name,
        } => {
            let client = client(&change.entry_options)?;
            let kind = match kind.as_deref() {
                Some("model") => ServiceKind::Model,
                Some("plain") => ServiceKind::Plain,
                Some(_) => {
                    return Err(Failure::new(
                        EXIT_USAGE,
                        "--kind: invalid value; use `model` or `plain`",
                    ));
                }
                None => {
                    let services = client.services().await?;
                    let existing = services.iter().find(|service| service.name == name);
                    existing.map(|service| service.kind).ok_or_else(|| {
                        Failure::new(
                            EXIT_USAGE,
                            format!(
                                "service/{name} does not exist; --kind is required to create it"
                            ),
                        )
                    })?
                }
            };
            let service = Service {
                name,
                kind,
                profile,
            };
            execute(&client, &change, Command::SetService { service }).await
        }
        ServiceCommand::List(entry) => {
            let services = client(&entry)?.services().await?;
            print(&entry, &services);
            Ok(())
        }
    }
}
