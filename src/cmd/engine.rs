//! Commands about engines.

use control::Command;
use serde_json::Map;
use serde_json::Value;
use types::OrderKind;
use types::Role;

use crate::cli::ChangeOptions;
use crate::cli::EngineCommand;
use crate::cli::OrderContent;
use crate::cmd::CommandResult;
use crate::cmd::client;
use crate::cmd::execute;
use crate::cmd::print;
use crate::failure::EXIT_USAGE;
use crate::failure::Failure;

pub(super) async fn run(command: EngineCommand) -> CommandResult {
    match command {
        EngineCommand::List(entry) => {
            let status = client(&entry)?.status().await?;
            print(&entry, &targets_of_status(&status));
            Ok(())
        }
        EngineCommand::Drain { change, name } => order(&change, name, OrderKind::Drain).await,
        EngineCommand::Replace { change, name } => order(&change, name, OrderKind::Replace).await,
        EngineCommand::Withdraw { change, name } => order(&change, name, OrderKind::Withdraw).await,
        EngineCommand::Resume { change, name } => order(&change, name, OrderKind::Resume).await,
        EngineCommand::Order {
            change,
            content,
            name,
        } => order(&change, name, order_kind(content)?).await,
    }
}

/// Collects the targets of a status, which groups them by service.
fn targets_of_status(status: &Value) -> Vec<Value> {
    let mut targets = Vec::new();
    for service in status["services"].as_array().into_iter().flatten() {
        for target in service["targets"].as_array().into_iter().flatten() {
            let mut row = Map::new();
            row.insert("service".to_owned(), service["service"].clone());
            row.extend(target.as_object().cloned().unwrap_or_default());
            targets.push(Value::Object(row));
        }
    }
    targets
}

async fn order(change: &ChangeOptions, target: String, order: OrderKind) -> CommandResult {
    let client = client(&change.entry_options)?;
    execute(&client, change, Command::OrderTarget { target, order }).await
}

fn order_kind(content: OrderContent) -> Result<OrderKind, Failure> {
    Ok(match content {
        OrderContent::LoadModel {
            model,
            model_version,
        } => OrderKind::LoadModel {
            model,
            version: model_version,
        },
        OrderContent::LoadAdapter { load_adapter } => OrderKind::LoadAdapter {
            adapter: load_adapter,
        },
        OrderContent::UnloadAdapter { unload_adapter } => OrderKind::UnloadAdapter {
            adapter: unload_adapter,
        },
        OrderContent::ChangeRole { role } => OrderKind::ChangeRole {
            role: parse_role(&role)?,
        },
    })
}

fn parse_role(role: &str) -> Result<Role, Failure> {
    match role {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "mixed" => Ok(Role::Mixed),
        _ => Err(Failure::new(
            EXIT_USAGE,
            "--role: invalid value; use `prefill`, `decode` or `mixed`",
        )),
    }
}
