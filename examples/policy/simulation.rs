//! Discrete-event simulation of entries, agents and fake engines.
//!
//! The entries run the routing and planner crates or a baseline policy. Events are processed in the
//! order of their virtual time.

mod calls;
mod engines;
mod event;
mod planning;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use fakes::engine::Engine;
use fakes::engine_job::EngineSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::AttemptId;
use types::LoadedModel;
use types::Role;
use types::ServiceKind;
use types::Target;
use types::TargetName;
use types::TargetState;

use self::event::Event;
use self::event::QueuedEvent;
use crate::admission::Admission;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::policy::DisabledMechanisms;
use crate::policy::Policy;
use crate::policy::RolePolicy;
use crate::policy::Routing;
use crate::scenario::Scenario;
use crate::scenario::SubScenario;
use crate::script::Script;
use crate::trace::Call;

const SERVICE: &str = "models";
/// Interval of the probes of an entry. The answers carry load reports.
const PROBE_INTERVAL_MS: Duration = Duration::from_millis(500);
/// Interval at which role changes are considered.
const PLANNING_INTERVAL_MS: Duration = Duration::from_secs(1);
/// One-way latency between an entry and an engine in the same data centre.
const LATENCY_WITHIN_DATA_CENTRE_MS: Duration = Duration::from_micros(100);

struct Host {
    engine: Engine,
    target: Target,
    sequence: u64,
}

struct Entry {
    routing: Routing,
    admission: Admission,
    has_scheduled_retry: bool,
}

/// State of a call in the simulation.
#[derive(Default)]
struct CallState {
    attempt: Option<(AttemptId, usize)>,
    attempts: u32,
    resends: u32,
    /// Time of the last submission, after the caller may have sent the call again.
    submitted_at: Duration,
    failed_targets: Vec<TargetName>,
    has_ended: bool,
}

/// One run of a policy on a trace.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    sub_scenario: SubScenario,
    calls: &'a [Call],
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<QueuedEvent>>,
    events_pushed: u64,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    role_policy: RolePolicy,
    is_table_available: bool,
    call_states: Vec<CallState>,
    rng: SmallRng,
    pub record: Record,
    is_explaining: bool,
}

impl<'a> Simulation<'a> {
    pub fn new(
        scenario: &'a Scenario,
        sub_scenario: SubScenario,
        calls: &'a [Call],
        policy: Policy,
        disabled: &DisabledMechanisms,
        seed: u64,
    ) -> Self {
        let roles = scenario.initial_roles();
        let hosts = (0..scenario.engines).map(|at| {
            let seed = seed.wrapping_mul(31).wrapping_add(at as u64);
            let engine = Engine::new(EngineSettings::default(), roles[at], scenario.entries, seed);
            Host {
                engine,
                target: target(scenario, at, roles[at]),
                sequence: 0,
            }
        });
        let entries = (0..scenario.entries).map(|at| {
            let seed = seed.wrapping_mul(97).wrapping_add(at as u64);
            Entry {
                routing: Routing::new(scenario, policy, disabled, at, seed),
                admission: Admission::new(disabled),
                has_scheduled_retry: false,
            }
        });
        let mut simulation = Self {
            scenario,
            sub_scenario,
            calls,
            start: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            events_pushed: 0,
            hosts: hosts.collect(),
            entries: entries.collect(),
            role_policy: RolePolicy::new(scenario, policy, disabled),
            is_table_available: true,
            call_states: calls.iter().map(|_| CallState::default()).collect(),
            rng: SmallRng::seed_from_u64(seed ^ 0x51AB),
            record: Record::new(calls),
            is_explaining: false,
        };
        simulation.schedule_first_events();
        simulation
    }

    /// Prints the planner's decisions to the standard error stream when their reason changes.
    pub fn enable_explain(&mut self) {
        self.is_explaining = true;
    }

