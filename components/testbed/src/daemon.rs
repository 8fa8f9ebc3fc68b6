//! Runs the program as one of the daemons.

use std::path::Path;
use std::process::ExitCode;

/// First command-line argument that makes the program run as a daemon.
pub const DAEMON: &str = "daemon";

/// Runs a daemon if the arguments are `daemon entry|agent|gateway FILE`; otherwise `None`.
#[must_use]
pub fn run_if_daemon() -> Option<ExitCode> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, first, kind, file] = arguments.as_slice() else {
        return None;
    };
    if first != DAEMON {
        return None;
    }
    match run(kind, Path::new(file)) {
        Ok(()) => Some(ExitCode::SUCCESS),
        Err(report) => {
            eprintln!("{kind}: {report:#}");
            Some(ExitCode::FAILURE)
        }
    }
}

fn run(kind: &str, file: &Path) -> eyre::Result<()> {
    match kind {
        "entry" => entry::run(settings::load_entry(file)?, file),
        "gateway" => platform::run_gateway(file),
        _ => agent::run(settings::load_agent(file)?, file),
    }
}
