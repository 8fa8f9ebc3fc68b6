//! Commands about profiles.

use control::Command;
use jsonc_parser::parse_to_serde_value;
use operators::ActiveProfile;
use operators::OperatorsClient;
use serde_json::Value;
use types::Profile;
use types::Revision;

use crate::cli::EntryOptions;
use crate::cli::ProfileCommand;
use crate::cli::ProfileValues;
use crate::cmd::CommandResult;
use crate::cmd::client;
use crate::cmd::execute;
use crate::cmd::print;
use crate::failure::EXIT_FAILED;
use crate::failure::EXIT_NOT_FOUND;
use crate::failure::EXIT_USAGE;
use crate::failure::Failure;
use crate::output;

pub(super) async fn run(command: ProfileCommand) -> CommandResult {
    match command {
        ProfileCommand::Create {
            change,
            values,
            name,
        } => {
            let profile = apply_values(&Profile::default(), &values, &name)?;
            let client = client(&change.entry_options)?;
            execute(&client, &change, Command::CreateProfile { profile }).await
        }
        ProfileCommand::Change {
            mut change,
            values,
            name,
        } => {
            let client = client(&change.entry_options)?;
            let current = find_profile(&client, &name).await?;
            let profile = apply_values(&current.profile, &values, &name)?;
            // The command sends the whole profile. Without this condition it would revert changes
            // that another operator makes in the meantime.
            change.if_revision.get_or_insert(current.revision);
            execute(&client, &change, Command::ChangeProfile { profile }).await
        }
        ProfileCommand::Retire { change, name } => {
            let client = client(&change.entry_options)?;
            execute(&client, &change, Command::RetireProfile { name }).await
        }
        ProfileCommand::List(entry) => {
            let profiles = client(&entry)?.profiles().await?;
            print(&entry, &profile_rows(&entry, &profiles)?);
            Ok(())
        }
        ProfileCommand::Show { entry, name } => show(&entry, &name).await,
    }
}

async fn show(options: &EntryOptions, name: &str) -> CommandResult {
    let client = client(options)?;
    let found = find_profile(&client, name).await?;
    let outdated = entries_below_revision(&client.status().await?, found.revision);
    let mut profile = to_value(&found.profile)?;
    if let Some(fields) = profile.as_object_mut() {
        fields.insert("revision".to_owned(), found.revision.into());
        let outdated = if options.json {
            outdated.into()
        } else {
            outdated.iter().map(output::render_entry).collect()
        };
        fields.insert("not_yet_in_force_on".to_owned(), outdated);
    }
    print(options, &profile);
    Ok(())
}

async fn find_profile(client: &OperatorsClient, name: &str) -> Result<ActiveProfile, Failure> {
    let profiles = client.profiles().await?;
    profiles
        .into_iter()
        .find(|found| found.profile.name == name)
        .ok_or_else(|| Failure::new(EXIT_NOT_FOUND, format!("profile/{name} does not exist")))
}

/// Entries of a status that are at a lower revision.
fn entries_below_revision(status: &Value, revision: Revision) -> Vec<Value> {
    let entries = status["entries"].as_array();
    entries
        .into_iter()
        .flatten()
        .filter(|entry| entry["revision"].as_u64().is_some_and(|at| at < revision))
        .map(|entry| {
            serde_json::json!({
                "name": entry["name"],
                "address": entry["address"],
                "revision": entry["revision"],
            })
        })
        .collect()
}

fn profile_rows(options: &EntryOptions, profiles: &[ActiveProfile]) -> Result<Value, Failure> {
    if options.json {
        return to_value(&profiles);
    }
    let rows = profiles.iter().map(|found| {
        serde_json::json!({
            "name": found.profile.name,
            "revision": found.revision,
            "model": found.profile.model,
            "version": found.profile.version,
            "adapter": found.profile.adapter,
            "priority": found.profile.priority,
            "deadline_ms": u64::try_from(found.profile.deadline_ms.as_millis()).unwrap_or(u64::MAX),
            "idempotent": found.profile.idempotent,
        })
    });
    Ok(Value::Array(rows.collect()))
}

fn apply_values(base: &Profile, values: &ProfileValues, name: &str) -> Result<Profile, Failure> {
    let mut value = to_value(base)?;
    if let Some(file) = &values.file {
        let path = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|error| Failure::new(EXIT_USAGE, format!("{path}: {error}")))?;
        let fields: Value = parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default())
            .map_err(|error| Failure::new(EXIT_USAGE, format!("{path}: {error}")))?;
        for (field, new) in fields.as_object().into_iter().flatten() {
            value[field] = new.clone();
        }
    }
    for setting in &values.set {
        let (field, text) = setting
            .split_once('=')
            .ok_or_else(|| Failure::new(EXIT_USAGE, format!("--set {setting}: use FIELD=VALUE")))?;
        let is_text = value.get(field).is_some_and(Value::is_string);
        value[field] = match serde_json::from_str(text) {
            Ok(parsed) if !is_text => parsed,
            _ => Value::String(text.to_owned()),
        };
    }
    value["name"] = Value::String(name.to_owned());
    let profile: Profile = serde_json::from_value(value)
        .map_err(|error| Failure::new(EXIT_USAGE, format!("profile {name}: {error}")))?;
    profile
        .validate()
        .map_err(|error| Failure::new(EXIT_FAILED, error))?;
    Ok(profile)
}

fn to_value(value: &impl serde::Serialize) -> Result<Value, Failure> {
    serde_json::to_value(value).map_err(|error| Failure::new(EXIT_FAILED, error))
}
