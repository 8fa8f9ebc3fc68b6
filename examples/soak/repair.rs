//! End of faults.

use std::time::Duration;

use fakes::CacheFaults;
use fakes::TableFaults;
use types::Incarnation;
use types::OrderKind;

use crate::rollout::Stage;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::world::Happening;
use crate::world::Node;
use crate::world::World;

/// What is put right again.
#[derive(Debug, Clone)]
pub enum Repair {
    Entry(usize),
    Agent(usize),
    Engine(usize),
    Table,
    Objects,
    Platform(Node),
    HostList(usize),
    Replace(usize),
    Resume(usize),
    Plan(usize, Incarnation),
    Withdraw(usize),
    RollOut(Stage),
    Cache(usize),
}

impl World {
    pub fn repair(&mut self, repair: Repair) {
        match repair {
            Repair::Entry(at) if !self.entries[at].is_up() => self.start_entry(at),
            Repair::Agent(at) if !self.agents[at].is_up() => self.start_agent(at),
            Repair::Entry(_) | Repair::Agent(_) => {}
            Repair::Engine(at) => {
                self.note(&format!("target {at} starts again"));
                self.agents[at].target.restart();
            }
            Repair::Table => self.table.set_faults(TableFaults::default()),
            Repair::Objects => self.heal_objects(),
            Repair::Platform(Node::Entry(at)) => self.entries[at].cut.set(false),
            Repair::Platform(Node::Agent(at)) => self.agents[at].cut.set(false),
            Repair::HostList(at) => {
                let host = self.agents[at].host.clone();
                self.hosts.set_missing(&host, false);
                self.hosts.set_named_leaving(&host, false);
                self.agents[at].listed_leaving = None;
            }
            Repair::Replace(at) => {
                self.planned.remove(&at);
                // The platform stops the old host gracefully and gives the slot to a new one.
                self.note(&format!("host of target {at} is handed over"));
                // After a graceful stop meanwhile, a successor may be active on the host already.
                let agent = self.agents[at].agent.as_ref();
                let is_active = agent.is_some_and(|agent| !agent.load().leaving);
                if is_active || self.agents[at].target.running() > 0 {
                    self.stop_agent(at);
                    self.order(at, OrderKind::Resume);
                } else {
                    self.replace_host(at);
                    self.start_agent(at);
                }
            }
            // The first thing that the entry does after its pause.
            Repair::Plan(at, run) => {
                if self.entries[at].is_run(run) {
                    self.plan(at);
                }
            }
            Repair::Withdraw(at) => self.end_withdrawal(at),
            Repair::RollOut(stage) => self.roll_on(stage),
            Repair::Cache(at) => self.agents[at].target.cache.faults = CacheFaults::default(),
            Repair::Resume(at) => {
                self.planned.remove(&at);
                self.order(at, OrderKind::Resume);
            }
        }
    }

    /// Ends all faults; what is left is the system's own work.
    pub fn heal(&mut self) {
        let now = self.now();
        self.table.set_faults(TableFaults::default());
        self.heal_objects();
        self.storm_until = None;
        for until in self.cuts.values_mut() {
            *until = now;
        }
        self.flush_cuts();
        for at in 0..ENTRIES {
            self.entries[at].cut.set(false);
            self.entries[at].paused_until = None;
            self.entries[at].undisturbed = now;
            let run = self.entries[at].incarnation;
            self.after(Duration::ZERO, Happening::Resume(Node::Entry(at), run));
            self.repair(Repair::Entry(at));
        }
        for at in 0..TARGETS {
            self.agents[at].cut.set(false);
            self.agents[at].paused_until = None;
            self.agents[at].undisturbed = now;
            let run = self.agents[at].incarnation;
            self.after(Duration::ZERO, Happening::Resume(Node::Agent(at), run));
            self.repair(Repair::Engine(at));
            self.repair(Repair::Agent(at));
            self.repair(Repair::HostList(at));
            self.repair(Repair::Cache(at));
            self.end_withdrawal(at);
        }
        self.settle_profile();
        // Operators put back what they drained; this is no repair of a fault.
        let leaving: Vec<usize> = {
            let facts = self.facts.borrow();
            (0..TARGETS)
                .filter(|at| facts.leaving.contains_key(&self.agents[*at].name))
                .collect()
        };
        for at in leaving {
            self.order(at, OrderKind::Resume);
        }
    }
}
