//! Changes that operators and the platform make on purpose. They must cut off nothing.

use control::Command;
use control::CommandRequest;
use rand::RngExt;
use types::OrderKind;
use types::Role;
use types::TargetName;

use crate::repair::Repair;
use crate::setup::ENGINES;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::setup::plain_profile;
use crate::world::Happening;
use crate::world::Phase;
use crate::world::World;

impl World {
    pub fn planned_change(&mut self) {
        match self.random.random_range(0..8) {
            0 => self.graceful_entry(),
            1 => self.graceful_agent(),
            2 => self.drain(OrderKind::Drain),
            3 => self.drain(OrderKind::Replace),
            4 => self.change_profile(),
            5 => self.withdraw(),
            6 => self.roll_out(),
            _ => self.change_role(),
        }
    }

    fn graceful_entry(&mut self) {
        let others = self.entries.iter().filter(|host| host.staying).count();
        if others < 2 {
            return;
        }
        let at = self.pick(ENTRIES);
        self.did("graceful stop of an entry", &at.to_string());
        self.stop_entry(at);
    }

    fn graceful_agent(&mut self) {
        let at = self.pick(TARGETS);
        self.did("graceful stop of an agent", &at.to_string());
        self.stop_agent(at);
    }

    fn drain(&mut self, kind: OrderKind) {
        let at = self.pick(TARGETS);
        let service = if at < ENGINES {
            0..ENGINES
        } else {
            ENGINES..TARGETS
        };
        // One target of a service at a time, as operators do it.
        if service.clone().any(|at| self.planned.contains(&at)) {
            return;
        }
        self.planned.insert(at);
        let name = if kind == OrderKind::Replace {
            "replacement ordered"
        } else {
            "drain ordered"
        };
        self.did(name, &at.to_string());
        let repair = if kind == OrderKind::Replace {
            Repair::Replace(at)
        } else {
            Repair::Resume(at)
        };
        self.order(at, kind);
        let delay = self.millis(7_000, 10_000);
        self.after(delay, Happening::Repair(repair));
    }

    pub fn change_role(&mut self) {
        let at = self.pick(ENGINES);
        if self.phase == Phase::Planned && !self.planned.is_empty() {
            return;
        }
        self.did("role change ordered", &at.to_string());
        let role = self.role();
        self.order(at, OrderKind::ChangeRole { role });
    }

    pub fn role(&mut self) -> Role {
        [Role::Prefill, Role::Decode, Role::Mixed][self.pick(3)]
    }

    pub fn change_profile(&mut self) {
        let mut profile = if self.chance(500) {
            self.model.clone()
        } else {
            plain_profile()
        };
        profile.priority = u8::try_from(self.pick(10)).unwrap_or_default();
        self.did("profile changed", &profile.name);
        self.command(Command::ChangeProfile { profile });
    }

    pub fn order(&mut self, at: usize, order: OrderKind) {
        let target: TargetName = self.agents[at].name.clone();
        self.command(Command::OrderTarget { target, order });
    }

    /// An operator gives a command at some entry.
    pub fn command(&mut self, command: Command) {
        let up: Vec<usize> = (0..ENTRIES)
            .filter(|at| self.entries[*at].is_up() && !self.entries[*at].leaving)
            .collect();
        if up.is_empty() {
            return;
        }
        let entry = up[self.pick(up.len())];
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
        let facts = self.facts.clone();
        self.tasks.spawn(run, async move {
            let result = executor.execute("operator", &request).await;
            if result.is_ok() {
                facts.borrow_mut().commands_done += 1;
            }
        });
    }
}
