//! Creates the profiles and services of a deployment.

use std::time::Duration;
use std::time::Instant;

use control::Command;
use control::CommandRequest;
use smol::Timer;
use types::Profile;
use types::Service;
use types::ServiceKind;

use crate::deployment::Deployment;
use crate::deployment::MODEL_SERVICE;
use crate::deployment::PLAIN_SERVICE;

/// Longest wait until commands succeed and targets accept requests.
const START_TIMEOUT_MS: Duration = Duration::from_secs(30);
/// Interval between attempts.
const POLL_INTERVAL_MS: Duration = Duration::from_millis(100);

impl Deployment {
    pub(crate) async fn configure(&self) -> eyre::Result<()> {
        let logbook = Profile {
            model: "demo".to_owned(),
            version: "1".to_owned(),
            concurrency_limit: 256,
            ..profile("logbook")
        };
        let work_order = Profile {
            idempotent: false,
            ..profile("work-order")
        };
        let commands = [
            Command::CreateProfile { profile: logbook },
            Command::CreateProfile {
                profile: work_order,
            },
            service(MODEL_SERVICE, ServiceKind::Model, "logbook"),
            service(PLAIN_SERVICE, ServiceKind::Plain, "work-order"),
        ];
        for command in commands {
            self.execute_with_retry(command).await?;
        }
        for entry in 0..self.options.entries {
            self.wait_for_targets(entry).await?;
        }
        Ok(())
    }

    async fn execute_with_retry(&self, command: Command) -> eyre::Result<()> {
        let request = command_request(command);
        let deadline = Instant::now() + START_TIMEOUT_MS;
        loop {
            match self.operators(0).execute(&request).await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => {
                    return Err(eyre::eyre!("cannot create profiles and services: {error}"));
                }
                Err(_) => Timer::after(POLL_INTERVAL_MS).await,
            };
        }
    }

    async fn wait_for_targets(&self, entry: usize) -> eyre::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT_MS;
        while Instant::now() < deadline {
            if self.count_open_targets(entry).await == self.options.engines + 1 {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL_MS).await;
        }
        Err(eyre::eyre!("not all targets are open at entry {entry}"))
    }

    async fn count_open_targets(&self, entry: usize) -> usize {
        let Ok(status) = self.operators(entry).status().await else {
            return 0;
        };
        status.to_string().matches("\"Open\"").count()
    }
}

pub(crate) fn command_request(command: Command) -> CommandRequest {
    CommandRequest {
        command,
        reason: "testbed".to_owned(),
        if_revision: None,
        dry_run: false,
    }
}

fn profile(name: &str) -> Profile {
    Profile {
        name: name.to_owned(),
        deadline_ms: Duration::from_secs(10),
        ..Profile::default()
    }
}

fn service(name: &str, kind: ServiceKind, profile: &str) -> Command {
    Command::SetService {
        service: Service {
            name: name.to_owned(),
            kind,
            profile: profile.to_owned(),
        },
    }
}
