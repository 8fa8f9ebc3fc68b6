//! Ends of faults, and the delayed follow-ups of operator actions.

use std::time::Duration;

use fakes::CacheFaults;
use fakes::TableFaults;
use types::Incarnation;
use types::OrderKind;

use crate::rollout::Stage;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::simulation::Node;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Fault to end, or operator action to continue.
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
    OrderUnderLease(usize, Incarnation),
    Withdraw(usize),
    Rollout(Stage),
    Cache(usize),
}

impl Simulation {
    pub fn handle_repair(&mut self, repair: Repair) {
        match repair {
            Repair::Entry(at) if !self.entries[at].is_up() => self.start_entry(at),
            Repair::Agent(at) if !self.agents[at].is_up() => self.start_agent(at),
            Repair::Entry(_) | Repair::Agent(_) => {}
            Repair::Engine(at) => {
                self.log(&format!("target {at} starts again"));
                self.agents[at].target.restart();
            }
            Repair::Table => self.table.set_faults(TableFaults::default()),
            Repair::Objects => self.clear_object_faults(),
            Repair::Platform(Node::Entry(at)) => self.entries[at].is_disconnected.set(false),
            Repair::Platform(Node::Agent(at)) => self.agents[at].is_disconnected.set(false),
            Repair::HostList(at) => {
                let host = self.agents[at].host.clone();
                self.hosts.set_omitted(&host, false);
                self.hosts.set_shown_leaving(&host, false);
                self.agents[at].listed_leaving_since = None;
            }
            Repair::Replace(at) => {
                self.changing_targets.remove(&at);
                // The platform stops the old host gracefully and replaces it with a new one.
                self.log(&format!("host of target {at} is replaced"));
                // If the agent has been restarted since, its new run may already be active.
                let agent = self.agents[at].agent.as_ref();
                let is_active = agent.is_some_and(|agent| !agent.load().leaving);
                if is_active || self.agents[at].target.run_count() > 0 {
                    self.stop_agent(at);
                    self.order_target(at, OrderKind::Resume);
                } else {
                    self.replace_host(at);
                    self.start_agent(at);
                }
            }
            // This is the entry's first action after its pause.
            Repair::OrderUnderLease(at, run) => {
                if self.entries[at].is_run(run) {
                    self.order_role_change_under_lease(at);
                }
            }
            Repair::Withdraw(at) => self.replace_withdrawn_target(at),
            Repair::Rollout(stage) => self.continue_rollout(stage),
            Repair::Cache(at) => self.agents[at].target.cache.faults = CacheFaults::default(),
            Repair::Resume(at) => {
                self.changing_targets.remove(&at);
                self.order_target(at, OrderKind::Resume);
            }
        }
    }

    /// Ends all faults, so that the system can recover.
    pub fn end_all_faults(&mut self) {
        let now = self.now();
        self.table.set_faults(TableFaults::default());
        self.clear_object_faults();
        self.datagram_faults_until = None;
        for until in self.partitions.values_mut() {
            *until = now;
        }
        self.end_expired_partitions();
        for at in 0..ENTRIES {
            self.entries[at].is_disconnected.set(false);
            self.entries[at].paused_until = None;
            self.entries[at].stable_since = now;
            let run = self.entries[at].incarnation;
            self.schedule_after(Duration::ZERO, SimEvent::Resume(Node::Entry(at), run));
            self.handle_repair(Repair::Entry(at));
        }
        for at in 0..TARGETS {
            self.agents[at].is_disconnected.set(false);
            self.agents[at].paused_until = None;
            self.agents[at].stable_since = now;
            let run = self.agents[at].incarnation;
            self.schedule_after(Duration::ZERO, SimEvent::Resume(Node::Agent(at), run));
            self.handle_repair(Repair::Engine(at));
            self.handle_repair(Repair::Agent(at));
            self.handle_repair(Repair::HostList(at));
            self.handle_repair(Repair::Cache(at));
            self.replace_withdrawn_target(at);
        }
        self.set_profile_to_majority();
        // Targets out of service by order are not faulty; operators resume them.
        let leaving: Vec<usize> = {
            let commits = self.commits.borrow();
            (0..TARGETS)
                .filter(|at| commits.leaving.contains_key(&self.agents[*at].name))
                .collect()
        };
        for at in leaving {
            self.order_target(at, OrderKind::Resume);
        }
    }
}
