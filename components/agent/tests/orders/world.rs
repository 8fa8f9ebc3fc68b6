//! Simulation of an agent, its engine and the table in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::Event;
use agent::ExitReason;
use agent::Limits;
use agent::TICK_MS;
use agent::TargetEvent;
use control::Versioned;
use control::keys;
use control::state_after;
use store::Put;
use store::StoreError;
use store::TableRequest;
use store::Transaction;
use store::rows::Rows;
use types::AttemptId;
use types::LoadedModel;
use types::Method;
use types::Order;
use types::OrderKind;
use types::Role;
use types::Target;
use types::Work;
use wire::Dispatch;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

use crate::engine::Engine;
use crate::engine::initial_state;

pub const TARGET: &str = "engine-1";
pub const SETTLE_MS: Duration = Duration::from_secs(3);

pub type Step = (u8, u8, u8);

pub struct World {
    pub agent: Agent,
    pub incarnation: u64,
    pub now: Instant,
    pub rows: Rows,
    pub engine: Engine,
    pub pending_actions: Vec<(Instant, Action)>,
    pub table_faults: u8,
    pub order_fault: u8,
    pub random_state: u32,
    pub requests: u64,
    /// Table reads so far.
    pub table_reads: usize,
    /// Sequence number in the last request for cache events.
    pub cache_after: Option<u64>,
    pub messages: Vec<ToEntry>,
    pub exit: Option<ExitReason>,
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
    pub fn new() -> Self {
        Self {
            agent: Agent::new(limits(1)),
            incarnation: 1,
            now: Instant::now(),
            rows: Rows::default(),
            engine: Engine {
                state: initial_state(),
                change: None,
                down_until: None,
                crash_in_change: false,
                in_flight: Vec::new(),
                executed: Vec::new(),
                runs: BTreeSet::new(),
            },
            pending_actions: Vec::new(),
            table_faults: 0,
            order_fault: 0,
            random_state: 1,
            requests: 0,
            table_reads: 0,
            cache_after: None,
            messages: Vec::new(),
            exit: None,
        }
    }

    pub fn random(&mut self, below: u32) -> u32 {
        self.random_state = self
            .random_state
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        (self.random_state >> 16) % below
    }

    pub fn target(&self) -> Option<Target> {
        let row = self.rows.get(&keys::target(TARGET))?;
        let stored: Versioned<Target> = serde_json::from_str(&row.value).expect("target row");
        Some(stored.value)
    }

    pub fn order(&self) -> Option<Order> {
        let row = self.rows.get(&keys::order(TARGET))?;
        Some(serde_json::from_str(&row.value).expect("order row"))
    }

    pub fn put(&mut self, rows: Vec<(String, String)>) {
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

    /// Writes a new order, as an operator or the planner does.
    pub fn issue_order(&mut self, kind: OrderKind, supersede: bool) {
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

    pub fn event(&mut self, event: Event) {
        for action in self.agent.handle(self.now, event) {
            let is_read = |request: &TableRequest| matches!(request, TableRequest::Read(_));
            if matches!(&action, Action::Table { request, .. } if is_read(request)) {
                self.table_reads += 1;
            }
            match action {
                Action::Start { run, .. } => {
                    self.engine.runs.insert(run);
                }
                Action::Abort { run, .. } => {
                    self.engine.runs.remove(&run);
                }
                Action::ReadCacheEvents { after } => self.cache_after = Some(after),
                Action::Send { message, .. } => self.messages.push(message),
                Action::Exit(reason) => self.exit = Some(reason),
                Action::SendOrder(order) => {
                    let row = self.order().expect("an order in the table");
                    assert_eq!(order.number, row.number, "stale order");
                    assert_eq!(order.fencing, row.fencing, "fencing number not passed on");
                    let holder = self.target().map(|target| target.incarnation);
                    assert_eq!(
                        holder,
                        Some(self.incarnation),
                        "order of a process that is not registered"
                    );
                    let delay = Duration::from_millis(u64::from(self.random(200)));
                    self.pending_actions
                        .push((self.now + delay, Action::SendOrder(order)));
                }
                Action::Table { .. } | Action::ReadEngineState | Action::ReserveSlot { .. } => {
                    let delay = Duration::from_millis(u64::from(self.random(100)));
                    self.pending_actions.push((self.now + delay, action));
                }
                _ => {}
            }
        }
    }

    pub fn carry_out(&mut self, action: Action) {
        let event = match action {
            Action::Table { operation, request } => {
                let fault = self.table_faults % 4;
                self.table_faults /= 4;
                let lost = StoreError::Unanswered("lost".to_owned());
                let result = match fault {
                    1 => Err(StoreError::Unavailable("down".to_owned())),
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
                Event::SlotReply(Ok(wait))
            }
            Action::SendOrder(order) => Event::OrderAnswered(self.receive_order(order)),
            _ => return,
        };
        self.event(event);
    }

    /// Advances the clock, with a tick every `TICK_MS`.
    pub fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK_MS;
            self.advance_engine();
            loop {
                let due = self
                    .pending_actions
                    .iter()
                    .position(|(at, _)| self.now >= *at);
                let Some(index) = due else { break };
                let (_, action) = self.pending_actions.remove(index);
                self.carry_out(action);
            }
            self.event(Event::Tick);
        }
    }

    pub fn message(&mut self, message: ToAgent) {
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

    pub fn dispatch(&mut self, needs: LoadedModel) {
        self.requests += 1;
        let work = Work {
            service: "desk".to_owned(),
            method: Method::Post,
            path: "/v1/completions".to_owned(),
            content_type: String::new(),
            headers: types::Headers::default(),
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

    pub fn finish_run(&mut self) {
        let Some(run) = self.engine.runs.pop_first() else {
            return;
        };
        let head = TargetEvent::Head {
            status: 200,
            content_type: String::new(),
            headers: types::Headers::default(),
        };
        for event in [head, TargetEvent::End] {
            self.event(Event::Target { run, event });
        }
    }

    /// Kills the agent and starts a new process.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.agent = Agent::new(limits(self.incarnation));
        self.engine.runs.clear();
        let sent = std::mem::take(&mut self.pending_actions);
        for (at, action) in sent {
            // Orders that the old process has sent can still arrive.
            if let Action::SendOrder(order) = action {
                self.engine.in_flight.push((at, order));
            }
        }
    }

    pub fn step(&mut self, (operation, subject, amount): Step) {
        match operation % 12 {
            0..=3 => self.wait(Duration::from_millis(u64::from(amount) * 10)),
            4 => self.issue_order(kind(subject), amount < 64),
            5 => {
                self.issue_order(kind(subject), amount < 64);
                let number = self.order().map_or(0, |order| order.number);
                self.message(ToAgent::OrderHint { number });
            }
            6 => self.table_faults = amount,
            7 => self.order_fault = amount,
            8 if amount < 100 => self.crash(u64::from(amount) * 20),
            8 => self.engine.crash_in_change = true,
            9 if amount < 40 => self.restart(),
            9 | 10 => self.dispatch(LoadedModel::default()),
            _ => self.finish_run(),
        }
    }
}

fn kind(subject: u8) -> OrderKind {
    let name = if subject >= 128 { "a" } else { "b" }.to_owned();
    match subject % 8 {
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
