//! Orders under crashes, lost answers, table faults, newer orders and restarts of the agent.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::EngineState;
use agent::Event;
use agent::ExitReason;
use agent::Limits;
use agent::OrderOutcome;
use agent::RunId;
use agent::TICK_MS;
use agent::TargetEvent;
use control::Versioned;
use control::keys;
use control::state_after;
use platform::PlatformError;
use platform::Put;
use platform::TableRequest;
use platform::Transaction;
use platform::rows::Rows;
use quickcheck::quickcheck;
use types::AttemptId;
use types::Loaded;
use types::Method;
use types::Order;
use types::OrderKind;
use types::Role;
use types::Target;
use types::Work;
use wire::Dispatch;
use wire::Hello;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

const TARGET: &str = "engine-1";
const SETTLE_MS: Duration = Duration::from_secs(3);

type Step = (u8, u8, u8);

/// Engine that obeys whatever reaches it, and notes what must not happen.
struct Engine {
    state: EngineState,
    change: Option<(Instant, Order)>,
    down_until: Option<Instant>,
    crash_in_change: bool,
    /// Orders on their way whose answer is lost already.
    late: Vec<(Instant, Order)>,
    obeyed: Vec<Order>,
    runs: BTreeSet<RunId>,
}

struct World {
    agent: Agent,
    incarnation: u64,
    now: Instant,
    rows: Rows,
    engine: Engine,
    replies: Vec<(Instant, Action)>,
    table_faults: u8,
    pass_fault: u8,
    jitter: u32,
    requests: u64,
    messages: Vec<ToEntry>,
    exit: Option<ExitReason>,
}

fn initial() -> EngineState {
    EngineState {
        loaded: Loaded {
            model: "base".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        },
        ..EngineState::default()
    }
}

fn limits(incarnation: u64) -> Limits {
    let address = "127.0.0.1:1".parse().expect("address");
    Limits {
        service: "desk".to_owned(),
        order_settle_ms: SETTLE_MS,
        concurrency: 3,
        ..Limits::new(TARGET, incarnation, address)
    }
}

impl World {
    fn new() -> Self {
        Self {
            agent: Agent::new(limits(1)),
            incarnation: 1,
            now: Instant::now(),
            rows: Rows::default(),
            engine: Engine {
                state: initial(),
                change: None,
                down_until: None,
                crash_in_change: false,
                late: Vec::new(),
                obeyed: Vec::new(),
                runs: BTreeSet::new(),
            },
            replies: Vec::new(),
            table_faults: 0,
            pass_fault: 0,
            jitter: 1,
            requests: 0,
            messages: Vec::new(),
            exit: None,
        }
    }

    fn random(&mut self, below: u32) -> u32 {
        self.jitter = self
            .jitter
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        (self.jitter >> 16) % below
    }

    fn target(&self) -> Option<Target> {
        let row = self.rows.get(&keys::target(TARGET))?;
        let stored: Versioned<Target> = serde_json::from_str(&row.value).expect("target row");
        Some(stored.value)
    }

    fn order(&self) -> Option<Order> {
        let row = self.rows.get(&keys::order(TARGET))?;
        Some(serde_json::from_str(&row.value).expect("order row"))
    }

    fn put(&mut self, rows: Vec<(String, String)>) {
        let puts = rows.into_iter().map(|(key, value)| Put {
            key,
            value: Some(value),
        });
        self.rows.apply(&TableRequest::Commit(Transaction {
            checks: Vec::new(),
            puts: puts.collect(),
            proof: String::new(),
        }));
    }

    /// Writes a new order, as an operator or planner does.
    fn give(&mut self, kind: OrderKind, supersede: bool) {
        let Some(mut target) = self.target() else {
            return;
        };
        let last = self.order().map_or(0, |order| order.number);
        if last > target.applied && !supersede {
            return;
        }
        target.state = state_after(&kind, target.state);
        let order = Order {
            target: TARGET.to_owned(),
            number: last + 1,
            fencing: 1 + last / 3,
            revision: 1,
            kind,
        };
        let target = Versioned {
            revision: 1,
            value: target,
        };
        self.put(vec![
            (
                keys::order(TARGET),
                serde_json::to_string(&order).expect("JSON"),
            ),
            (
                keys::target(TARGET),
                serde_json::to_string(&target).expect("JSON"),
            ),
        ]);
    }

