//! Planned changes by operators and the platform, which must not abort any request.

use control::Command;
use control::CommandRequest;
use rand::RngExt;
use types::OrderKind;
use types::Role;
use types::TargetName;

use crate::repairs::Repair;
use crate::setup::ENGINES;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::setup::plain_profile;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

impl Simulation {
    pub fn make_planned_change(&mut self) {
        match self.random.random_range(0..8) {
            0 => self.stop_random_entry(),
            1 => self.stop_random_agent(),
            2 => self.drain_target(OrderKind::Drain),
            3 => self.drain_target(OrderKind::Replace),
            4 => self.change_profile(),
            5 => self.order_withdrawal(),
            6 => self.start_rollout(),
            _ => self.change_role(),
        }
    }

    fn stop_random_entry(&mut self) {
        let others = self
            .entries
            .iter()
            .filter(|host| host.is_in_rotation)
            .count();
        if others < 2 {
            return;
        }
        let at = self.random_index(ENTRIES);
        self.record_fault("graceful stop of an entry", &at.to_string());
        self.stop_entry(at);
    }

    fn stop_random_agent(&mut self) {
        let at = self.random_index(TARGETS);
        self.record_fault("graceful stop of an agent", &at.to_string());
        self.stop_agent(at);
    }

    fn drain_target(&mut self, kind: OrderKind) {
        let at = self.random_index(TARGETS);
        let service = if at < ENGINES {
            0..ENGINES
        } else {
            ENGINES..TARGETS
        };
        // Operators change only one target of a service at a time.
        if service
            .clone()
            .any(|at| self.changing_targets.contains(&at))
        {
            return;
        }
        self.changing_targets.insert(at);
        let name = if kind == OrderKind::Replace {
            "replacement ordered"
        } else {
            "drain ordered"
        };
        self.record_fault(name, &at.to_string());
        let repair = if kind == OrderKind::Replace {
            Repair::Replace(at)
        } else {
            Repair::Resume(at)
        };
        self.order_target(at, kind);
        let delay = self.random_ms(7_000, 10_000);
        self.schedule_after(delay, SimEvent::Repair(repair));
    }

    pub fn change_role(&mut self) {
        let at = self.random_index(ENGINES);
        if self.phase == Phase::Planned && !self.changing_targets.is_empty() {
            return;
        }
        self.record_fault("role change ordered", &at.to_string());
        let role = self.random_role();
        self.order_target(at, OrderKind::ChangeRole { role });
    }

    pub fn random_role(&mut self) -> Role {
        [Role::Prefill, Role::Decode, Role::Mixed][self.random_index(3)]
    }

    pub fn change_profile(&mut self) {
        let mut profile = if self.chance(500) {
            self.model.clone()
        } else {
            plain_profile()
        };
        profile.priority = u8::try_from(self.random_index(10)).unwrap_or_default();
        self.record_fault("profile changed", &profile.name);
        self.execute_command(Command::ChangeProfile { profile });
    }

    pub fn order_target(&mut self, at: usize, order: OrderKind) {
        let target: TargetName = self.agents[at].name.clone();
        self.execute_command(Command::OrderTarget { target, order });
    }

    /// Executes an operator command at a random entry.
    pub fn execute_command(&mut self, command: Command) {
        let up: Vec<usize> = (0..ENTRIES)
            .filter(|at| self.entries[*at].is_up() && !self.entries[*at].is_stopping)
            .collect();
        if up.is_empty() {
            return;
        }
        let entry = up[self.random_index(up.len())];
        let run = self.entries[entry].incarnation;
        let Some(executor) = self.entries[entry].executor.clone() else {
            return;
        };
        let request = CommandRequest {
            command,
            reason: "soak".to_owned(),
            if_revision: None,
            dry_run: false,
        };
        self.count("commands");
        let commits = self.commits.clone();
        self.tasks.spawn(run, async move {
            let result = executor.execute("operator", &request).await;
            if result.is_ok() {
                commits.borrow_mut().succeeded_commands += 1;
            }
        });
    }
}
