//! Commands that run a daemon or check its settings.

use std::path::Path;

use settings::DaemonSettings;
use settings::SettingsError;

use crate::cmd::CommandResult;
use crate::failure::EXIT_FAILED;
use crate::failure::Failure;

impl From<SettingsError> for Failure {
    fn from(error: SettingsError) -> Self {
        Self::new(EXIT_FAILED, error)
    }
}

pub(super) fn run_entry(file: &Path) -> CommandResult {
    let settings = settings::load_entry(file)?;
    command_result(entry::run(settings, file))
}

pub(super) fn run_agent(file: &Path) -> CommandResult {
    let settings = settings::load_agent(file)?;
    command_result(agent::run(settings, file))
}

pub(super) fn run_gateway(file: &Path) -> CommandResult {
    command_result(platform::run_gateway(file))
}

pub(super) fn check_settings(file: &Path) -> CommandResult {
    if file
        .extension()
        .is_some_and(|extension| extension == "toml")
    {
        return check_gateway_settings(file);
    }
    let summary = match settings::load(file)? {
        DaemonSettings::Entry(entry) => format!("entry `{}`", entry.name),
        DaemonSettings::Agent(agent) => format!("agent of target `{}`", agent.target.name),
    };
    println!("{}: valid settings of {summary}", file.display());
    Ok(())
}

fn check_gateway_settings(file: &Path) -> CommandResult {
    let platform_settings =
        platform::PlatformSettings::load(file).map_err(|error| Failure::new(EXIT_FAILED, error))?;
    let settings = platform_settings.gateway();
    let settings = settings.map_err(|error| Failure::new(EXIT_FAILED, error))?;
    println!(
        "{}: valid settings of gateway `{}`",
        file.display(),
        settings.host
    );
    Ok(())
}

fn command_result(result: eyre::Result<()>) -> CommandResult {
    result.map_err(|report| Failure::new(EXIT_FAILED, format!("{report:#}")))
}
