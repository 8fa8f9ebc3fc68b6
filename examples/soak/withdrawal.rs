//! Withdrawal of targets by an operator, and hosts that come back under the name of one.

use types::OrderKind;
use types::TargetState;

use crate::agents::AgentHost;
use crate::repair::Repair;
use crate::setup::ENGINES;
use crate::setup::TARGETS;
use crate::world::Happening;
use crate::world::World;

impl World {
    /// An operator takes a target out of the fleet for good; another one gets its slot.
    pub fn withdraw(&mut self) {
        let at = self.pick(TARGETS);
        let service = if at < ENGINES {
            0..ENGINES
        } else {
            ENGINES..TARGETS
        };
        if service.clone().any(|at| self.planned.contains(&at)) {
            return;
        }
        self.planned.insert(at);
        self.did("withdrawal ordered", &at.to_string());
        self.order(at, OrderKind::Withdraw);
        let delay = self.millis(7_000, 10_000);
        self.after(delay, Happening::Repair(Repair::Withdraw(at)));
    }

    /// The slot of a withdrawn target is given to another one.
    pub fn end_withdrawal(&mut self, at: usize) {
        self.planned.remove(&at);
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

    /// Before an agent starts: a withdrawn name is not used again, but some host tries.
    pub fn take_new_name(&mut self, at: usize) {
        if !self.is_withdrawn(at) {
            return;
        }
        if !self.agents[at].reused && self.chance(500) {
            self.count("starts under a withdrawn name");
            self.agents[at].reused = true;
            return;
        }
        let now = self.now();
        let old = self.agents[at].host.clone();
        self.hosts.set(now, &old, None);
        self.hosts.set_named_leaving(&old, false);
        let generation = self.agents[at].generation + 1;
        let kind = if at < ENGINES { "engine" } else { "plain" };
        self.names[at] = format!("{kind}-{at}-{generation}");
        self.count("withdrawn targets followed by new ones");
        let fresh: AgentHost = self.new_agent_host(at, generation);
        self.hosts
            .set(now, &fresh.host, Some(store::HostState::Live));
        self.agents[at] = fresh;
    }

    /// The run was started after its target was withdrawn.
    pub fn check_reused(&mut self, at: usize) {
        self.check("withdrawn names");
        if self.agents[at].reused {
            self.violation(format!(
                "invariant 7: target {at} accepts work under a name that was withdrawn"
            ));
        }
    }
}
