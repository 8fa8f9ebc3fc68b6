//! Random fault injection.

use std::time::Duration;

use fakes::TableFaults;
use limits::Rate;
use rand::RngExt;
use store::HostState;
use types::OrderKind;

use crate::repairs::Repair;
use crate::setup::ENGINES;
use crate::setup::ENTRIES;
use crate::setup::TARGETS;
use crate::simulation::Node;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Steps between planned changes in the phase without faults.
const PLANNED_CHANGE_STEPS: u64 = 25;
/// Steps after which the next target names a limit.
const LIMIT_STEPS: u64 = 300;
/// Requests a second that a target takes at first.
const LIMIT_PER_S: f64 = 2.0;
/// Probability of a fault per step in a period with many faults: more than one per second.
const HIGH_FAULT_PERMILLE: u32 = 130;
/// Probability of a fault per step in a period with few faults. The planner orders nothing just
/// after a target has become unavailable, so without such periods no role would change.
const LOW_FAULT_PERMILLE: u32 = 8;
/// Probability per step that an engine crashes while it executes a change.
const CRASH_IN_CHANGE_PERMILLE: u32 = 20;
/// Probability per step that an agent is killed while its order is in transit to the engine.
const KILL_WITH_ORDER_PERMILLE: u32 = 60;

impl Simulation {
    /// Injects the planned changes or faults of one step.
    pub fn inject_step(&mut self) {
        match self.phase {
            Phase::WarmUp | Phase::Recovery => {}
            Phase::Planned => {
                let steps = *self.counts.entry("planned steps").or_default();
                self.count("planned steps");
                let phase_ms = 45_000 - 12_000;
                if steps.is_multiple_of(PLANNED_CHANGE_STEPS) && steps * 100 < phase_ms {
                    self.make_planned_change();
                }
            }
            Phase::Faults => {
                let has_few_faults = self.is_low_fault_period();
                let chance = if has_few_faults {
                    LOW_FAULT_PERMILLE
                } else {
                    HIGH_FAULT_PERMILLE
                };
                if self.chance(chance) {
                    self.inject_fault();
                }
                self.change_limits();
                self.crash_engines_in_change();
                self.kill_agents_with_order_in_flight();
            }
        }
    }

    /// Makes targets name limits, one after the other, without a random number, so that seeds give
    /// the same other faults as before.
    fn change_limits(&mut self) {
        let step = *self.counts.entry("limit steps").or_default();
        self.count("limit steps");
        let at = usize::try_from(step / LIMIT_STEPS).unwrap_or(0) % TARGETS;
        let rate = match step % LIMIT_STEPS {
            0 => Rate::per_second(LIMIT_PER_S),
            // Falls while requests wait.
            step if step == LIMIT_STEPS / 3 => Rate::per_second(LIMIT_PER_S / 4.0),
            step if step == LIMIT_STEPS * 2 / 3 => None,
            _ => return,
        };
        self.record_fault("limit named or ended", &format!("{at} {rate:?}"));
        self.agents[at].target.limit.set_rate(rate);
    }

    /// Alternates between periods with many and with few faults; returns whether few are due.
    fn is_low_fault_period(&mut self) -> bool {
        let now = self.now();
        if self.fault_period.is_none_or(|(_, until)| now >= until) {
            let had_few_faults = self.fault_period.is_some_and(|(few_faults, _)| few_faults);
            let duration = if had_few_faults {
                self.random_ms(10_000, 25_000)
            } else {
                self.random_ms(25_000, 55_000)
            };
            let until = now + duration;
            self.fault_period = Some((!had_few_faults, until));
        }
        self.fault_period.is_some_and(|(few_faults, _)| few_faults)
    }

    pub fn record_fault(&mut self, fault: &'static str, detail: &str) {
        *self.faults.entry(fault).or_default() += 1;
        self.log(&format!("FAULT {fault} {detail}"));
    }

    pub fn random_index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    fn inject_fault(&mut self) {
        match self.random.random_range(0..30) {
            0 => self.fault_kill_entry(),
            1 => self.fault_pause_entry(),
            2 => self.fault_kill_agent(),
            3 => self.fault_pause_agent(),
            4 => self.fault_engine_crash(),
            5 => self.fault_partition(true, false),
            6 => self.fault_partition(false, true),
            7 => self.fault_partition(true, true),
            8 | 9 => self.fault_stalled_connection(),
            10 => self.fault_table_outage(),
            11 | 12 => self.fault_table_replies(),
            13 => self.fault_platform_partition(),
            14 => self.fault_host_replaced(),
            15 => self.fault_host_list(),
            16 => self.fault_conflicting_commands(),
            17 => self.fault_datagrams(),
            18 => self.fault_pause_past_lease(),
            19 => self.change_role(),
            20 => self.fault_order_under_lease(),
            21 | 22 => self.fault_cache_events(),
            23 => self.fault_host_replaced_during_conflict(),
            24 => self.start_rollout(),
            25 | 26 => self.fault_objects(),
            _ => self.make_planned_change(),
        }
    }

