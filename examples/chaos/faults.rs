//! Faults, drawn at random and injected alone or in pairs.

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

/// Time after which a leaving target may receive no new work, from the users' target.
const LEAVING_MS: Duration = Duration::from_secs(5);
/// Time without faults between two of them.
const MAX_GAP_MS: u64 = 1500;

/// Kinds of faults.
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
    pub late_work: RefCell<u64>,
}

impl Faults {
    pub fn new(seed: u64, deployment: Rc<Deployment>) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            deployment,
            counts: BTreeMap::new(),
            late_work: RefCell::new(0),
        }
    }

    /// Injects faults one after the other, some of them twice in a row.
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
                self.one(kind).await?;
            }
            let gap = self.random.random_range(0..MAX_GAP_MS);
            Timer::after(Duration::from_millis(gap)).await;
        }
        Ok(())
    }

    /// Ends every fault.
    pub async fn heal_all(&mut self) -> eyre::Result<()> {
        self.platform(&json!({})).await;
        self.forward(&json!({"silence": "none"})).await;
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

    async fn one(&mut self, kind: &str) -> eyre::Result<()> {
        match kind {
            "kill-entry" => self.kill_entry().await,
            "kill-agent" => self.kill_agent().await,
            "pause-entry" => {
                let index = self.random.random_range(0..2);
                self.deployment.entries.borrow()[index].pause();
                self.last().await;
                self.deployment.entries.borrow()[index].resume();
                Ok(())
            }
            "pause-agent" => {
                let index = self.random.random_range(0..=PLAN.engines);
                self.deployment.agents.borrow()[index].pause();
                self.last().await;
                self.deployment.agents.borrow()[index].resume();
                Ok(())
            }
            "silence-existing" => {
                self.forward(&json!({"silence": "existing"})).await;
                Ok(())
            }
            "silence-all" => self.silence("both").await,
            "silence-one-way" => {
                let direction = ["to-target", "from-target"][self.random.random_range(0..2)];
                self.silence(direction).await
            }
            "table-outage" => self.table(&json!({"outages": ["table"]})).await,
            "table-lost-replies" => self.table(&json!({"lost_share": 0.3})).await,
            "table-slow" => self.table(&json!({"delay_ms": 400})).await,
            "crash-in-change" => self.crash_in_change().await,
            "drain" => self.drain().await,
            "wrong-host-list" => self.wrong_host_list().await,
            _ => Ok(()),
        }
    }

    async fn last(&mut self) {
        let last = self.random.random_range(300..4000);
        Timer::after(Duration::from_millis(last)).await;
    }

    async fn kill_entry(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..2);
        self.deployment.entries.borrow_mut()[index].kill();
        self.last().await;
        self.deployment.entries.borrow_mut()[index].restart()
    }

    async fn kill_agent(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..=PLAN.engines);
        self.deployment.agents.borrow_mut()[index].kill();
        self.last().await;
        self.deployment.agents.borrow_mut()[index].restart()
    }

    async fn silence(&mut self, direction: &str) -> eyre::Result<()> {
        let link = self.random.random_range(0..=PLAN.engines);
        self.forward(&json!({"silence": "all", "direction": direction, "link": link}))
            .await;
        self.last().await;
        self.forward(&json!({"silence": "none", "link": link}))
            .await;
        Ok(())
    }

    async fn table(&mut self, faults: &Value) -> eyre::Result<()> {
        self.platform(faults).await;
        self.last().await;
        self.platform(&json!({})).await;
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
        // The other direction: the plain service's host is missing although it runs.
        let hosts: Vec<HostEntry> = (0..PLAN.engines).map(entry).collect();
        self.platform(&json!({"hosts": hosts})).await;
        self.last().await;
        let live: Vec<HostEntry> = (0..PLAN.engines)
            .map(|index| HostEntry {
                host: self.deployment.host(index),
                state: HostState::Live,
            })
            .collect();
        self.platform(&json!({"hosts": live})).await;
        Timer::after(Duration::from_secs(3)).await;
        self.platform(&json!({})).await;
        Ok(())
    }

    /// Two operators race on one engine, which then crashes in the middle of the change.
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
        let one = self.deployment.order(0, &target, change(Role::Prefill));
        let two = self.deployment.order(1, &target, change(Role::Decode));
        smol::future::zip(one, two).await;
        self.last().await;
        Ok(())
    }

    /// Drains an engine, looks for new work after the stated time, and resumes it.
    async fn drain(&mut self) -> eyre::Result<()> {
        let index = self.random.random_range(0..PLAN.engines);
        let entry = self.random.random_range(0..2);
        let target = self.deployment.target(index);
        if self
            .deployment
            .order(entry, &target, OrderKind::Drain)
            .await
        {
            Timer::after(LEAVING_MS).await;
            let before = self.started(index).await;
            Timer::after(Duration::from_secs(1)).await;
            let after = self.started(index).await;
            if let (Some(before), Some(after)) = (before, after) {
                *self.late_work.borrow_mut() += after - before;
            }
        }
        self.resume_target(index).await;
        Ok(())
    }

    async fn started(&self, index: usize) -> Option<u64> {
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
                    eprintln!("chaos: {} ended by itself", process.name());
                    process.restart()?;
                }
            }
        }
        Ok(())
    }

    async fn platform(&self, faults: &Value) {
        let _: Option<Value> = call(
            self.deployment.platform,
            Method::Post,
            "/faults",
            Some(faults),
        )
        .await;
    }

    async fn forward(&self, mode: &Value) {
        let _: Option<Value> =
            call(self.deployment.forwarder, Method::Post, "/mode", Some(mode)).await;
    }
}