    fn event(&mut self, event: Event) {
        for action in self.agent.handle(self.now, event) {
            match action {
                Action::Start { run, .. } => {
                    self.engine.runs.insert(run);
                }
                Action::Abort { run, .. } => {
                    self.engine.runs.remove(&run);
                }
                Action::Send { message, .. } => self.messages.push(message),
                Action::Exit(reason) => self.exit = Some(reason),
                Action::PassOrder(order) => {
                    let row = self.order().expect("an order in the table");
                    assert_eq!(order.number, row.number, "stale order");
                    assert_eq!(order.fencing, row.fencing, "fencing number not passed on");
                    let holder = self.target().map(|target| target.incarnation);
                    assert_eq!(holder, Some(self.incarnation), "order of a lost target");
                    let delay = Duration::from_millis(u64::from(self.random(200)));
                    self.replies
                        .push((self.now + delay, Action::PassOrder(order)));
                }
                Action::Table { .. } | Action::ReadEngineState | Action::ReserveSlot { .. } => {
                    let delay = Duration::from_millis(u64::from(self.random(100)));
                    self.replies.push((self.now + delay, action));
                }
                _ => {}
            }
        }
    }

    fn reply(&mut self, action: Action) {
        let event = match action {
            Action::Table { operation, request } => {
                let fault = self.table_faults % 4;
                self.table_faults /= 4;
                let lost = PlatformError::Unanswered("lost".to_owned());
                let result = match fault {
                    1 => Err(PlatformError::Unavailable("down".to_owned())),
                    2 => Err(lost),
                    3 => {
                        self.rows.apply(&request);
                        Err(lost)
                    }
                    _ => Ok(self.rows.apply(&request)),
                };
                Event::TableDone { operation, result }
            }
            Action::ReadEngineState => Event::EngineState(match self.engine.down_until {
                Some(_) => Err("refused".to_owned()),
                None => Ok(self.engine.state.clone()),
            }),
            Action::ReserveSlot { .. } => {
                let wait = self.random(3);
                let wait = (wait > 0).then(|| Duration::from_millis(u64::from(wait) * 300));
                Event::Slot(Ok(wait))
            }
            Action::PassOrder(order) => Event::OrderPassed(self.pass(order)),
            _ => return,
        };
        self.event(event);
    }

    fn pass(&mut self, order: Order) -> OrderOutcome {
        let fault = std::mem::take(&mut self.pass_fault);
        if self.engine.down_until.is_some() {
            return OrderOutcome::NotSent("refused".to_owned());
        }
        match fault % 5 {
            1 => OrderOutcome::Refused("not now".to_owned()),
            2 => {
                self.obey(order);
                OrderOutcome::Unanswered("lost".to_owned())
            }
            3 => OrderOutcome::Unanswered("lost".to_owned()),
            4 => {
                let delay = u64::from(fault) * 10;
                let due = self.now + Duration::from_millis(delay);
                self.engine.late.push((due, order));
                OrderOutcome::Unanswered("lost".to_owned())
            }
            _ => {
                self.obey(order);
                OrderOutcome::Taken
            }
        }
    }

    fn obey(&mut self, order: Order) {
        if self.engine.down_until.is_some() {
            return;
        }
        assert!(self.engine.change.is_none(), "orders overlap");
        assert!(self.engine.runs.is_empty(), "work was cut by an order");
        if let Some(last) = self.engine.obeyed.last() {
            assert!(order.number >= last.number, "orders went back");
            assert!(order.fencing >= last.fencing, "fencing numbers went back");
        }
        self.engine.obeyed.push(order.clone());
        self.engine.state.away = true;
        let takes = Duration::from_millis(u64::from(self.random(800)));
        self.engine.change = Some((self.now + takes, order));
    }

    fn crash(&mut self, down_ms: u64) {
        self.engine.state = initial();
        self.engine.change = None;
        self.engine.down_until = Some(self.now + Duration::from_millis(down_ms));
        for run in std::mem::take(&mut self.engine.runs) {
            let event = TargetEvent::Failed {
                sent: true,
                detail: "crashed".to_owned(),
            };
            self.event(Event::Target { run, event });
        }
    }

    fn run_engine(&mut self) {
        let now = self.now;
        self.engine.down_until.take_if(|until| now >= *until);
        if let Some((_, order)) = self.engine.change.take_if(|(until, _)| now >= *until) {
            if std::mem::take(&mut self.engine.crash_in_change) {
                self.crash(700);
                return;
            }
            self.apply(&order);
        }
        let (due, later) = std::mem::take(&mut self.engine.late)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.engine.late = later;
        let due: Vec<(Instant, Order)> = due;
        for (_, order) in due {
            self.obey(order);
        }
    }