    fn schedule_first_events(&mut self) {
        for engine in 0..self.hosts.len() {
            let target = self.hosts[engine].target.clone();
            for entry in 0..self.entries.len() {
                let now = self.instant();
                self.entries[entry].routing.set_target(now, &target);
                self.deliver_report(entry, engine);
                let first = PROBE_INTERVAL_MS.mul_f64(self.rng.random());
                self.schedule(first, Event::Probe { entry, engine });
            }
        }
        for (at, call) in self.calls.iter().enumerate() {
            let queued = QueuedEvent(call.at, self.events_pushed, Event::CallArrived(at));
            self.events.push(Reverse(queued));
            self.events_pushed += 1;
        }
        for (at, action) in Script::new(self.sub_scenario).0 {
            self.schedule(at, Event::Script(action));
        }
        self.schedule(PLANNING_INTERVAL_MS, Event::Plan);
    }

    /// Runs until every call has ended.
    pub fn run(&mut self) {
        let mut calls_left = self.calls.len();
        while calls_left > 0 {
            let Some(Reverse(QueuedEvent(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
            calls_left -= std::mem::take(&mut self.record.just_ended);
        }
        let busy_ms: f64 = self.hosts.iter().map(|host| host.engine.busy_ms()).sum();
        self.record.busy_s = busy_ms / 1e3;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrived(call) => self.call_arrived(call),
            Event::EngineStep(engine) => self.step_engine(engine),
            Event::AttemptArrived { attempt, engine } => self.attempt_arrived(attempt, engine),
            Event::CancelArrived { attempt, engine } => {
                self.hosts[engine].engine.cancel(attempt);
            }
            Event::ReportArrived {
                entry,
                engine,
                update,
                report,
                cache,
            } => {
                let now = self.instant();
                let target = &self.hosts[engine].target;
                self.entries[entry]
                    .routing
                    .report_received(now, target, &report, &cache);
                if let Some(update) = update {
                    self.apply_update(entry, engine, update);
                }
            }
            Event::Probe { entry, engine } => {
                self.send_report(entry, engine, None);
                self.schedule(PROBE_INTERVAL_MS, Event::Probe { entry, engine });
            }
            Event::QueueRetry(entry) => {
                self.entries[entry].has_scheduled_retry = false;
                self.route_waiting(entry);
            }
            Event::Deadline(call) => self.end(call, Outcome::Late),
            Event::Resend { call, resend } => self.resend_call(call, resend),
            Event::Plan => self.plan(),
            Event::RoleChange { engine, role } => self.change_role(engine, role),
            Event::Script(action) => self.apply_action(action),
            Event::TargetChanged(engine) => {
                let (now, target) = (self.instant(), self.hosts[engine].target.clone());
                for entry in &mut self.entries {
                    entry.routing.set_target(now, &target);
                }
            }
        }
    }

    fn one_way_latency(&self, entry: usize, engine: usize) -> Duration {
        let data_centre = &self.scenario.data_centres[entry % self.scenario.data_centres.len()];
        if *data_centre == self.hosts[engine].target.data_centre {
            LATENCY_WITHIN_DATA_CENTRE_MS
        } else {
            self.scenario.distance_between_places_ms
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let queued = QueuedEvent(self.now + delay, self.events_pushed, event);
        self.events.push(Reverse(queued));
        self.events_pushed += 1;
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }
}

fn call_index(attempt: AttemptId) -> usize {
    usize::try_from(attempt.request).unwrap_or(usize::MAX)
}

fn engine_index(target: &str) -> usize {
    target.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn target(scenario: &Scenario, at: usize, role: Role) -> Target {
    Target {
        name: format!("engine-{at}"),
        service: SERVICE.into(),
        kind: ServiceKind::Model,
        data_centre: scenario.data_centres[at % scenario.data_centres.len()].clone(),
        host: format!("host-{at}"),
        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1 + at as u64,
        honours_fencing: true,
        state: TargetState::Active,
        role,
        loaded: LoadedModel::default(),
        applied: 0,
    }
}
