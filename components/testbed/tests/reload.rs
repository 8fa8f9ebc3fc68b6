//! Reload of settings on real processes, under load.

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
use standin::engine::answer_text;
use testbed::Deployment;
use testbed::Plan;
use testbed::Process;
use testbed::deployment::MODEL_SERVICE;

const PLAN: Plan = Plan {
    engines: 2,
    entries: 2,
    instant: false,
    forwarder: true,
    plain_delay_ms: 1,
    log_requests: false,
};
const CALLERS: u32 = 6;
/// Longest wait for an effect that is due within a second or two.
const WAIT_MS: Duration = Duration::from_secs(30);
const POLL_MS: Duration = Duration::from_millis(50);

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
        rotates_keys_without_a_cut_request(&deployment, &entries, &agents, &executor).await?;
        keeps_the_old_settings_when_a_file_cannot_be_used(&deployment, &mut agents[0]).await?;
        shows_names_of_entries(&deployment).await?;
        deployment.entries.replace(entries);
        deployment.agents.replace(agents);
        let unclean = deployment.stop().await;
        ensure!(unclean.is_empty(), "ended with an error: {unclean:?}");
        Ok(())
    }
    .await;
    deployment.clean_up(false);
    result
}

/// Guards against daemons that refuse each other, on new connections or in datagrams, while one
/// has the keys of the next step already and the other has not.
async fn rotates_keys_without_a_cut_request(
    deployment: &Deployment,
    entries: &[Process],
    agents: &[Process],
    executor: &LocalExecutor<'static>,
) -> eyre::Result<()> {
    let load = Rc::new(Load::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let entry = deployment.callers()[caller as usize % PLAN.entries];
            executor.spawn(load.clone().call(caller, Client::new(entry, limits())))
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
    // A probe that is not answered for 2 s closes a target.
    Timer::after(Duration::from_secs(3)).await;
    for entry in 0..PLAN.entries {
        let status = deployment.operators(entry).status().await;
        let status = status.map_err(|error| eyre::eyre!("{error}"))?.to_string();
        let open = status.matches("\"Open\"").count();
        ensure!(open == PLAN.engines + 1, "targets are not open: {status}");
    }
    load.stopping.set(true);
    for caller in callers {
        caller.await?;
    }
    eprintln!("reload: {} requests answered in full", load.answered.get());
    ensure!(load.answered.get() > 0, "no request was answered");
    Ok(())
}

/// Guards against an agent that a bad file stops, or that takes over a part of it.
async fn keeps_the_old_settings_when_a_file_cannot_be_used(
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
    for (fields, named) in cases {
        let record = reload(deployment, agent, &fields, "settings not reloaded").await?;
        ensure!(
            record["code"] == "CS2008" && record["field"] == named,
            "{record}"
        );
        let file = record["file"].as_str().unwrap_or_default();
        ensure!(file.ends_with("agent-bitacora-0.jsonc"), "{record}");
        ensure!(
            record["fix"].as_str().is_some_and(|fix| !fix.is_empty()),
            "{record}"
        );
        ensure!(!agent.has_ended(), "the agent has ended");
    }
    let fields = json!({"keys": [key(2)], "log": {"level": "debug"}});
    reload(deployment, agent, &fields, "settings reloaded").await?;
    Ok(())
}

/// Guards against a status that operators have to read with a list of addresses beside it.
async fn shows_names_of_entries(deployment: &Deployment) -> eyre::Result<()> {
    let status = deployment.operators(0).status().await;
    let status = status.map_err(|error| eyre::eyre!("{error}"))?;
    let entries = &status["entries"];
    ensure!(entries[0]["name"] == "entry-1", "{entries}");
    ensure!(entries[0]["address"].is_string(), "{entries}");
    Ok(())
}

/// Changes the file of a daemon, tells it, and returns the record that it logs.
async fn reload(
    deployment: &Deployment,
    daemon: &Process,
    fields: &Value,
    message: &str,
) -> eyre::Result<Value> {
    let records = || -> eyre::Result<Vec<Value>> {
        let log = daemon.logged()?;
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
    let until = Instant::now() + WAIT_MS;
    while Instant::now() < until {
        if let Some(record) = records()?.get(before) {
            return Ok(record.clone());
        }
        Timer::after(POLL_MS).await;
    }
    eyre::bail!(
        "{}: no record `{message}`: {}",
        daemon.name(),
        daemon.logged()?
    )
}

/// Makes every connection to an engine go silent for good, so that a new one is opened.
async fn reconnect(deployment: &Deployment, entries: &[Process]) -> eyre::Result<()> {
    let connected = || -> eyre::Result<Vec<usize>> {
        let mut counts = Vec::new();
        for entry in entries {
            let log = entry.logged()?;
            for engine in 0..PLAN.engines {
                let name = format!("\"{}\"", deployment.target(engine));
                let is_opened = |line: &&str| line.contains("CS1201") && line.contains(&name);
                counts.push(log.lines().filter(is_opened).count());
            }
        }
        Ok(counts)
    };
    let before = connected()?;
    let mode = json!({"silence": "existing"});
    testbed::call::<Value>(deployment.forwarder, Method::Post, "/mode", Some(&mode)).await;
    let until = Instant::now() + WAIT_MS;
    while Instant::now() < until {
        if connected()?
            .iter()
            .zip(&before)
            .all(|(now, before)| now > before)
        {
            return Ok(());
        }
        Timer::after(POLL_MS).await;
    }
    eyre::bail!(
        "not every engine was connected again: {before:?}, {:?}",
        connected()?
    )
}

#[derive(Default)]
struct Load {
    stopping: Cell<bool>,
    answered: Cell<u32>,
}

impl Load {
    /// Sends one request after the other; each must get its whole answer at the first try.
    async fn call(self: Rc<Self>, caller: u32, client: Client) -> eyre::Result<()> {
        let mut number = 0;
        while !self.stopping.get() {
            number += 1;
            let prompt = format!("hut {caller}-{number}");
            let body = json!({"model": "demo", "prompt": prompt, "max_tokens": 60});
            let path = format!("/services/{MODEL_SERVICE}/v1/completions");
            let request = client.request(Method::Post, &path);
            let mut request = request.map_err(|error| eyre::eyre!("{error}"))?;
            request.insert_header("content-type", "application/json");
            request.insert_header("x-caller", "reload");
            request.set_body(body.to_string());
            let answer = client.send_whole(request).await;
            let answer = answer.map_err(|error| eyre::eyre!("{prompt} was cut: {error}"))?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let value: Value = serde_json::from_str(&text).unwrap_or_default();
            let is_own = value["choices"][0]["text"] == answer_text(&prompt, 60);
            ensure!(
                is_own,
                "{prompt} was answered with {}: {text}",
                answer.status
            );
            self.answered.set(self.answered.get() + 1);
        }
        Ok(())
    }
}

fn limits() -> ClientLimits {
    ClientLimits {
        head_ms: WAIT_MS,
        ..ClientLimits::default()
    }
}

fn key(id: u8) -> Value {
    let secret = match id {
        1 => testbed::deployment::KEY.to_owned(),
        _ => format!("{id:02x}").repeat(32),
    };
    json!({"id": id, "secret": secret})
}
