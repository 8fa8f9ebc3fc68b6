//! Faults, one after another and together.

use std::time::Duration;

use fakes::TableFaults;
use rand::RngExt;
use store::HostState;
use types::OrderKind;

use crate::repair::Repair;
use crate::setup::ENGINES;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::world::Happening;
use crate::world::Node;
use crate::world::Phase;
use crate::world::World;

/// Steps between two planned changes without faults.
const PLANNED_STEPS: u64 = 25;
/// Chance of a fault in one step of a rough spell: more than one a second.
const ROUGH_PERMILLE: u32 = 130;
/// Chance of a fault in one step of a calm spell. A planner orders nothing while a target has
/// just become unavailable, so without such spells no role would change.
const CALM_PERMILLE: u32 = 8;
/// Chance of a crash of an engine in the middle of a change, in one step.
const CRASH_IN_CHANGE_PERMILLE: u32 = 20;

/// Chance of a kill of an agent whose order has not reached the engine yet, in one step.
const KILL_IN_ORDER_PERMILLE: u32 = 60;

impl World {
    /// Once in each step.
    pub fn step(&mut self) {
        match self.phase {
            Phase::WarmUp | Phase::Recovery => {}
            Phase::Planned => {
                let steps = *self.counts.entry("planned steps").or_default();
                self.count("planned steps");
                let phase_ms = 45_000 - 12_000;
                if steps.is_multiple_of(PLANNED_STEPS) && steps * 100 < phase_ms {
                    self.planned_change();
                }
            }
            Phase::Faults => {
                let is_calm = self.is_calm();
                let chance = if is_calm {
                    CALM_PERMILLE
                } else {
                    ROUGH_PERMILLE
                };
                if self.chance(chance) {
                    self.fault();
                }
                self.crash_in_change();
                self.kill_with_order_under_way();
            }
        }
    }

    /// Rough and calm spells follow each other.
    fn is_calm(&mut self) -> bool {
        let now = self.now();
        if self.spell.is_none_or(|(_, until)| now >= until) {
            let was_calm = self.spell.is_some_and(|(calm, _)| calm);
            let time = if was_calm {
                self.millis(10_000, 25_000)
            } else {
                self.millis(25_000, 55_000)
            };
            let until = now + time;
            self.spell = Some((!was_calm, until));
        }
        self.spell.is_some_and(|(calm, _)| calm)
    }

    pub fn did(&mut self, fault: &'static str, detail: &str) {
        *self.faults.entry(fault).or_default() += 1;
        self.note(&format!("FAULT {fault} {detail}"));
    }