    fn fault_kill_entry(&mut self) {
        let at = self.random_index(ENTRIES);
        let silently = self.chance(300);
        self.record_fault("entry killed", &format!("{at} silently {silently}"));
        self.kill_entry(at, silently);
        let delay = self.random_ms(500, 3_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Entry(at)));
    }

    fn fault_kill_agent(&mut self) {
        let at = self.random_index(TARGETS);
        let silently = self.chance(300);
        self.record_fault("agent killed", &format!("{at} silently {silently}"));
        self.kill_agent(at, silently);
        let delay = self.random_ms(500, 3_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Agent(at)));
    }

    fn fault_pause_entry(&mut self) {
        let (at, pause) = (self.random_index(ENTRIES), self.random_ms(200, 8_000));
        self.record_fault("entry paused", &format!("{at} {pause:?}"));
        self.pause(Node::Entry(at), pause);
    }

    fn fault_pause_agent(&mut self) {
        let (at, pause) = (self.random_index(TARGETS), self.random_ms(200, 5_000));
        self.record_fault("agent paused", &format!("{at} {pause:?}"));
        self.pause(Node::Agent(at), pause);
    }

    fn pause(&mut self, node: Node, pause: Duration) {
        let until = self.now() + pause;
        let incarnation = match node {
            Node::Entry(at) => {
                let host = &mut self.entries[at];
                host.paused_until = host.paused_until.max(Some(until));
                host.stable_since = host.stable_since.max(until);
                host.incarnation
            }
            Node::Agent(at) => {
                let host = &mut self.agents[at];
                host.paused_until = host.paused_until.max(Some(until));
                host.stable_since = host.stable_since.max(until);
                host.incarnation
            }
        };
        self.schedule_at(until, SimEvent::Resume(node, incarnation));
    }

    fn fault_engine_crash(&mut self) {
        let at = self.random_index(TARGETS);
        self.record_fault("target crashed", &at.to_string());
        self.crash_target(at);
    }

    fn crash_target(&mut self, at: usize) {
        for (run, event) in self.agents[at].target.crash() {
            let delay = Duration::from_millis(1);
            let input = crate::simulation::Input::Agent(event);
            self.deliver_after(delay, Node::Agent(at), run, input);
        }
        let delay = self.random_ms(500, 4_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Engine(at)));
    }

    fn crash_engines_in_change(&mut self) {
        let now = self.now();
        for at in 0..ENGINES {
            let is_changing = self.agents[at].target.is_changing(now);
            if is_changing && self.chance(CRASH_IN_CHANGE_PERMILLE) {
                self.record_fault("engine crashed in a change", &at.to_string());
                self.crash_target(at);
            }
        }
    }

    /// Kills an agent with an order in transit; the order reaches the engine during the next run.
    fn kill_agents_with_order_in_flight(&mut self) {
        for at in 0..ENGINES {
            let host = &self.agents[at];
            let has_order = host.orders_in_flight > 0 && host.is_up();
            if has_order && self.chance(KILL_WITH_ORDER_PERMILLE) {
                self.record_fault("agent killed with an order under way", &at.to_string());
                self.kill_agent(at, false);
                let delay = self.random_ms(100, 1_000);
                self.schedule_after(delay, SimEvent::Repair(Repair::Agent(at)));
            }
        }
    }

    fn fault_partition(&mut self, to_agent: bool, to_entry: bool) {
        let (entry, agent) = (self.random_index(ENTRIES), self.random_index(TARGETS));
        let (entry, agent) = (Node::Entry(entry), Node::Agent(agent));
        let pause = self.random_ms(300, 6_000);
        let until = self.now() + pause;
        let name = match (to_agent, to_entry) {
            (true, true) => "cut in both directions",
            (true, false) => "cut towards the agent",
            _ => "cut towards the entry",
        };
        self.record_fault(name, &format!("{entry:?} {agent:?} {pause:?}"));
        if to_agent {
            self.partitions.insert((entry, agent), until);
        }
        if to_entry {
            self.partitions.insert((agent, entry), until);
        }
        self.schedule_after(pause + Duration::from_micros(1), SimEvent::EndPartitions);
    }

    fn fault_stalled_connection(&mut self) {
        let open: Vec<usize> = (0..self.connections.len())
            .filter(|index| {
                let conn = &self.connections[*index];
                conn.is_open_at_entry && conn.is_open_at_agent && !conn.is_stalled
            })
            .collect();
        if open.is_empty() {
            return;
        }
        let index = open[self.random_index(open.len())];
        self.record_fault("connection silent for good", &index.to_string());
        self.connections[index].is_stalled = true;
    }

    fn fault_table_outage(&mut self) {
        let duration = self.random_ms(500, 8_000);
        self.record_fault("table outage", &format!("{duration:?}"));
        self.table.set_faults(TableFaults {
            outage: true,
            ..TableFaults::default()
        });
        self.schedule_after(duration, SimEvent::Repair(Repair::Table));
    }

    fn fault_table_replies(&mut self) {
        let duration = self.random_ms(1_000, 6_000);
        self.record_fault("lost and late table replies", &format!("{duration:?}"));
        let slow_ms = self.random_ms(0, 60);
        self.table.set_faults(TableFaults {
            outage: false,
            lost_call_permille: 100,
            lost_reply_permille: 200,
            delayed_call_permille: 100,
            slow_ms,
        });
        self.schedule_after(duration, SimEvent::Repair(Repair::Table));
    }

    fn fault_platform_partition(&mut self) {
        let is_entry = self.chance(500);
        let node = if is_entry {
            Node::Entry(self.random_index(ENTRIES))
        } else {
            Node::Agent(self.random_index(TARGETS))
        };
        let duration = self.random_ms(500, 8_000);
        self.record_fault(
            "process cut off the platform",
            &format!("{node:?} {duration:?}"),
        );
        let until = self.now() + duration;
        match node {
            Node::Entry(at) => {
                self.entries[at].is_disconnected.set(true);
                self.entries[at].stable_since = self.entries[at].stable_since.max(until);
            }
            Node::Agent(at) => {
                self.agents[at].is_disconnected.set(true);
                self.agents[at].stable_since = self.agents[at].stable_since.max(until);
            }
        }
        self.schedule_after(duration, SimEvent::Repair(Repair::Platform(node)));
    }

    fn fault_host_replaced(&mut self) {
        let at = self.random_index(TARGETS);
        self.record_fault("host replaced under the same address", &at.to_string());
        self.replace_host(at);
        let delay = self.random_ms(0, 2_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Agent(at)));
    }

    /// Puts a new host under the same address; all state of the old host is lost.
    pub fn replace_host(&mut self, at: usize) {
        let now = self.now();
        self.kill_agent(at, true);
        let old = self.agents[at].host.clone();
        let generation = self.agents[at].generation + 1;
        self.hosts.set(now, &old, None);
        self.hosts.set_shown_leaving(&old, false);
        let new_host = self.new_agent_host(at, generation);
        self.hosts.set(now, &new_host.host, Some(HostState::Live));
        self.agents[at] = new_host;
    }

    fn fault_host_list(&mut self) {
        let at = self.random_index(TARGETS);
        let host = self.agents[at].host.clone();
        if self.chance(500) {
            self.record_fault("host list calls a host leaving", &at.to_string());
            // A host missing from the list is not reported as leaving.
            self.hosts.set_omitted(&host, false);
            self.hosts.set_shown_leaving(&host, true);
            let now = self.now();
            self.agents[at].listed_leaving_since.get_or_insert(now);
        } else {
            self.record_fault("host list leaves a host out", &at.to_string());
            self.hosts.set_omitted(&host, true);
            self.agents[at].listed_leaving_since = None;
        }
        let delay = self.random_ms(2_000, 10_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::HostList(at)));
    }

    fn fault_datagrams(&mut self) {
        let duration = self.random_ms(1_000, 5_000);
        self.record_fault(
            "datagrams lost, repeated and late",
            &format!("{duration:?}"),
        );
        self.datagram_faults_until = Some(self.now() + duration);
    }

    /// Pauses the lease holder for longer than the lease, so that another entry acquires it.
    fn fault_pause_past_lease(&mut self) {
        let holder = self.entries.iter().position(|host| host.held.is_some());
        let at = holder.unwrap_or(0);
        let pause = self.random_ms(8_000, 14_000);
        self.record_fault("entry paused past its lease", &format!("{at} {pause:?}"));
        self.pause(Node::Entry(at), pause);
        let repair = Repair::OrderUnderLease(at, self.entries[at].incarnation);
        self.schedule_after(pause, SimEvent::Repair(repair));
    }

    pub fn order_role_change_under_lease(&mut self, at: usize) {
        let target = self.agents[self.random.random_range(0..ENGINES)]
            .name
            .clone();
        let role = self.random_role();
        self.order_under_lease(at, &target, OrderKind::ChangeRole { role });
    }

    fn fault_order_under_lease(&mut self) {
        let at = self.random_index(ENTRIES);
        let host = &self.entries[at];
        if host.held.is_some() && host.is_up() && !host.is_paused(self.now()) {
            self.record_fault("order by a present or past planner", &at.to_string());
            self.order_role_change_under_lease(at);
        }
    }
}
