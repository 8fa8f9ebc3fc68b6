//! Agent processes beside their targets.

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
use store::Guarded;
use store::Table;
use types::AttemptId;
use types::Incarnation;
use types::Order;
use wire::ToEntry;

use crate::net::Frame;
use crate::repair::Repair;
use crate::setup::MODEL_SERVICE;
use crate::setup::PLAIN_SERVICE;
use crate::setup::agent_address;
use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::Phase;
use crate::world::World;

/// Host of a target, with the target and the agent beside it.
pub struct AgentHost {
    pub name: String,
    pub host: String,
    /// Grows when the host is replaced under the same address.
    pub generation: u64,
    pub incarnation: Incarnation,
    pub agent: Option<Agent>,
    pub paused_until: Option<Instant>,
    pub inbox: VecDeque<Input>,
    pub leaving: bool,
    pub cut: Rc<Cell<bool>>,
    pub table: Option<Rc<Guarded>>,
    pub target: FakeTarget,
    /// Orders that have not reached the engine yet, of all runs of the agent.
    pub orders_under_way: u32,
    /// Attempts accepted in this run.
    pub accepted: HashSet<AttemptId>,
    /// Since when nothing has kept the process from its orders.
    pub undisturbed: Instant,
    /// Since when the host list calls the host leaving.
    pub listed_leaving: Option<Instant>,
    /// The run was started under the name of a withdrawn target.
    pub reused: bool,
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
            leaving: false,
            cut: Rc::default(),
            table: None,
            target,
            orders_under_way: 0,
            accepted: HashSet::new(),
            undisturbed: Instant::now(),
            listed_leaving: None,
            reused: false,
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

impl World {
    pub fn start_agent(&mut self, at: usize) {
        self.take_new_name(at);
        let incarnation = self.fresh();
        let cut: Rc<Cell<bool>> = Rc::default();
        let table = self.guarded(cut.clone());
        let now = self.now();
        let host = &mut self.agents[at];
        let mut limits = Limits::new(host.name.clone(), incarnation, agent_address(at));
        limits.kind = host.target.kind;
        limits.service = match limits.kind {
            types::ServiceKind::Model => MODEL_SERVICE.to_owned(),
            types::ServiceKind::Plain => PLAIN_SERVICE.to_owned(),
        };
        limits.host.clone_from(&host.host);
        "bolson-centro".clone_into(&mut limits.place);
        limits.honours_fencing = host.target.honours_fencing;
        host.incarnation = incarnation;
        host.agent = Some(Agent::new(limits));
        host.paused_until = None;
        host.inbox.clear();
        host.leaving = false;
        host.cut = cut;
        host.table = Some(table);
        host.accepted.clear();
        host.undisturbed = now;
        self.note(&format!("agent {at} starts as {incarnation:x}"));
        self.after(
            Duration::ZERO,
            Happening::Wake(Node::Agent(at), incarnation),
        );
    }

    /// The process ends at once. With `silently`, its connections are not closed.
    pub fn kill_agent(&mut self, at: usize, silently: bool) {
        if !self.agents[at].is_up() {
            return;
        }
        self.end_agent(at, silently);
    }

    fn end_agent(&mut self, at: usize, silently: bool) {
        let run = self.agents[at].incarnation;
        self.end_conns(Node::Agent(at), run, silently);
        self.tasks.cancel(run);
        let host = &mut self.agents[at];
        host.agent = None;
        host.target.agent_gone(run);
    }

    /// The process is asked to stop and must cut off nothing.
    pub fn stop_agent(&mut self, at: usize) {
        let host = &mut self.agents[at];
        if !host.is_up() || host.leaving {
            return;
        }
        host.leaving = true;
        let run = host.incarnation;
        let event = Input::Agent(Event::Leaving);
        self.later(Duration::from_millis(1), Node::Agent(at), run, event);
    }

    pub fn agent_event(&mut self, at: usize, event: Event) {
        let now = self.now();
        let host = &mut self.agents[at];
        let run = host.incarnation;
        let Some(agent) = &mut host.agent else {
            return;
        };
        for action in agent.handle(now, event) {
            self.carry_out_agent(at, run, action);
        }
    }

