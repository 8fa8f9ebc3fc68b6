//! Simulated deployment and the event loop that runs it in virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use fakes::ExecutionLog;
use fakes::FakeHosts;
use fakes::FakeObjects;
use fakes::FakeTable;
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
use crate::callers::Operation;
use crate::callers::SentRequest;
use crate::checks::Goodput;
use crate::commits::CommitObserver;
use crate::dispatches::DispatchedAttempt;
use crate::entries::EntryHost;
use crate::mix::WorkloadMix;
use crate::net::Connection;
use crate::net::Frame;
use crate::queue::EventQueue;
use crate::repairs::Repair;
use crate::setup::initial_names;
use crate::setup::model_profile;

/// Interval at which faults are drawn and invariants are checked.
pub const STEP_MS: Duration = Duration::from_millis(100);
/// Number of most recent trace lines that are kept.
const TRACE_LINE_LIMIT: usize = 600;

/// A process of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// Entry process, by index.
    Entry(usize),
    /// Agent process, by index of its target.
    Agent(usize),
}

/// Event delivered to a process.
#[derive(Debug)]
pub enum Input {
    Entry(entry::core::Event),
    Agent(agent::Event),
}

/// Event of the simulation, scheduled for a point in virtual time.
pub enum SimEvent {
    Deliver(Node, Incarnation, Box<Input>),
    Timer(Node, Incarnation),
    Resume(Node, Incarnation),
    Frame(usize, bool, Box<Frame>),
    Connect(usize, Incarnation, u64, String, std::net::SocketAddr),
    EndPartitions,
    SendOrder(usize, Incarnation, u64, Box<types::Order>),
    EngineState(usize, Incarnation),
    Caller(CallerEvent),
    Repair(Repair),
    Step,
}

/// Phase of the run, in chronological order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    WarmUp,
    Planned,
    Faults,
    Recovery,
}

/// Results of completed futures, to be delivered to the process run that awaits them.
pub type Results = Rc<RefCell<VecDeque<(Node, Incarnation, Input)>>>;

pub struct Simulation {
    pub clock: Rc<ManualClock>,
    pub start: Instant,
    pub tasks: Rc<Tasks>,
    pub table: Rc<FakeTable>,
    pub objects: Rc<FakeObjects>,
    pub hosts: FakeHosts,
    pub execution_log: Rc<RefCell<ExecutionLog>>,
    pub commits: Rc<RefCell<CommitObserver>>,
    pub results: Results,
    queue: EventQueue,
    pub random: StdRng,
    pub entries: Vec<EntryHost>,
    pub agents: Vec<AgentHost>,
    pub connections: Vec<Connection>,
    pub connection_of: HashMap<(usize, Incarnation, u64), usize>,
    /// Network partitions by direction (from, to), and when each ends.
    pub partitions: BTreeMap<(Node, Node), Instant>,
    pub datagram_faults_until: Option<Instant>,
    pub operations: Vec<Operation>,
    pub sent_requests: HashMap<RequestId, SentRequest>,
    /// Requests that were refused as not run; none may ever run.
    pub refused_not_run: Vec<RequestId>,
    pub phase: Phase,
    pub is_generating_load: bool,
    /// Time of the last step during which the table was faulty.
    pub last_table_fault: Instant,
    /// Targets with a planned change in progress.
    pub changing_targets: BTreeSet<usize>,
    /// Current target name of each slot; a withdrawn target's slot gets a new name.
    pub names: Vec<String>,
    /// Model profile that the operators intend to be in force.
    pub model: Profile,
    pub is_rolling_out: bool,
    pub mix: WorkloadMix,
    /// Whether the current period has few faults, and when it ends.
    pub fault_period: Option<(bool, Instant)>,
    pub dispatches: HashMap<AttemptId, DispatchedAttempt>,
    pub faults: BTreeMap<&'static str, u64>,
    pub checked: BTreeMap<&'static str, u64>,
    pub counts: BTreeMap<&'static str, u64>,
    pub trace: VecDeque<String>,
    pub violations: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let clock = Rc::new(ManualClock::new());
        let start = clock.now();
        let tasks = Tasks::new(clock.clone());
        let timer = Rc::new(VirtualTimer(tasks.clone()));
        let table = FakeTable::new(clock.clone(), timer.clone(), seed ^ 1);
        let objects = FakeObjects::new(clock.clone(), timer, seed ^ 2);
        let commits = Rc::new(RefCell::new(CommitObserver::default()));
        let observer = commits.clone();
        let stored = objects.clone();
        table.on_commit(Box::new(move |now, rows, transaction| {
            let mut commits = observer.borrow_mut();
            commits.record_commit(now, rows, transaction);
            let violations = crate::objects::unstored_objects(&stored, transaction);
            commits.violations.extend(violations);
        }));
        let mut simulation = Self {
            clock,
            start,
            tasks,
            table,
            objects,
            hosts: FakeHosts::new(Duration::from_secs(1)),
            execution_log: Rc::default(),
            commits,
            results: Rc::default(),
            queue: EventQueue::default(),
            random: StdRng::seed_from_u64(seed),
            entries: Vec::new(),
            agents: Vec::new(),
            connections: Vec::new(),
            connection_of: HashMap::new(),
            partitions: BTreeMap::new(),
            datagram_faults_until: None,
            operations: Vec::new(),
            sent_requests: HashMap::new(),
            refused_not_run: Vec::new(),
            phase: Phase::WarmUp,
            is_generating_load: true,
            last_table_fault: start,
            changing_targets: BTreeSet::new(),
            names: initial_names(),
            model: model_profile(),
            is_rolling_out: false,
            mix: WorkloadMix::new(),
            fault_period: None,
            dispatches: HashMap::new(),
            faults: BTreeMap::new(),
            checked: BTreeMap::new(),
            counts: BTreeMap::new(),
            trace: VecDeque::new(),
            violations: Vec::new(),
        };
        simulation.set_up();
        simulation
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn schedule_at(&mut self, at: Instant, event: SimEvent) {
        self.queue.push(at, event);
    }

