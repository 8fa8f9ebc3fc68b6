//! Reload of settings in real processes while requests are running.

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use eyre::ensure;
use http::Client;
use http::ClientLimits;
use http_types::Method;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;
use standin::engine::output_text;
use testbed::Deployment;
use testbed::DeploymentOptions;
use testbed::Process;
use testbed::deployment::MODEL_SERVICE;

const PLAN: DeploymentOptions = DeploymentOptions {
    engines: 2,
    entries: 2,
    instant: false,
    forwarder: true,
    plain_delay_ms: 1,
    log_requests: false,
};
const CALLER_COUNT: u32 = 6;
/// Longest wait for an effect that normally takes a second or two.
const EFFECT_TIMEOUT_MS: Duration = Duration::from_secs(30);
const POLL_INTERVAL_MS: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    if let Some(code) = testbed::run_if_daemon() {
        return code;
    }
    let executor = Rc::new(LocalExecutor::new());
    match smol::block_on(executor.run(run(executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("reload: {report:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(executor: Rc<LocalExecutor<'static>>) -> eyre::Result<()> {
    let deployment = Deployment::start(PLAN).await?;
    let result = async {
        let entries = deployment.entries.take();
        let mut agents = deployment.agents.take();
        rotates_keys_without_failing_a_request(&deployment, &entries, &agents, &executor).await?;
        keeps_the_old_settings_when_the_file_is_invalid(&deployment, &mut agents[0]).await?;
        reports_entries_by_name(&deployment).await?;
        deployment.entries.replace(entries);
        deployment.agents.replace(agents);
        let failed = deployment.stop().await;
        ensure!(failed.is_empty(), "not stopped with status 0: {failed:?}");
        Ok(())
    }
    .await;
    deployment.remove_files(false);
    result
}

/// Guards against daemons that reject each other's new connections or datagrams while only one of
/// them has the keys of the next rotation step.
async fn rotates_keys_without_failing_a_request(
    deployment: &Deployment,
    entries: &[Process],
    agents: &[Process],
    executor: &LocalExecutor<'static>,
) -> eyre::Result<()> {
    let load = Rc::new(Load::default());
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let entry = deployment.callers()[caller as usize % PLAN.entries];
            executor.spawn(
                load.clone()
                    .send_requests(caller, Client::new(entry, limits())),
            )
        })
        .collect();
    for ids in [&[1, 2][..], &[2, 1], &[2]] {
        let keys: Vec<Value> = ids.iter().map(|id| key(*id)).collect();
        for daemons in [agents, entries] {
            for daemon in daemons {
                reload(
                    deployment,
                    daemon,
                    &json!({"keys": keys}),
                    "settings reloaded",
                )
                .await?;
            }
            reconnect(deployment, entries).await?;
        }
    }
    // A target without a probe response for 2 s is closed.
    Timer::after(Duration::from_secs(3)).await;
    for entry in 0..PLAN.entries {
        let status = deployment.operators(entry).status().await;
        let status = status.map_err(|error| eyre::eyre!("{error}"))?.to_string();
        let open = status.matches("\"Open\"").count();
        ensure!(
            open == PLAN.engines + 1,
            "not all targets are open at entry {entry}: {status}"
        );
    }
    load.is_stopping.set(true);
    for caller in callers {
        caller.await?;
    }
    eprintln!(
        "reload: {} requests received a complete response",
        load.completed.get()
    );
    ensure!(load.completed.get() > 0, "no request received a response");
    Ok(())
}

/// Guards against an agent that exits because of an invalid settings file, or applies parts of it.
async fn keeps_the_old_settings_when_the_file_is_invalid(
    deployment: &Deployment,
    agent: &mut Process,
) -> eyre::Result<()> {
    let cases = [
        (json!({"concurrency": "many"}), "concurrency"),
        (
            json!({"concurrency": 8, "order_poll_ms": 600}),
            "order_poll_ms",
        ),
        (json!({"order_poll_ms": 500, "keys": [key(3)]}), "keys"),
    ];
    for (fields, invalid_field) in cases {
        let record = reload(deployment, agent, &fields, "settings not reloaded").await?;
        ensure!(
            record["code"] == "CS2008" && record["field"] == invalid_field,
            "{record}"
        );
        let file = record["file"].as_str().unwrap_or_default();
        ensure!(file.ends_with("agent-bitacora-0.jsonc"), "{record}");
        ensure!(
            record["fix"].as_str().is_some_and(|fix| !fix.is_empty()),
            "{record}"
        );
        ensure!(!agent.has_ended(), "the agent has exited");
    }
    let fields = json!({"keys": [key(2)], "log": {"level": "debug"}});
    reload(deployment, agent, &fields, "settings reloaded").await?;
    Ok(())
}

/// Guards against a status that identifies other entries only by their addresses.
async fn reports_entries_by_name(deployment: &Deployment) -> eyre::Result<()> {
    let status = deployment.operators(0).status().await;
    let status = status.map_err(|error| eyre::eyre!("{error}"))?;
    let entries = &status["entries"];
    ensure!(entries[0]["name"] == "entry-1", "{entries}");
    ensure!(entries[0]["address"].is_string(), "{entries}");
    Ok(())
}

/// Changes a daemon's settings file, reloads the daemon, and returns the log record with `message`.
async fn reload(
    deployment: &Deployment,
    daemon: &Process,
    fields: &Value,
    message: &str,
) -> eyre::Result<Value> {
    let records = || -> eyre::Result<Vec<Value>> {
        let log = daemon.read_log()?;
        let records = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        Ok(records
            .filter(|record: &Value| record["msg"] == message)
            .collect())
    };
    let before = records()?.len();
    deployment.change_settings(daemon, fields)?;
    daemon.reload();
    let deadline = Instant::now() + EFFECT_TIMEOUT_MS;
    while Instant::now() < deadline {
        if let Some(record) = records()?.get(before) {
            return Ok(record.clone());
        }
        Timer::after(POLL_INTERVAL_MS).await;
    }
    eyre::bail!(
        "{}: no log record `{message}`: {}",
        daemon.name(),
        daemon.read_log()?
    )
}

/// Drops all traffic of the existing connections, so that entries open new ones to every agent.
async fn reconnect(deployment: &Deployment, entries: &[Process]) -> eyre::Result<()> {
    let connection_counts = || -> eyre::Result<Vec<usize>> {
        let mut counts = Vec::new();
        for entry in entries {
            let log = entry.read_log()?;
            for engine in 0..PLAN.engines {
                let name = format!("\"{}\"", deployment.target(engine));
                let is_opened = |line: &&str| line.contains("CS1201") && line.contains(&name);
                counts.push(log.lines().filter(is_opened).count());
            }
        }
        Ok(counts)
    };
    let before = connection_counts()?;
    let mode = json!({"silence": "existing"});
    testbed::call::<Value>(deployment.forwarder, Method::Post, "/mode", Some(&mode)).await;
    let deadline = Instant::now() + EFFECT_TIMEOUT_MS;
    while Instant::now() < deadline {
        if connection_counts()?
            .iter()
            .zip(&before)
            .all(|(now, before)| now > before)
        {
            return Ok(());
        }
        Timer::after(POLL_INTERVAL_MS).await;
    }
    eyre::bail!(
        "not all entries reconnected to all engines: {before:?} connections before, {:?} after",
        connection_counts()?
    )
}

#[derive(Default)]
struct Load {
    is_stopping: Cell<bool>,
    completed: Cell<u32>,
}

impl Load {
    /// Sends requests one after the other; each must get its own complete response without a retry.
    async fn send_requests(self: Rc<Self>, caller: u32, client: Client) -> eyre::Result<()> {
        let mut number = 0;
        while !self.is_stopping.get() {
            number += 1;
            let prompt = format!("hut {caller}-{number}");
            let body = json!({"model": "demo", "prompt": prompt, "max_tokens": 60});
            let path = format!("/services/{MODEL_SERVICE}/v1/completions");
            let request = client.request(Method::Post, &path);
            let mut request = request.map_err(|error| eyre::eyre!("{error}"))?;
            request.insert_header("content-type", "application/json");
            request.insert_header("x-caller", "reload");
            request.set_body(body.to_string());
            let response = client.send_buffered(request).await;
            let response = response.map_err(|error| eyre::eyre!("{prompt} failed: {error}"))?;
            let text = String::from_utf8_lossy(&response.body).into_owned();
            let value: Value = serde_json::from_str(&text).unwrap_or_default();
            let is_expected = value["choices"][0]["text"] == output_text(&prompt, 60);
            ensure!(
                is_expected,
                "{prompt}: unexpected response with status {}: {text}",
                response.status
            );
            self.completed.set(self.completed.get() + 1);
        }
        Ok(())
    }
}

fn limits() -> ClientLimits {
    ClientLimits {
        head_ms: EFFECT_TIMEOUT_MS,
        ..ClientLimits::default()
    }
}

fn key(id: u8) -> Value {
    let secret = match id {
        1 => testbed::deployment::INITIAL_KEY_SECRET.to_owned(),
        _ => format!("{id:02x}").repeat(32),
    };
    json!({"id": id, "secret": secret})
}