    fn apply(&mut self, order: &Order) {
        let state = &mut self.engine.state;
        match &order.kind {
            OrderKind::LoadModel { model, version } => {
                state.loaded = Loaded {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                };
            }
            OrderKind::LoadAdapter { adapter } => state.loaded.adapters.push(adapter.clone()),
            OrderKind::UnloadAdapter { adapter } => {
                state.loaded.adapters.retain(|at| at != adapter);
            }
            OrderKind::ChangeRole { role } => state.role = *role,
            other => panic!("{other:?} reached the engine"),
        }
        state.loaded.adapters.sort();
        state.loaded.adapters.dedup();
        state.number = order.number;
        state.away = false;
    }

    /// Lets time pass, with a tick every `TICK_MS`.
    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_MS;
            self.run_engine();
            loop {
                let due = self.replies.iter().position(|(at, _)| self.now >= *at);
                let Some(place) = due else { break };
                let (_, action) = self.replies.remove(place);
                self.reply(action);
            }
            self.event(Event::Tick);
        }
    }

    fn message(&mut self, message: ToAgent) {
        let hello = ToAgent::Hello(Hello {
            process: 1,
            to: TARGET.to_owned(),
        });
        for message in [hello, message] {
            self.event(Event::Message {
                connection: 1,
                message,
            });
        }
    }

    fn dispatch(&mut self, needs: Loaded) {
        self.requests += 1;
        let work = Work {
            service: "desk".to_owned(),
            method: Method::Post,
            path: "/v1/completions".to_owned(),
            content_type: String::new(),
            body: Vec::new(),
            stream: false,
            model: String::new(),
            prompt_tokens: 1,
            max_output_tokens: 1,
            prefixes: Vec::new(),
        };
        self.message(ToAgent::Dispatch(Box::new(Dispatch {
            attempt: AttemptId {
                request: types::ids::request_id(1, self.requests),
                number: 1,
            },
            incarnation: self.incarnation,
            revision: 1,
            needs,
            deadline_ms: Duration::from_mins(2),
            priority: 1,
            idempotent: true,
            credit_bytes: 1000,
            work: work.clone(),
            body_bytes: 0,
        })));
    }

    fn finish_run(&mut self) {
        let Some(run) = self.engine.runs.pop_first() else {
            return;
        };
        let head = TargetEvent::Head {
            status: 200,
            content_type: String::new(),
        };
        for event in [head, TargetEvent::End] {
            self.event(Event::Target { run, event });
        }
    }

    /// Kills the agent and starts another run of it.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.agent = Agent::new(limits(self.incarnation));
        self.engine.runs.clear();
        let sent = std::mem::take(&mut self.replies);
        for (at, action) in sent {
            // What the old run has written into the engine's socket still arrives.
            if let Action::PassOrder(order) = action {
                self.engine.late.push((at, order));
            }
        }
    }

    fn step(&mut self, (what, on, amount): Step) {
        match what % 12 {
            0..=3 => self.wait(Duration::from_millis(u64::from(amount) * 10)),
            4 => self.give(kind(on), amount < 64),
            5 => {
                self.give(kind(on), amount < 64);
                let number = self.order().map_or(0, |order| order.number);
                self.message(ToAgent::OrderHint { number });
            }
            6 => self.table_faults = amount,
            7 => self.pass_fault = amount,
            8 if amount < 100 => self.crash(u64::from(amount) * 20),
            8 => self.engine.crash_in_change = true,
            9 if amount < 40 => self.restart(),
            9 | 10 => self.dispatch(Loaded::default()),
            _ => self.finish_run(),
        }
    }
}

fn kind(on: u8) -> OrderKind {
    let name = if on >= 128 { "a" } else { "b" }.to_owned();
    match on % 8 {
        0 => OrderKind::LoadModel {
            model: name,
            version: "2".to_owned(),
        },
        1 => OrderKind::LoadAdapter { adapter: name },
        2 => OrderKind::UnloadAdapter { adapter: name },
        3 => OrderKind::ChangeRole {
            role: Role::Prefill,
        },
        4 => OrderKind::ChangeRole { role: Role::Decode },
        5 => OrderKind::Drain,
        6 => OrderKind::Replace,
        _ => OrderKind::Resume,
    }
}