    pub fn schedule_after(&mut self, delay: Duration, event: SimEvent) {
        let at = self.now() + delay;
        self.schedule_at(at, event);
    }

    pub fn deliver_after(
        &mut self,
        delay: Duration,
        node: Node,
        incarnation: Incarnation,
        input: Input,
    ) {
        self.schedule_after(delay, SimEvent::Deliver(node, incarnation, Box::new(input)));
    }

    pub fn random_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    pub fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    pub fn random_id(&mut self) -> Incarnation {
        self.random.random_range(1..u64::MAX)
    }

    pub fn log(&mut self, line: &str) {
        // The trace stops at the first violation, so that it shows what led to it.
        if !self.violations.is_empty() {
            return;
        }
        let at = self.now().duration_since(self.start).as_secs_f64();
        if self.trace.len() >= TRACE_LINE_LIMIT {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{at:9.3} {line}"));
    }

    pub fn record_violation(&mut self, text: String) {
        self.log(&format!("VIOLATION {text}"));
        // Later violations are mostly consequences of the first ones.
        if self.violations.len() < 20 {
            self.violations.push(text);
        }
    }

    pub fn count_check(&mut self, name: &'static str) {
        *self.checked.entry(name).or_default() += 1;
    }

    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Runs all phases and returns the measured goodput.
    pub fn run(&mut self, steps: u32) -> Goodput {
        self.schedule_after(STEP_MS, SimEvent::Step);
        self.schedule_next_operation();
        self.run_for(Duration::from_secs(30));
        let before = self.goodput(Duration::from_secs(20));
        self.phase = Phase::Planned;
        self.log("phase: planned changes");
        self.run_for(Duration::from_secs(45));
        self.phase = Phase::Faults;
        self.log("phase: faults");
        self.run_for(STEP_MS * steps);
        self.phase = Phase::Recovery;
        for host in &mut self.agents {
            host.target.limit.set_rate(None);
        }
        self.log("phase: recovery");
        self.end_all_faults();
        self.run_for(Duration::from_secs(35));
        // Covers the operations that started at least 15 s after the last fault.
        let after = self.goodput(Duration::from_secs(20));
        self.is_generating_load = false;
        self.run_for(Duration::from_mins(1));
        Goodput { before, after }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now() + duration;
        loop {
            let event_at = self.queue.next();
            let wake_at = self.tasks.next_wake();
            let next = [event_at, wake_at].into_iter().flatten().min();
            let Some(at) = next.filter(|at| *at <= end) else {
                break;
            };
            self.clock
                .advance(at.saturating_duration_since(self.clock.now()));
            self.table.apply_delayed_calls();
            self.objects.apply_delayed_calls();
            if wake_at.is_some_and(|wake_at| wake_at <= at) {
                self.tasks.run_due();
                self.drain_results();
            }
            if event_at.is_some_and(|event_at| event_at <= at)
                && let Some(event) = self.queue.pop()
            {
                self.handle_event(event);
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

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver(node, incarnation, input) => {
                self.deliver(node, incarnation, *input);
            }
            SimEvent::Timer(node, incarnation) => self.handle_timer(node, incarnation),
            SimEvent::Resume(node, incarnation) => self.resume_process(node, incarnation),
            SimEvent::Frame(conn, to_agent, frame) => self.deliver_frame(conn, to_agent, *frame),
            SimEvent::Connect(entry, incarnation, link, target, address) => {
                self.connect(entry, incarnation, link, &target, address);
            }
            SimEvent::EndPartitions => self.end_expired_partitions(),
            SimEvent::SendOrder(target, incarnation, engine, order) => {
                self.pass_order(target, incarnation, engine, &order);
            }
            SimEvent::EngineState(target, incarnation) => {
                self.report_engine_state(target, incarnation);
            }
            SimEvent::Caller(event) => self.handle_caller_event(event),
            SimEvent::Repair(repair) => self.handle_repair(repair),
            SimEvent::Step => {
                self.schedule_after(STEP_MS, SimEvent::Step);
                self.update_mix();
                self.inject_step();
                self.check_step();
            }
        }
    }

    /// Delivers an input to a process, or queues it while the process is paused.
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
                    self.handle_entry_event(at, event);
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
                    self.handle_agent_event(at, event);
                }
            }
        }
    }
}
