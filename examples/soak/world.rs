//! The simulated deployment and its event queue.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use fakes::FakeHosts;
use fakes::FakeObjects;
use fakes::FakeTable;
use fakes::Ledger;
use fakes::Tasks;
use fakes::VirtualTimer;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use types::AttemptId;
use types::Clock;
use types::Incarnation;
use types::ManualClock;
use types::Profile;
use types::RequestId;

use crate::agents::AgentHost;
use crate::callers::CallerEvent;
use crate::callers::Op;
use crate::callers::Sub;
use crate::checks::Goodput;
use crate::entries::EntryHost;
use crate::facts::Facts;
use crate::mix::Mix;
use crate::net::Conn;
use crate::net::Frame;
use crate::queue::Queue;
use crate::repair::Repair;
use crate::setup::model_profile;
use crate::setup::names;
use crate::wrong::Sent;

/// Length of one step.
pub const STEP_MS: Duration = Duration::from_millis(100);
/// Lines of the trace that are kept.
const TRACE_LINES: usize = 600;

/// A process of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// Entry on the host with this number.
    Entry(usize),
    /// Agent of the target with this number.
    Agent(usize),
}

/// What a process is told.
#[derive(Debug)]
pub enum Input {
    Entry(entry::core::Event),
    Agent(agent::Event),
}

/// What happens at a time.
pub enum Happening {
    Deliver(Node, Incarnation, Box<Input>),
    Wake(Node, Incarnation),
    Resume(Node, Incarnation),
    Frame(usize, bool, Box<Frame>),
    Connect(usize, Incarnation, u64, String, std::net::SocketAddr),
    Flush,
    PassOrder(usize, Incarnation, u64, Box<types::Order>),
    EngineState(usize, Incarnation),
    Caller(CallerEvent),
    Repair(Repair),
    Step,
}

/// Part of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    WarmUp,
    Planned,
    Faults,
    Recovery,
}

/// Results of futures, for the process that waits for them.
pub type Results = Rc<RefCell<VecDeque<(Node, Incarnation, Input)>>>;

pub struct World {
    pub clock: Rc<ManualClock>,
    pub start: Instant,
    pub tasks: Rc<Tasks>,
    pub table: Rc<FakeTable>,
    pub objects: Rc<FakeObjects>,
    pub hosts: FakeHosts,
    pub ledger: Rc<RefCell<Ledger>>,
    pub facts: Rc<RefCell<Facts>>,
    pub results: Results,
    queue: Queue,
    pub random: StdRng,
    pub entries: Vec<EntryHost>,
    pub agents: Vec<AgentHost>,
    pub conns: Vec<Conn>,
    pub conn_of: HashMap<(usize, Incarnation, u64), usize>,
    /// Directions that are cut, and until when.
    pub cuts: BTreeMap<(Node, Node), Instant>,
    pub storm_until: Option<Instant>,
    pub ops: Vec<Op>,
    pub subs: HashMap<RequestId, Sub>,
    pub not_run: Vec<RequestId>,
    pub phase: Phase,
    pub offering: bool,
    /// End of the last fault of the table.
    pub table_disturbed: Instant,
    pub planned: BTreeSet<usize>,
    /// Names of the targets that have the slots now.
    pub names: Vec<String>,
    /// Model profile as operators mean it to be.
    pub model: Profile,
    pub rolling_out: bool,
    pub mix: Mix,
    /// Whether faults are rare now, and until when.
    pub spell: Option<(bool, Instant)>,
    pub sent: HashMap<AttemptId, Sent>,
    pub faults: BTreeMap<&'static str, u64>,
    pub checked: BTreeMap<&'static str, u64>,
    pub counts: BTreeMap<&'static str, u64>,
    pub trace: VecDeque<String>,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let start = clock.now();
        let tasks = Tasks::new(clock.clone());
        let timer = Rc::new(VirtualTimer(tasks.clone()));
        let table = FakeTable::new(clock.clone(), timer.clone(), seed ^ 1);
        let objects = FakeObjects::new(clock.clone(), timer, seed ^ 2);
        let facts = Rc::new(RefCell::new(Facts::default()));
        let observer = facts.clone();
        let stored = objects.clone();
        table.observe(Box::new(move |now, rows, transaction| {
            let mut facts = observer.borrow_mut();
            facts.committed(now, rows, transaction);
            let unstored = crate::stores::unstored(&stored, transaction);
            facts.violations.extend(unstored);
        }));
        let mut world = Self {
            clock,
            start,
            tasks,
            table,
            objects,
            hosts: FakeHosts::new(Duration::from_secs(1)),
            ledger: Rc::default(),
            facts,
            results: Rc::default(),
            queue: Queue::default(),
            random: StdRng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            conns: Vec::new(),
            conn_of: HashMap::new(),
            cuts: BTreeMap::new(),
            storm_until: None,
            ops: Vec::new(),
            subs: HashMap::new(),
            not_run: Vec::new(),
            phase: Phase::WarmUp,
            offering: true,
            table_disturbed: start,
            planned: BTreeSet::new(),
            names: names(),
            model: model_profile(),
            rolling_out: false,
            mix: Mix::new(),
            spell: None,
            sent: HashMap::new(),
            faults: BTreeMap::new(),
            checked: BTreeMap::new(),
            counts: BTreeMap::new(),
            trace: VecDeque::new(),
            violations: Vec::new(),
        };
        world.set_up();
        world
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn at(&mut self, at: Instant, what: Happening) {
        self.queue.push(at, what);
    }

