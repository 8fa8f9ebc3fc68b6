//! Plans for operators' commands.

use store::Put;
use types::ChangeBody;
use types::Profile;
use types::Revision;
use types::Service;

use crate::command::Command;
use crate::command::CommandError;
use crate::command::CommandRequest;
use crate::conflict;
use crate::keys;
use crate::orders::OrderDraft;
use crate::orders::check_name;
use crate::plan::ChangeMeta;
use crate::plan::Draft;
use crate::plan::Intent;
use crate::plan::Planned;
use crate::plan::plan_intent;
use crate::plan::put;
use crate::rows::RowSet;
use crate::rows::RowsNeeded;
use crate::rows::Versioned;
use crate::rows::decode;

/// Rows to read before [`plan`], given those already read. Call again after reading them, until the
/// result is empty.
#[must_use]
pub fn rows_needed(request: &CommandRequest, rows: &RowSet) -> RowsNeeded {
    let mut needed = request.rows_needed(rows);
    needed.keys.push(keys::HEAD.to_owned());
    rows.missing(needed)
}

/// Plans a command.
///
/// # Errors
///
/// The reason why the command is not possible in the state that the rows show.
pub fn plan(
    request: &CommandRequest,
    rows: &RowSet,
    meta: &ChangeMeta,
) -> Result<Planned, CommandError> {
    plan_intent(request, rows, meta)?.ok_or_else(|| CommandError::Refused {
        item: item_key(&request.command),
        fix: "the table already has this change".to_owned(),
    })
}

impl Intent for CommandRequest {
    type Error = CommandError;

    fn conflict_item(&self) -> Option<(String, serde_json::Value)> {
        let wanted = match &self.command {
            Command::CreateProfile { profile } | Command::ChangeProfile { profile } => {
                serde_json::to_value(profile)
            }
            Command::RetireProfile { .. } => Ok(serde_json::Value::Null),
            Command::SetService { service } => serde_json::to_value(service),
            Command::OrderTarget { order, .. } => serde_json::to_value(order),
        };
        Some((item_key(&self.command), wanted.unwrap_or_default()))
    }

    fn rows_needed(&self, rows: &RowSet) -> RowsNeeded {
        let item = item_key(&self.command);
        let mut needed = RowsNeeded::default();
        match &self.command {
            Command::CreateProfile { .. } | Command::ChangeProfile { .. } => {}
            Command::RetireProfile { .. } => needed.prefixes.push(keys::SERVICE.to_owned()),
            Command::SetService { service } => needed.keys.push(keys::profile(&service.profile)),
            Command::OrderTarget { target, .. } => {
                needed.keys.extend(OrderDraft::rows_needed(target, rows));
            }
        }
        let revision = rows.revision(&item);
        if self
            .if_revision
            .is_some_and(|expected| expected != revision)
        {
            needed.keys.push(keys::log(revision));
        }
        needed.keys.push(item);
        needed
    }

    fn draft(&self, rows: &RowSet, revision: Revision) -> Result<Option<Draft>, CommandError> {
        check_names(&self.command)?;
        self.check_revision(rows)?;
        let draft = match &self.command {
            Command::CreateProfile { profile } => create_profile(profile, rows, revision),
            Command::ChangeProfile { profile } => change_profile(profile, rows, revision),
            Command::RetireProfile { name } => retire_profile(name, rows),
            Command::SetService { service } => set_service(service, rows, revision),
            Command::OrderTarget { target, order } => OrderDraft {
                target,
                kind: order,
                supersedes: self.if_revision,
                held: None,
            }
            .draft(rows, revision),
        }?;
        Ok(Some(draft))
    }
}

impl CommandRequest {
    /// Fails if the item does not have the expected revision.
    fn check_revision(&self, rows: &RowSet) -> Result<(), CommandError> {
        let Some((item, wanted)) = self.conflict_item() else {
            return Ok(());
        };
        if self
            .if_revision
            .is_none_or(|expected| expected == rows.revision(&item))
        {
            return Ok(());
        }
        Err(conflict::conflict_error(rows, &item, &wanted))
    }
}

