//! `service` commands.

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
                    return Err(Failure::new(EXIT_USAGE, "--kind: use `model` or `plain`"));
                }
                None => {
                    let services = client.services().await?;
                    let known = services.iter().find(|service| service.name == name);
                    known.map(|service| service.kind).ok_or_else(|| {
                        Failure::new(EXIT_USAGE, format!("service/{name} is new: state --kind"))
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