    pub fn after(&mut self, delay: Duration, what: Happening) {
        let at = self.now() + delay;
        self.at(at, what);
    }

    pub fn later(&mut self, delay: Duration, node: Node, incarnation: Incarnation, input: Input) {
        self.after(
            delay,
            Happening::Deliver(node, incarnation, Box::new(input)),
        );
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    pub fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    pub fn fresh(&mut self) -> Incarnation {
        self.random.random_range(1..u64::MAX)
    }

    pub fn note(&mut self, line: &str) {
        // The trace ends with what led to the first violation.
        if !self.violations.is_empty() {
            return;
        }
        let at = self.now().duration_since(self.start).as_secs_f64();
        if self.trace.len() >= TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{at:9.3} {line}"));
    }

    pub fn violation(&mut self, text: String) {
        self.note(&format!("VIOLATION {text}"));
        // The first ones tell the most.
        if self.violations.len() < 20 {
            self.violations.push(text);
        }
    }

    pub fn check(&mut self, name: &'static str) {
        *self.checked.entry(name).or_default() += 1;
    }

    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Runs all phases and returns the measured goodput.
    pub fn run(&mut self, steps: u32) -> Goodput {
        self.after(STEP_MS, Happening::Step);
        self.offer_load();
        self.run_for(Duration::from_secs(30));
        let before = self.goodput(Duration::from_secs(20));
        self.phase = Phase::Planned;
        self.note("phase: planned changes");
        self.run_for(Duration::from_secs(45));
        self.phase = Phase::Faults;
        self.note("phase: faults");
        self.run_for(STEP_MS * steps);
        self.phase = Phase::Recovery;
        self.note("phase: recovery");
        self.heal();
        self.run_for(Duration::from_secs(35));
        // Operations that began from 15 s after the last fault on.
        let after = self.goodput(Duration::from_secs(20));
        self.offering = false;
        self.run_for(Duration::from_mins(1));
        Goodput { before, after }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now() + time;
        loop {
            let event = self.queue.next();
            let wake = self.tasks.next_wake();
            let next = [event, wake].into_iter().flatten().min();
            let Some(at) = next.filter(|at| *at <= end) else {
                break;
            };
            self.clock
                .advance(at.saturating_duration_since(self.clock.now()));
            self.table.run_late();
            self.objects.run_late();
            if wake.is_some_and(|wake| wake <= at) {
                self.tasks.run_due();
                self.drain_results();
            }
            if event.is_some_and(|event| event <= at)
                && let Some(what) = self.queue.pop()
            {
                self.happen(what);
                self.drain_results();
            }
            if self.violations.len() >= 20 {
                return;
            }
        }
        self.clock
            .advance(end.saturating_duration_since(self.clock.now()));
    }

    fn drain_results(&mut self) {
        loop {
            let result = self.results.borrow_mut().pop_front();
            let Some((node, incarnation, input)) = result else {
                return;
            };
            self.deliver(node, incarnation, input);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Deliver(node, incarnation, input) => {
                self.deliver(node, incarnation, *input);
            }
            Happening::Wake(node, incarnation) => self.wake(node, incarnation),
            Happening::Resume(node, incarnation) => self.resume(node, incarnation),
            Happening::Frame(conn, to_agent, frame) => self.frame_arrives(conn, to_agent, *frame),
            Happening::Connect(entry, incarnation, link, target, address) => {
                self.connect(entry, incarnation, link, &target, address);
            }
            Happening::Flush => self.flush_cuts(),
            Happening::PassOrder(target, incarnation, engine, order) => {
                self.pass_order(target, incarnation, engine, &order);
            }
            Happening::EngineState(target, incarnation) => {
                self.report_engine_state(target, incarnation);
            }
            Happening::Caller(event) => self.caller(event),
            Happening::Repair(repair) => self.repair(repair),
            Happening::Step => {
                self.after(STEP_MS, Happening::Step);
                self.swing();
                self.step();
                self.check_step();
            }
        }
    }

    /// Hands an input to a process, or keeps it while the process is paused.
    pub fn deliver(&mut self, node: Node, incarnation: Incarnation, input: Input) {
        let now = self.now();
        match node {
            Node::Entry(at) => {
                let host = &mut self.entries[at];
                if !host.is_run(incarnation) {
                    return;
                }
                if host.is_paused(now) {
                    host.inbox.push_back(input);
                    return;
                }
                if let Input::Entry(event) = input {
                    self.entry_event(at, event);
                }
            }
            Node::Agent(at) => {
                let host = &mut self.agents[at];
                if !host.is_run(incarnation) {
                    return;
                }
                if host.is_paused(now) {
                    host.inbox.push_back(input);
                    return;
                }
                if let Input::Agent(event) = input {
                    self.agent_event(at, event);
                }
            }
        }
    }
}
