//! The event queue that drives the real routing and planner over fake engines.

mod calls;
mod event;
mod hosts;
mod roles;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use fakes::engine::Engine;
use fakes::engine_job::Constants;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use types::AttemptId;
use types::Loaded;
use types::Role;
use types::ServiceKind;
use types::Target;
use types::TargetName;
use types::TargetState;

use self::event::Event;
use self::event::Queued;
use crate::admission::Admission;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::policy::Policy;
use crate::policy::Roleplan;
use crate::policy::Routing;
use crate::policy::Without;
use crate::scenario::Scenario;
use crate::scenario::Sub;
use crate::script::Script;
use crate::trace::Call;

const SERVICE: &str = "models";
/// Interval of probes; their answers carry the load.
const PROBE: Duration = Duration::from_millis(500);
const PLAN: Duration = Duration::from_secs(1);
const WITHIN_PLACE: Duration = Duration::from_micros(100);

struct Host {
    engine: Engine,
    target: Target,
    sequence: u64,
}

struct Entry {
    routing: Routing,
    queue: Admission,
    polling: bool,
}

/// State of one call.
#[derive(Default)]
struct Progressing {
    attempt: Option<(AttemptId, usize)>,
    attempts: u32,
    resends: u32,
    /// When the caller sent the call last.
    accepted: Duration,
    failed: Vec<TargetName>,
    done: bool,
}

/// One run.
pub struct World<'a> {
    scenario: &'a Scenario,
    sub: Sub,
    calls: &'a [Call],
    base: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<Queued>>,
    pushed: u64,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    roleplan: Roleplan,
    table_up: bool,
    progress: Vec<Progressing>,
    rng: SmallRng,
    pub record: Record,
    explain: bool,
}

impl<'a> World<'a> {
    pub fn new(
        scenario: &'a Scenario,
        sub: Sub,
        calls: &'a [Call],
        policy: Policy,
        without: &Without,
        seed: u64,
    ) -> Self {
        let roles = scenario.first_roles();
        let hosts = (0..scenario.engines).map(|at| {
            let seed = seed.wrapping_mul(31).wrapping_add(at as u64);
            let engine = Engine::new(Constants::default(), roles[at], scenario.entries, seed);
            Host {
                engine,
                target: target(scenario, at, roles[at]),
                sequence: 0,
            }
        });
        let entries = (0..scenario.entries).map(|at| {
            let seed = seed.wrapping_mul(97).wrapping_add(at as u64);
            Entry {
                routing: Routing::new(scenario, policy, without, at, seed),
                queue: Admission::new(without),
                polling: false,
            }
        });
        let mut world = Self {
            scenario,
            sub,
            calls,
            base: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pushed: 0,
            hosts: hosts.collect(),
            entries: entries.collect(),
            roleplan: Roleplan::new(scenario, policy, without),
            table_up: true,
            progress: calls.iter().map(|_| Progressing::default()).collect(),
            rng: SmallRng::seed_from_u64(seed ^ 0x51AB),
            record: Record::new(calls),
            explain: false,
        };
        world.begin();
        world
    }

    /// Prints the planner's decisions when their reason changes.
    pub fn explain(&mut self) {
        self.explain = true;
    }

    fn begin(&mut self) {
        for engine in 0..self.hosts.len() {
            let target = self.hosts[engine].target.clone();
            for entry in 0..self.entries.len() {
                let now = self.instant();
                self.entries[entry].routing.target_set(now, &target);
                self.hear_now(entry, engine);
                let first = PROBE.mul_f64(self.rng.random());
                self.after(first, Event::Probe { entry, engine });
            }
        }
        for (at, call) in self.calls.iter().enumerate() {
            let queued = Queued(call.at, self.pushed, Event::Arrive(at));
            self.events.push(Reverse(queued));
            self.pushed += 1;
        }
        for (at, act) in Script::new(self.sub).0 {
            self.after(at, Event::Script(act));
        }
        self.after(PLAN, Event::Plan);
    }

    /// Runs until every call has ended.
    pub fn run(&mut self) {
        let mut left = self.calls.len();
        while left > 0 {
            let Some(Reverse(Queued(at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
            left -= std::mem::take(&mut self.record.just_ended);
        }
        let busy_ms: f64 = self.hosts.iter().map(|host| host.engine.busy_ms()).sum();
        self.record.busy_s = busy_ms / 1e3;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Wake(engine) => self.wake(engine),
            Event::AtEngine { attempt, engine } => self.at_engine(attempt, engine),
            Event::CancelAtEngine { attempt, engine } => {
                self.hosts[engine].engine.cancel(attempt);
            }
            Event::AtEntry {
                entry,
                engine,
                news,
                report,
                cache,
            } => {
                let now = self.instant();
                let target = &self.hosts[engine].target;
                self.entries[entry]
                    .routing
                    .heard(now, target, &report, &cache);
                if let Some(news) = news {
                    self.news(entry, engine, news);
                }
            }
            Event::Probe { entry, engine } => {
                self.tell(entry, engine, None);
                self.after(PROBE, Event::Probe { entry, engine });
            }
            Event::Poll(entry) => {
                self.entries[entry].polling = false;
                self.poll(entry);
            }
            Event::Deadline(call) => self.end(call, Outcome::Late),
            Event::Patience { call, resend } => self.lose_patience(call, resend),
            Event::Plan => self.plan(),
            Event::Order { engine, role } => self.order(engine, role),
            Event::Script(act) => self.act(act),
            Event::Configured(engine) => {
                let (now, target) = (self.instant(), self.hosts[engine].target.clone());
                for entry in &mut self.entries {
                    entry.routing.target_set(now, &target);
                }
            }
        }
    }

    fn distance(&self, entry: usize, engine: usize) -> Duration {
        let place = &self.scenario.places[entry % self.scenario.places.len()];
        if *place == self.hosts[engine].target.place {
            WITHIN_PLACE
        } else {
            self.scenario.between_places
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        let queued = Queued(self.now + delay, self.pushed, event);
        self.events.push(Reverse(queued));
        self.pushed += 1;
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }
}

fn call_of(attempt: AttemptId) -> usize {
    usize::try_from(attempt.request).unwrap_or(usize::MAX)
}

fn index(target: &str) -> usize {
    target.trim_start_matches("engine-").parse().unwrap_or(0)
}

fn target(scenario: &Scenario, at: usize, role: Role) -> Target {
    Target {
        name: format!("engine-{at}"),
        service: SERVICE.into(),
        kind: ServiceKind::Model,
        place: scenario.places[at % scenario.places.len()].clone(),
        host: format!("host-{at}"),
        agent: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1 + at as u64,
        honours_fencing: true,
        state: TargetState::Active,
        role,
        loaded: Loaded::default(),
        applied: 0,
    }
}
