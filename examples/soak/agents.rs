//! Agent processes: start, stop, and execution of the actions that `Agent` returns.

use std::cell::Cell;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::Event;
use agent::ExitReason;
use agent::Limits;
use agent::OrderOutcome;
use fakes::FakeTarget;
use store::RetryingTable;
use store::Table;
use types::AttemptId;
use types::Incarnation;
use types::Order;
use wire::ToEntry;

use crate::net::Frame;
use crate::repairs::Repair;
use crate::setup::MODEL_SERVICE;
use crate::setup::PLAIN_SERVICE;
use crate::setup::agent_address;
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Host of a target, with the target and its current agent process.
pub struct AgentHost {
    pub name: String,
    pub host: String,
    /// Incremented when another host takes over the address.
    pub generation: u64,
    pub incarnation: Incarnation,
    pub agent: Option<Agent>,
    pub paused_until: Option<Instant>,
    pub inbox: VecDeque<Input>,
    pub is_stopping: bool,
    /// The process cannot reach the platform.
    pub is_disconnected: Rc<Cell<bool>>,
    pub table: Option<Rc<RetryingTable>>,
    pub target: FakeTarget,
    /// Orders in transit to the engine, from all runs of the agent.
    pub orders_in_flight: u32,
    /// Attempts accepted in this run.
    pub accepted: HashSet<AttemptId>,
    /// End of the last fault that kept the process from reading its orders.
    pub stable_since: Instant,
    /// When the host list began to report the host as leaving.
    pub listed_leaving_since: Option<Instant>,
    /// The current run started under the name of a withdrawn target.
    pub reuses_withdrawn_name: bool,
}

impl AgentHost {
    pub fn new(name: String, host: String, generation: u64, target: FakeTarget) -> Self {
        Self {
            name,
            host,
            generation,
            incarnation: 0,
            agent: None,
            paused_until: None,
            inbox: VecDeque::new(),
            is_stopping: false,
            is_disconnected: Rc::default(),
            table: None,
            target,
            orders_in_flight: 0,
            accepted: HashSet::new(),
            stable_since: Instant::now(),
            listed_leaving_since: None,
            reuses_withdrawn_name: false,
        }
    }

    pub fn is_up(&self) -> bool {
        self.agent.is_some()
    }

    pub fn is_run(&self, incarnation: Incarnation) -> bool {
        self.is_up() && self.incarnation == incarnation
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }
}

impl Simulation {
    pub fn start_agent(&mut self, at: usize) {
        self.rename_withdrawn_target(at);
        let incarnation = self.random_id();
        let is_disconnected: Rc<Cell<bool>> = Rc::default();
        let table = self.retrying_table(is_disconnected.clone());
        let now = self.now();
        let host = &mut self.agents[at];
        let mut limits = Limits::new(host.name.clone(), incarnation, agent_address(at));
        limits.kind = host.target.kind;
        limits.service = match limits.kind {
            types::ServiceKind::Model => MODEL_SERVICE.to_owned(),
            types::ServiceKind::Plain => PLAIN_SERVICE.to_owned(),
        };
        limits.host.clone_from(&host.host);
        "bolson-centro".clone_into(&mut limits.data_centre);
        limits.honours_fencing = host.target.honours_fencing;
        host.incarnation = incarnation;
        host.agent = Some(Agent::new(limits));
        host.paused_until = None;
        host.inbox.clear();
        host.is_stopping = false;
        host.is_disconnected = is_disconnected;
        host.table = Some(table);
        host.accepted.clear();
        host.stable_since = now;
        self.log(&format!("agent {at} starts as {incarnation:x}"));
        self.schedule_after(
            Duration::ZERO,
            SimEvent::Timer(Node::Agent(at), incarnation),
        );
    }

    /// Ends the process at once. With `silently`, its connections stay open without traffic.
    pub fn kill_agent(&mut self, at: usize, silently: bool) {
        if !self.agents[at].is_up() {
            return;
        }
        self.end_agent(at, silently);
    }

    fn end_agent(&mut self, at: usize, silently: bool) {
        let run = self.agents[at].incarnation;
        self.end_connections(Node::Agent(at), run, silently);
        self.tasks.cancel(run);
        let host = &mut self.agents[at];
        host.agent = None;
        host.target.end_runs_of(run);
    }

    /// Starts a graceful stop, which must not abort any run.
    pub fn stop_agent(&mut self, at: usize) {
        let host = &mut self.agents[at];
        if !host.is_up() || host.is_stopping {
            return;
        }
        host.is_stopping = true;
        let run = host.incarnation;
        let event = Input::Agent(Event::StopRequested);
        self.deliver_after(Duration::from_millis(1), Node::Agent(at), run, event);
    }

    pub fn handle_agent_event(&mut self, at: usize, event: Event) {
        let now = self.now();
        let host = &mut self.agents[at];
        let run = host.incarnation;
        let Some(agent) = &mut host.agent else {
            return;
        };
        for action in agent.handle(now, event) {
            self.execute_agent_action(at, run, action);
        }
    }