    pub fn pick(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    fn fault(&mut self) {
        match self.random.random_range(0..30) {
            0 => self.fault_kill_entry(),
            1 => self.fault_pause_entry(),
            2 => self.fault_kill_agent(),
            3 => self.fault_pause_agent(),
            4 => self.fault_engine_crash(),
            5 => self.fault_cut(true, false),
            6 => self.fault_cut(false, true),
            7 => self.fault_cut(true, true),
            8 | 9 => self.fault_silent(),
            10 => self.fault_outage(),
            11 | 12 => self.fault_flaky_table(),
            13 => self.fault_platform_cut(),
            14 => self.fault_host_replaced(),
            15 => self.fault_host_list(),
            16 => self.fault_race(),
            17 => self.fault_storm(),
            18 => self.fault_lapsed_lease(),
            19 => self.change_role(),
            20 => self.planners_order(),
            21 | 22 => self.fault_cache_events(),
            23 => self.fault_replaced_in_race(),
            24 => self.roll_out(),
            25 | 26 => self.fault_objects(),
            _ => self.planned_change(),
        }
    }

    fn fault_kill_entry(&mut self) {
        let at = self.pick(ENTRIES);
        let silently = self.chance(300);
        self.did("entry killed", &format!("{at} silently {silently}"));
        self.kill_entry(at, silently);
        let delay = self.millis(500, 3_000);
        self.after(delay, Happening::Repair(Repair::Entry(at)));
    }

    fn fault_kill_agent(&mut self) {
        let at = self.pick(TARGETS);
        let silently = self.chance(300);
        self.did("agent killed", &format!("{at} silently {silently}"));
        self.kill_agent(at, silently);
        let delay = self.millis(500, 3_000);
        self.after(delay, Happening::Repair(Repair::Agent(at)));
    }

    fn fault_pause_entry(&mut self) {
        let (at, pause) = (self.pick(ENTRIES), self.millis(200, 8_000));
        self.did("entry paused", &format!("{at} {pause:?}"));
        self.pause(Node::Entry(at), pause);
    }

    fn fault_pause_agent(&mut self) {
        let (at, pause) = (self.pick(TARGETS), self.millis(200, 5_000));
        self.did("agent paused", &format!("{at} {pause:?}"));
        self.pause(Node::Agent(at), pause);
    }

    fn pause(&mut self, node: Node, pause: Duration) {
        let until = self.now() + pause;
        let incarnation = match node {
            Node::Entry(at) => {
                let host = &mut self.entries[at];
                host.paused_until = host.paused_until.max(Some(until));
                host.undisturbed = host.undisturbed.max(until);
                host.incarnation
            }
            Node::Agent(at) => {
                let host = &mut self.agents[at];
                host.paused_until = host.paused_until.max(Some(until));
                host.undisturbed = host.undisturbed.max(until);
                host.incarnation
            }
        };
        self.at(until, Happening::Resume(node, incarnation));
    }

    fn fault_engine_crash(&mut self) {
        let at = self.pick(TARGETS);
        self.did("target crashed", &at.to_string());
        self.crash(at);
    }

    fn crash(&mut self, at: usize) {
        for (run, event) in self.agents[at].target.crash() {
            let delay = Duration::from_millis(1);
            let input = crate::world::Input::Agent(event);
            self.later(delay, Node::Agent(at), run, input);
        }
        let delay = self.millis(500, 4_000);
        self.after(delay, Happening::Repair(Repair::Engine(at)));
    }

    fn crash_in_change(&mut self) {
        let now = self.now();
        for at in 0..ENGINES {
            let changing = self.agents[at].target.is_changing(now);
            if changing && self.chance(CRASH_IN_CHANGE_PERMILLE) {
                self.did("engine crashed in a change", &at.to_string());
                self.crash(at);
            }
        }
    }

    /// The order still reaches the engine, while the next run of the agent starts.
    fn kill_with_order_under_way(&mut self) {
        for at in 0..ENGINES {
            let host = &self.agents[at];
            let under_way = host.orders_under_way > 0 && host.is_up();
            if under_way && self.chance(KILL_IN_ORDER_PERMILLE) {
                self.did("agent killed with an order under way", &at.to_string());
                self.kill_agent(at, false);
                let delay = self.millis(100, 1_000);
                self.after(delay, Happening::Repair(Repair::Agent(at)));
            }
        }
    }

    fn fault_cut(&mut self, to_agent: bool, to_entry: bool) {
        let (entry, agent) = (self.pick(ENTRIES), self.pick(TARGETS));
        let (entry, agent) = (Node::Entry(entry), Node::Agent(agent));
        let pause = self.millis(300, 6_000);
        let until = self.now() + pause;
        let name = match (to_agent, to_entry) {
            (true, true) => "cut in both directions",
            (true, false) => "cut towards the agent",
            _ => "cut towards the entry",
        };
        self.did(name, &format!("{entry:?} {agent:?} {pause:?}"));
        if to_agent {
            self.cuts.insert((entry, agent), until);
        }
        if to_entry {
            self.cuts.insert((agent, entry), until);
        }
        self.after(pause + Duration::from_micros(1), Happening::Flush);
    }

    fn fault_silent(&mut self) {
        let open: Vec<usize> = (0..self.conns.len())
            .filter(|index| {
                let conn = &self.conns[*index];
                conn.open_entry && conn.open_agent && !conn.silent
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[self.pick(open.len())];
        self.did("connection silent for good", &index.to_string());
        self.conns[index].silent = true;
    }

    fn fault_outage(&mut self) {
        let time = self.millis(500, 8_000);
        self.did("table outage", &format!("{time:?}"));
        self.table.set_faults(TableFaults {
            outage: true,
            ..TableFaults::default()
        });
        self.after(time, Happening::Repair(Repair::Table));
    }

    fn fault_flaky_table(&mut self) {
        let time = self.millis(1_000, 6_000);
        self.did("lost and late table replies", &format!("{time:?}"));
        let slow_ms = self.millis(0, 60);
        self.table.set_faults(TableFaults {
            outage: false,
            lost_permille: 100,
            lost_reply_permille: 200,
            late_permille: 100,
            slow_ms,
        });
        self.after(time, Happening::Repair(Repair::Table));
    }

    fn fault_platform_cut(&mut self) {
        let entry = self.chance(500);
        let node = if entry {
            Node::Entry(self.pick(ENTRIES))
        } else {
            Node::Agent(self.pick(TARGETS))
        };
        let time = self.millis(500, 8_000);
        self.did(
            "process cut off the platform",
            &format!("{node:?} {time:?}"),
        );
        let until = self.now() + time;
        match node {
            Node::Entry(at) => {
                self.entries[at].cut.set(true);
                self.entries[at].undisturbed = self.entries[at].undisturbed.max(until);
            }
            Node::Agent(at) => {
                self.agents[at].cut.set(true);
                self.agents[at].undisturbed = self.agents[at].undisturbed.max(until);
            }
        }
        self.after(time, Happening::Repair(Repair::Platform(node)));
    }

    fn fault_host_replaced(&mut self) {
        let at = self.pick(TARGETS);
        self.did("host replaced under the same address", &at.to_string());
        self.replace_host(at);
        let delay = self.millis(0, 2_000);
        self.after(delay, Happening::Repair(Repair::Agent(at)));
    }

    /// Another host takes the address; whatever the old one did is lost.
    pub fn replace_host(&mut self, at: usize) {
        let now = self.now();
        self.kill_agent(at, true);
        let old = self.agents[at].host.clone();
        let generation = self.agents[at].generation + 1;
        self.hosts.set(now, &old, None);
        self.hosts.set_named_leaving(&old, false);
        let fresh = self.new_agent_host(at, generation);
        self.hosts.set(now, &fresh.host, Some(HostState::Live));
        self.agents[at] = fresh;
    }

    fn fault_host_list(&mut self) {
        let at = self.pick(TARGETS);
        let host = self.agents[at].host.clone();
        if self.chance(500) {
            self.did("host list calls a host leaving", &at.to_string());
            // A host that is left out is not seen as leaving.
            self.hosts.set_missing(&host, false);
            self.hosts.set_named_leaving(&host, true);
            let now = self.now();
            self.agents[at].listed_leaving.get_or_insert(now);
        } else {
            self.did("host list leaves a host out", &at.to_string());
            self.hosts.set_missing(&host, true);
            self.agents[at].listed_leaving = None;
        }
        let delay = self.millis(2_000, 10_000);
        self.after(delay, Happening::Repair(Repair::HostList(at)));
    }

    fn fault_storm(&mut self) {
        let time = self.millis(1_000, 5_000);
        self.did("datagrams lost, repeated and late", &format!("{time:?}"));
        self.storm_until = Some(self.now() + time);
    }

    /// The pause is longer than a lease, so another entry takes over.
    fn fault_lapsed_lease(&mut self) {
        let holder = self.entries.iter().position(|host| host.held.is_some());
        let at = holder.unwrap_or(0);
        let pause = self.millis(8_000, 14_000);
        self.did("entry paused past its lease", &format!("{at} {pause:?}"));
        self.pause(Node::Entry(at), pause);
        let plan = Repair::Plan(at, self.entries[at].incarnation);
        self.after(pause, Happening::Repair(plan));
    }

    pub fn plan(&mut self, at: usize) {
        let target = self.agents[self.random.random_range(0..ENGINES)]
            .name
            .clone();
        let role = self.role();
        self.plan_as(at, &target, OrderKind::ChangeRole { role });
    }

    fn planners_order(&mut self) {
        let at = self.pick(ENTRIES);
        let host = &self.entries[at];
        if host.held.is_some() && host.is_up() && !host.is_paused(self.now()) {
            self.did("order by a present or past planner", &at.to_string());
            self.plan(at);
        }
    }
}