fn item_key(command: &Command) -> String {
    match command {
        Command::CreateProfile { profile } | Command::ChangeProfile { profile } => {
            keys::profile(&profile.name)
        }
        Command::RetireProfile { name } => keys::profile(name),
        Command::SetService { service } => keys::service(&service.name),
        Command::OrderTarget { target, .. } => keys::order(target),
    }
}

/// Validates the names in a command, because they become parts of row keys.
fn check_names(command: &Command) -> Result<(), CommandError> {
    let (field, name) = match command {
        Command::CreateProfile { profile } | Command::ChangeProfile { profile } => {
            return profile.validate().map_err(|error| CommandError::Invalid {
                field: error.field.to_owned(),
                fix: error.fix.to_owned(),
            });
        }
        Command::RetireProfile { name } => ("name", name),
        Command::SetService { service } => ("name", &service.name),
        Command::OrderTarget { target, .. } => ("target", target),
    };
    check_name(field, name)
}

fn create_profile(
    profile: &Profile,
    rows: &RowSet,
    revision: Revision,
) -> Result<Draft, CommandError> {
    let item = keys::profile(&profile.name);
    if rows.version(&item) != 0 {
        return Err(CommandError::Exists { item });
    }
    Ok(write_profile(profile, None, rows, revision))
}

fn change_profile(
    profile: &Profile,
    rows: &RowSet,
    revision: Revision,
) -> Result<Draft, CommandError> {
    let before = stored_profile(&profile.name, rows)?;
    Ok(write_profile(profile, Some(before), rows, revision))
}

fn write_profile(
    profile: &Profile,
    before: Option<Profile>,
    rows: &RowSet,
    revision: Revision,
) -> Draft {
    let item = keys::profile(&profile.name);
    let value = Versioned {
        revision,
        value: profile.clone(),
    };
    Draft {
        checks: vec![rows.check(&item)],
        puts: vec![put(item, &value)],
        body: ChangeBody::Profile {
            before,
            after: value.value,
        },
    }
}

fn retire_profile(name: &str, rows: &RowSet) -> Result<Draft, CommandError> {
    let item = keys::profile(name);
    let before = stored_profile(name, rows)?;
    for row in rows.with_prefix(keys::SERVICE) {
        let service: Versioned<Service> = decode(row)?;
        if service.value.profile == name {
            return Err(CommandError::InUse {
                item,
                by: row.key.clone(),
            });
        }
    }
    Ok(Draft {
        checks: vec![rows.check(&item)],
        puts: vec![Put {
            key: item,
            value: None,
        }],
        body: ChangeBody::ProfileRetired {
            before,
            name: name.to_owned(),
        },
    })
}

fn set_service(
    service: &Service,
    rows: &RowSet,
    revision: Revision,
) -> Result<Draft, CommandError> {
    stored_profile(&service.profile, rows)?;
    let item = keys::service(&service.name);
    let before: Option<Versioned<Service>> = rows.get(&item)?;
    let before = before.map(|stored| stored.value);
    if before.as_ref().is_some_and(|old| old.kind != service.kind) {
        return Err(CommandError::Invalid {
            field: "kind".to_owned(),
            fix: "the kind of a service cannot be changed; use another name".to_owned(),
        });
    }
    let value = Versioned {
        revision,
        value: service.clone(),
    };
    Ok(Draft {
        checks: vec![
            rows.check(&item),
            rows.check(&keys::profile(&service.profile)),
        ],
        puts: vec![put(item, &value)],
        body: ChangeBody::Service {
            before,
            after: value.value,
        },
    })
}

fn stored_profile(name: &str, rows: &RowSet) -> Result<Profile, CommandError> {
    let item = keys::profile(name);
    let stored: Option<Versioned<Profile>> = rows.get(&item)?;
    stored
        .map(|stored| stored.value)
        .ok_or(CommandError::NotFound { item })
}