    fn execute_agent_action(&mut self, at: usize, run: Incarnation, action: Action) {
        let node = Node::Agent(at);
        let now = self.now();
        match action {
            Action::Send {
                connection,
                message,
            } => {
                if let ToEntry::Accepted { attempt } = &message
                    && self.agents[at].accepted.insert(*attempt)
                {
                    self.check_accepted_attempt(at);
                    self.check_withdrawn_name(at);
                }
                if let ToEntry::Rejected { reason, .. } = &message {
                    self.count_rejection(*reason);
                }
                let index = usize::try_from(connection).unwrap_or(usize::MAX);
                self.send_frame(index, Frame::ToEntry(message), false);
            }
            Action::Close { connection } => {
                let index = usize::try_from(connection).unwrap_or(usize::MAX);
                self.close_connection(index, false);
            }
            Action::Datagram { to, datagram } => self.send_datagram(node, to, &datagram),
            Action::Start {
                run: number,
                attempt,
                work,
                ..
            } => {
                self.check_attempt(at, run, attempt);
                let target = &mut self.agents[at].target;
                let (delay, event) = target.start(now, run, number, attempt, &work);
                let told = target.limit.tell(now + delay, run, number);
                self.check_run_count(&work.body);
                self.deliver_after(delay, node, run, Input::Agent(told));
                self.deliver_after(delay, node, run, Input::Agent(event));
            }
            Action::Read { run: number } => {
                if let Some((delay, event)) = self.agents[at].target.next_part(run, number) {
                    self.deliver_after(delay, node, run, Input::Agent(event));
                }
            }
            // The fake engine drops a run when its connection is lost.
            Action::Resume { run: number, .. } => {
                let detail = "forgotten".to_owned();
                let event = agent::TargetEvent::RunUnknown { detail };
                let input = Input::Agent(Event::Target { run: number, event });
                self.deliver_after(Duration::from_millis(2), node, run, input);
            }
            Action::Abort { run: number, .. } | Action::Release { run: number } => {
                self.agents[at].target.cancel_run(run, number);
            }
            Action::ReadEngineState => {
                self.schedule_after(Duration::from_millis(1), SimEvent::EngineState(at, run));
            }
            Action::ReadEngineLoad => {
                if let Some(load) = self.agents[at].target.load() {
                    let input = Input::Agent(Event::EngineLoad(load));
                    self.deliver_after(Duration::from_millis(2), node, run, input);
                }
            }
            Action::ReadCacheEvents { after } => {
                let events = self.agents[at].target.cache.read(now, after);
                self.deliver_cache_events(at, run, events);
            }
            Action::SendOrder(order) => {
                // A delayed order is a fault, and recovery is measured without faults.
                let is_delayed = self.chance(200) && self.phase != Phase::Recovery;
                let delay = if is_delayed {
                    self.random_ms(500, 7_000)
                } else {
                    self.random_ms(1, 30)
                };
                let engine = self.agents[at].generation;
                self.agents[at].orders_in_flight += 1;
                let send = SimEvent::SendOrder(at, run, engine, Box::new(order));
                self.schedule_after(delay, send);
            }
            Action::ReserveSlot { .. } => {
                let is_busy = self.chance(300);
                let wait = is_busy.then(|| Duration::from_millis(400));
                let input = Input::Agent(Event::SlotReply(Ok(wait)));
                self.deliver_after(Duration::from_millis(2), node, run, input);
            }
            Action::Table { operation, request } => {
                let Some(table) = self.agents[at].table.clone() else {
                    return;
                };
                let results = self.results.clone();
                self.tasks.spawn(run, async move {
                    let result = table.call(request).await;
                    let event = Event::TableDone { operation, result };
                    results
                        .borrow_mut()
                        .push_back((node, run, Input::Agent(event)));
                });
            }
            Action::Log(event) => self.log(&format!("agent {at}: {event:?}")),
            Action::Exit(reason) => self.handle_agent_exit(at, reason),
        }
    }

    fn handle_agent_exit(&mut self, at: usize, reason: ExitReason) {
        self.count_check("8 agent stopped");
        let running = self.agents[at].target.run_count();
        if running > 0 {
            self.record_violation(format!(
                "invariant 8: agent {at} stops with {running} runs in service"
            ));
        }
        self.log(&format!("agent {at} exits: {reason:?}"));
        self.end_agent(at, false);
        let delay = self.random_ms(500, 1_500);
        self.schedule_after(delay, SimEvent::Repair(Repair::Agent(at)));
    }

    /// Delivers an order to the engine and its outcome to the agent.
    pub fn pass_order(&mut self, at: usize, run: Incarnation, generation: u64, order: &Order) {
        let now = self.now();
        if self.agents[at].generation != generation {
            return;
        }
        self.agents[at].orders_in_flight -= 1;
        let outcome = self.agents[at].target.handle_order(now, run, order);
        self.log(&format!(
            "engine {at} gets order {} {:?}: {outcome:?}",
            order.number, order.kind
        ));
        if outcome == OrderOutcome::Accepted {
            self.check_executed_order(at, run, order);
        }
        let is_lost = self.phase == Phase::Faults && self.chance(150);
        let outcome = if is_lost {
            self.count("lost answers to orders");
            OrderOutcome::Unanswered("no answer in time".to_owned())
        } else {
            outcome
        };
        let input = Input::Agent(Event::OrderAnswered(outcome));
        self.deliver_after(Duration::from_millis(1), Node::Agent(at), run, input);
    }

    pub fn report_engine_state(&mut self, at: usize, run: Incarnation) {
        let now = self.now();
        let state = self.agents[at].target.report(now);
        let input = Input::Agent(Event::EngineState(state));
        self.deliver_after(Duration::from_millis(1), Node::Agent(at), run, input);
    }
}
