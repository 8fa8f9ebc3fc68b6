//! Withdrawal of targets by operators, and agents that start under a withdrawn name.

use types::OrderKind;
use types::TargetState;

use crate::agents::AgentHost;
use crate::repairs::Repair;
use crate::setup::ENGINES;
use crate::setup::TARGETS;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    /// Withdraws a random target permanently; a new target later takes its slot.
    pub fn order_withdrawal(&mut self) {
        let at = self.random_index(TARGETS);
        let service = if at < ENGINES {
            0..ENGINES
        } else {
            ENGINES..TARGETS
        };
        if service
            .clone()
            .any(|at| self.changing_targets.contains(&at))
        {
            return;
        }
        self.changing_targets.insert(at);
        self.record_fault("withdrawal ordered", &at.to_string());
        self.order_target(at, OrderKind::Withdraw);
        let delay = self.random_ms(7_000, 10_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Withdraw(at)));
    }

    /// Gives the slot of a withdrawn target to a new target.
    pub fn replace_withdrawn_target(&mut self, at: usize) {
        self.changing_targets.remove(&at);
        if !self.is_withdrawn(at) {
            return;
        }
        if self.agents[at].is_up() {
            self.stop_agent(at);
        } else {
            self.start_agent(at);
        }
    }

    pub fn is_withdrawn(&self, at: usize) -> bool {
        let target = self.target_row(at);
        target.is_some_and(|target| target.state == TargetState::Withdrawn)
    }

    /// Renames a withdrawn slot before its agent starts. Half of the time, the first start
    /// keeps the withdrawn name, to check that such a run accepts no work.
    pub fn rename_withdrawn_target(&mut self, at: usize) {
        if !self.is_withdrawn(at) {
            return;
        }
        if !self.agents[at].reuses_withdrawn_name && self.chance(500) {
            self.count("starts under a withdrawn name");
            self.agents[at].reuses_withdrawn_name = true;
            return;
        }
        let now = self.now();
        let old = self.agents[at].host.clone();
        self.hosts.set(now, &old, None);
        self.hosts.set_shown_leaving(&old, false);
        let generation = self.agents[at].generation + 1;
        let kind = if at < ENGINES { "engine" } else { "plain" };
        self.names[at] = format!("{kind}-{at}-{generation}");
        self.count("withdrawn targets followed by new ones");
        let new_host: AgentHost = self.new_agent_host(at, generation);
        self.hosts
            .set(now, &new_host.host, Some(store::HostState::Live));
        self.agents[at] = new_host;
    }

    /// Checks that a run started under a withdrawn name accepts no work.
    pub fn check_withdrawn_name(&mut self, at: usize) {
        self.count_check("withdrawn names");
        if self.agents[at].reuses_withdrawn_name {
            self.record_violation(format!(
                "invariant 7: target {at} accepts work under a name that was withdrawn"
            ));
        }
    }
}