    fn carry_out_agent(&mut self, at: usize, run: Incarnation, action: Action) {
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
                    self.check_new_work(at);
                    self.check_reused(at);
                }
                if let ToEntry::Rejected { reason, .. } = &message {
                    self.note_rejection(*reason);
                }
                let index = usize::try_from(connection).unwrap_or(usize::MAX);
                self.send_frame(index, Frame::ToEntry(message), false);
            }
            Action::Close { connection } => {
                let index = usize::try_from(connection).unwrap_or(usize::MAX);
                self.close_conn(index, false);
            }
            Action::Datagram { to, datagram } => self.datagram(node, to, &datagram),
            Action::Start {
                run: number,
                attempt,
                work,
                ..
            } => {
                self.check_fit(at, run, attempt);
                let target = &mut self.agents[at].target;
                let (delay, event) = target.start(now, run, number, attempt, &work);
                self.ran(&work.body);
                self.later(delay, node, run, Input::Agent(event));
            }
            Action::Read { run: number } => {
                if let Some((delay, event)) = self.agents[at].target.read(run, number) {
                    self.later(delay, node, run, Input::Agent(event));
                }
            }
            // The engine that lost the connection has forgotten the run.
            Action::Resume { run: number, .. } => {
                let detail = "forgotten".to_owned();
                let event = agent::TargetEvent::Forgotten { detail };
                let input = Input::Agent(Event::Target { run: number, event });
                self.later(Duration::from_millis(2), node, run, input);
            }
            Action::Abort { run: number, .. } | Action::Release { run: number } => {
                self.agents[at].target.abort(run, number);
            }
            Action::ReadEngineState => {
                self.after(Duration::from_millis(1), Happening::EngineState(at, run));
            }
            Action::ReadEngineLoad => {
                if let Some(load) = self.agents[at].target.load() {
                    let input = Input::Agent(Event::EngineLoad(load));
                    self.later(Duration::from_millis(2), node, run, input);
                }
            }
            Action::ReadCacheEvents { after } => {
                let events = self.agents[at].target.cache.read(now, after);
                self.cache_events_read(at, run, events);
            }
            Action::PassOrder(order) => {
                // A held-up order is a fault, and faults end before recovery is measured.
                let slow = self.chance(200) && self.phase != Phase::Recovery;
                let delay = if slow {
                    self.millis(500, 7_000)
                } else {
                    self.millis(1, 30)
                };
                let engine = self.agents[at].generation;
                self.agents[at].orders_under_way += 1;
                let pass = Happening::PassOrder(at, run, engine, Box::new(order));
                self.after(delay, pass);
            }
            Action::ReserveSlot { .. } => {
                let busy = self.chance(300);
                let wait = busy.then(|| Duration::from_millis(400));
                let input = Input::Agent(Event::Slot(Ok(wait)));
                self.later(Duration::from_millis(2), node, run, input);
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
            Action::Log(event) => self.note(&format!("agent {at}: {event:?}")),
            Action::Exit(reason) => self.agent_exits(at, reason),
        }
    }

    fn agent_exits(&mut self, at: usize, reason: ExitReason) {
        self.check("8 agent stopped");
        let running = self.agents[at].target.running();
        if running > 0 {
            self.violation(format!(
                "invariant 8: agent {at} stops with {running} runs in service"
            ));
        }
        self.note(&format!("agent {at} exits: {reason:?}"));
        self.end_agent(at, false);
        let delay = self.millis(500, 1_500);
        self.after(delay, Happening::Repair(Repair::Agent(at)));
    }

    /// An order reaches the engine.
    pub fn pass_order(&mut self, at: usize, run: Incarnation, generation: u64, order: &Order) {
        let now = self.now();
        if self.agents[at].generation != generation {
            return;
        }
        self.agents[at].orders_under_way -= 1;
        let outcome = self.agents[at].target.pass(now, run, order);
        self.note(&format!(
            "engine {at} gets order {} {:?}: {outcome:?}",
            order.number, order.kind
        ));
        if outcome == OrderOutcome::Taken {
            self.check_obeyed(at, run, order);
        }
        let lost = self.phase == Phase::Faults && self.chance(150);
        let outcome = if lost {
            self.count("lost answers to orders");
            OrderOutcome::Unanswered("no answer in time".to_owned())
        } else {
            outcome
        };
        let input = Input::Agent(Event::OrderPassed(outcome));
        self.later(Duration::from_millis(1), Node::Agent(at), run, input);
    }

    pub fn report_engine_state(&mut self, at: usize, run: Incarnation) {
        let now = self.now();
        let state = self.agents[at].target.report(now);
        let input = Input::Agent(Event::EngineState(state));
        self.later(Duration::from_millis(1), Node::Agent(at), run, input);
    }
}