quickcheck! {
    /// Guards against conflicting, stale, overlapping or backward orders at the engine, against
    /// work cut by an order, and against a target that never reaches the ordered state.
    fn orders_never_go_back_overlap_or_cut_work(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        world.wait(Duration::from_secs(1));
        for step in steps {
            world.step(step);
        }
        world.table_faults = 0;
        world.pass_fault = 0;
        for _ in 0..8 {
            world.finish_run();
            world.wait(Duration::from_secs(20));
        }
        let target = world.target().expect("registered");
        let number = world.order().map_or(0, |order| order.number);
        assert_eq!(target.applied, number, "the last order is not executed");
        assert_eq!(target.loaded, world.engine.state.loaded);
        assert_eq!(target.role, world.engine.state.role);
        assert!(!world.agent.load().away);
        assert_eq!(world.agent.load().leaving, !target.state.accepts_work());
        true
    }
}

fn role(role: Role) -> OrderKind {
    OrderKind::ChangeRole { role }
}

/// Guards against work that is cut off or taken on while an order waits for the target to empty.
#[test]
fn finishes_work_before_an_order_and_takes_none_meanwhile() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(10));
    assert!(world.engine.obeyed.is_empty());
    world.dispatch(Loaded::default());
    let last = world.messages.last();
    assert!(matches!(
        last,
        Some(ToEntry::Rejected {
            reason: Rejection::Away,
            ..
        })
    ));
    world.finish_run();
    world.wait(Duration::from_secs(10));
    assert_eq!(world.engine.state.role, Role::Decode);
    assert_eq!(world.target().map(|target| target.applied), Some(1));
}

/// Guards against work that reaches an engine which no longer has its model.
#[test]
fn rejects_work_for_a_model_that_is_not_loaded() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded {
        model: "other".to_owned(),
        ..Loaded::default()
    });
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::WrongModel,
            ..
        })
    ));
}

/// Guards against a killed agent's order that meets the order of the next run at the engine.
#[test]
fn waits_for_orders_of_the_last_run_to_settle() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.restart();
    world.give(role(Role::Decode), false);
    world.wait(SETTLE_MS.saturating_sub(Duration::from_millis(500)));
    assert!(world.engine.obeyed.is_empty());
    world.wait(Duration::from_secs(5));
    assert_eq!(world.engine.obeyed.len(), 1);
}

/// Guards against an order that counts as executed because the engine was in its state before,
/// while the order itself is still on its way and would cut off the work of the next run.
#[test]
fn records_no_order_that_may_still_be_on_its_way() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.pass_fault = 254;
    let adapter = "never-loaded".to_owned();
    world.give(OrderKind::UnloadAdapter { adapter }, false);
    world.wait(Duration::from_millis(2300));
    assert!(world.engine.obeyed.is_empty());
    assert_eq!(world.target().map(|target| target.applied), Some(0));
    assert!(world.agent.load().away);
    world.wait(Duration::from_secs(8));
    assert_eq!(world.target().map(|target| target.applied), Some(1));
}

/// Guards against two runs of an agent that both give orders or take work.
#[test]
fn ends_when_another_run_takes_the_target() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    let mut target = world.target().expect("registered");
    target.incarnation = 99;
    let row = Versioned {
        revision: 5,
        value: target,
    };
    let value = serde_json::to_string(&row).expect("JSON");
    world.put(vec![(keys::target(TARGET), value)]);
    world.give(role(Role::Decode), false);
    world.wait(Duration::from_secs(5));
    assert!(world.engine.obeyed.is_empty());
    world.dispatch(Loaded::default());
    assert!(matches!(
        world.messages.last(),
        Some(ToEntry::Rejected {
            reason: Rejection::Leaving,
            ..
        })
    ));
    assert_eq!(world.exit, None, "work in service goes on");
    world.finish_run();
    world.wait(Duration::from_secs(5));
    assert_eq!(world.exit, Some(ExitReason::Superseded));
    assert_eq!(world.target().map(|target| target.incarnation), Some(99));
}

/// Guards against a planned stop that cuts work off or leaves the row behind.
#[test]
fn finishes_work_and_releases_its_row_when_stopped() {
    let mut world = World::new();
    world.wait(Duration::from_secs(1));
    world.dispatch(Loaded::default());
    world.event(Event::Leaving);
    world.event(Event::Leaving);
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, None);
    world.finish_run();
    world.wait(Duration::from_secs(10));
    assert_eq!(world.exit, Some(ExitReason::Stopped));
    assert_eq!(world.target().map(|target| target.incarnation), Some(0));
}
