//! Random fault injection, one fault at a time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http_types::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use standin::engine::EngineCounters;
use store::HostEntry;
use store::HostState;
use testbed::Deployment;
use testbed::call;
use types::OrderKind;
use types::Role;

use crate::PLAN;

/// Time after which a leaving target receives no new work; required by the users.
const NEW_WORK_LIMIT_MS: Duration = Duration::from_secs(5);
/// Upper limit of the pause between two faults.
const MAX_PAUSE_MS: u64 = 1500;

/// Kinds of faults, as in the summary and in `--only`.
const KINDS: [&str; 13] = [
    "kill-entry",
    "kill-agent",
    "pause-entry",
    "pause-agent",
    "silence-existing",
    "silence-all",
    "silence-one-way",
    "table-outage",
    "table-lost-replies",
    "table-slow",
    "crash-in-change",
    "drain",
    "wrong-host-list",
];

/// Injects faults and counts them.
pub struct Faults {
    random: StdRng,
    deployment: Rc<Deployment>,
    pub counts: BTreeMap<&'static str, u32>,
    pub late_runs: RefCell<u64>,
}

impl Faults {
    pub fn new(seed: u64, deployment: Rc<Deployment>) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            deployment,
            counts: BTreeMap::new(),
            late_runs: RefCell::new(0),
        }
    }

    /// Injects faults one after another for `total`; some are injected twice in a row. With `only`,
    /// injects just that kind.
    pub async fn inject(&mut self, total: Duration, only: Option<&str>) -> eyre::Result<()> {
        let until = Instant::now() + total;
        while Instant::now() < until {
            let kind = match only {
                Some(name) => *KINDS
                    .iter()
                    .find(|kind| **kind == name)
                    .ok_or_else(|| eyre::eyre!("unknown fault `{name}`; use one of {KINDS:?}"))?,
                None => KINDS[self.random.random_range(0..KINDS.len())],
            };
            let times = if self.random.random_bool(0.2) { 2 } else { 1 };
            for _ in 0..times {
                eprintln!("chaos: {kind}");
                *self.counts.entry(kind).or_default() += 1;
                self.inject_one(kind).await?;
            }
            let pause_ms = self.random.random_range(0..MAX_PAUSE_MS);
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
        Ok(())
    }

    /// Ends all faults, restarts processes that have ended and resumes drained targets.
    pub async fn end_all(&mut self) -> eyre::Result<()> {
        self.set_platform_faults(&json!({})).await;
        self.set_forwarder_mode(&json!({"silence": "none"})).await;
        for process in self.deployment.entries.borrow().iter() {
            process.resume();
        }
        for process in self.deployment.agents.borrow().iter() {
            process.resume();
        }
        self.restart_ended()?;
        for index in 0..=PLAN.engines {
            self.resume_target(index).await;
        }
        Ok(())
    }

    async fn inject_one(&mut self, kind: &str) -> eyre::Result<()> {
        match kind {
            "kill-entry" => self.kill_entry().await,
            "kill-agent" => self.kill_agent().await,
            "pause-entry" => {
                let index = self.random.random_range(0..2);
                self.deployment.entries.borrow()[index].pause();
                self.wait_random().await;
                self.deployment.entries.borrow()[index].resume();
                Ok(())
            }
            "pause-agent" => {
                let index = self.random.random_range(0..=PLAN.engines);
                self.deployment.agents.borrow()[index].pause();
                self.wait_random().await;
                self.deployment.agents.borrow()[index].resume();
                Ok(())
            }
            "silence-existing" => {
                self.set_forwarder_mode(&json!({"silence": "existing"}))
                    .await;
                Ok(())
            }
            "silence-all" => self.silence_link("both").await,
            "silence-one-way" => {
                let direction = ["to-target", "from-target"][self.random.random_range(0..2)];
                self.silence_link(direction).await
            }
            "table-outage" => self.table_fault(&json!({"outages": ["table"]})).await,
            "table-lost-replies" => self.table_fault(&json!({"lost_share": 0.3})).await,
            "table-slow" => self.table_fault(&json!({"delay_ms": 400})).await,
            "crash-in-change" => self.crash_in_change().await,
            "drain" => self.drain().await,
            "wrong-host-list" => self.wrong_host_list().await,
            _ => Ok(()),
        }
    }

    async fn wait_random(&mut self) {
        let wait_ms = self.random.random_range(300..4000);
        Timer::after(Duration::from_millis(wait_ms)).await;
    }

    async fn kill_entry(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..2);
        self.deployment.entries.borrow_mut()[index].kill();
        self.wait_random().await;
        self.deployment.entries.borrow_mut()[index].restart()
    }

    async fn kill_agent(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..=PLAN.engines);
        self.deployment.agents.borrow_mut()[index].kill();
        self.wait_random().await;
        self.deployment.agents.borrow_mut()[index].restart()
    }

    async fn silence_link(&mut self, direction: &str) -> eyre::Result<()> {
        let link = self.random.random_range(0..=PLAN.engines);
        self.set_forwarder_mode(&json!({"silence": "all", "direction": direction, "link": link}))
            .await;
        self.wait_random().await;
        self.set_forwarder_mode(&json!({"silence": "none", "link": link}))
            .await;
        Ok(())
    }

    async fn table_fault(&mut self, faults: &Value) -> eyre::Result<()> {
        self.set_platform_faults(faults).await;
        self.wait_random().await;
        self.set_platform_faults(&json!({})).await;
        Ok(())
    }

    async fn wrong_host_list(&mut self) -> eyre::Result<()> {
        let leaving = self.random.random_range(0..PLAN.engines);
        let entry = |index| HostEntry {
            host: self.deployment.host(index),
            state: if index == leaving {
                HostState::Leaving
            } else {
                HostState::Live
            },
        };
        // The plain service's host is missing from the list although it is running.
        let hosts: Vec<HostEntry> = (0..PLAN.engines).map(entry).collect();
        self.set_platform_faults(&json!({"hosts": hosts})).await;
        self.wait_random().await;
        let live: Vec<HostEntry> = (0..PLAN.engines)
            .map(|index| HostEntry {
                host: self.deployment.host(index),
                state: HostState::Live,
            })
            .collect();
        self.set_platform_faults(&json!({"hosts": live})).await;
        Timer::after(Duration::from_secs(3)).await;
        self.set_platform_faults(&json!({})).await;
        Ok(())
    }

    /// Sends conflicting orders from two operators to one engine, which crashes during the change.
    async fn crash_in_change(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..PLAN.engines);
        let target = self.deployment.target(index);
        let engine = self.deployment.engines[index];
        let _: Option<Value> = call(
            engine,
            Method::Post,
            "/faults",
            Some(&json!({"crash_in_change": 1})),
        )
        .await;
        let change = |role| OrderKind::ChangeRole { role };
        let first = self.deployment.order(0, &target, change(Role::Prefill));
        let second = self.deployment.order(1, &target, change(Role::Decode));
        smol::future::zip(first, second).await;
        self.wait_random().await;
        Ok(())
    }

    /// Drains an engine, counts the runs it starts after the limit, and resumes it.
    async fn drain(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..PLAN.engines);
        let entry = self.random.random_range(0..2);
        let target = self.deployment.target(index);
        if self
            .deployment
            .order(entry, &target, OrderKind::Drain)
            .await
        {
            Timer::after(NEW_WORK_LIMIT_MS).await;
            let before = self.started_runs(index).await;
            Timer::after(Duration::from_secs(1)).await;
            let after = self.started_runs(index).await;
            if let (Some(before), Some(after)) = (before, after) {
                *self.late_runs.borrow_mut() += after - before;
            }
        }
        self.resume_target(index).await;
        Ok(())
    }

    async fn started_runs(&self, index: usize) -> Option<u64> {
        let engine = self.deployment.engines[index];
        let counters: EngineCounters = call(engine, Method::Get, "/counters", None::<&()>).await?;
        Some(counters.runs.iter().map(|run| u64::from(run.started)).sum())
    }

    async fn resume_target(&self, index: usize) {
        let target = self.deployment.target(index);
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if self.deployment.order(0, &target, OrderKind::Resume).await
                || self.deployment.order(1, &target, OrderKind::Resume).await
            {
                return;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }

    fn restart_ended(&self) -> eyre::Result<()> {
        for processes in [&self.deployment.entries, &self.deployment.agents] {
            for process in processes.borrow_mut().iter_mut() {
                if process.has_ended() {
                    eprintln!(
                        "chaos: process {} ended unexpectedly, restarting it",
                        process.name()
                    );
                    process.restart()?;
                }
            }
        }
        Ok(())
    }

    async fn set_platform_faults(&self, faults: &Value) {
        let _: Option<Value> = call(
            self.deployment.platform,
            Method::Post,
            "/faults",
            Some(faults),
        )
        .await;
    }

    async fn set_forwarder_mode(&self, mode: &Value) {
        let _: Option<Value> =
            call(self.deployment.forwarder, Method::Post, "/mode", Some(mode)).await;
    }
}
