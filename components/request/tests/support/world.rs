//! Two entries, two agents and a table, with every message under the control of the test.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use request::Action;
use request::Event;
use request::Requests;
use store::MemoryTable;
use store::ObjectRequest;
use store::StoreError;
use store::TableRequest;
use types::AttemptId;
use types::Incarnation;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::ids::request_id;
use wire::ToAgent;
use wire::ToEntry;

use super::FixedRouter;
use super::profile;
use super::submission;
use super::submitted;

pub const ENTRIES: usize = 2;
pub const TARGETS: usize = 2;
const NAMES: [&str; TARGETS] = ["a", "b"];

/// Key whose answers are too large for a row.
pub const LARGE_KEY: u8 = 2;

/// How the fake agent treats a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    Answers,
    Rejects,
    FailsNotRun,
    FailsAfterStart,
    NeverAnswers,
}

pub enum Message {
    ToAgent(usize, usize, ToAgent),
    ToEntry(usize, usize, Incarnation, ToEntry),
    Gone(usize, usize, Incarnation),
}

impl Clone for Message {
    fn clone(&self) -> Self {
        match self {
            Self::ToAgent(e, t, m) => Self::ToAgent(*e, *t, m.clone()),
            Self::ToEntry(e, t, i, m) => Self::ToEntry(*e, *t, *i, m.clone()),
            Self::Gone(e, t, i) => Self::Gone(*e, *t, *i),
        }
    }
}

#[derive(Clone, PartialEq)]
pub enum Fate {
    Forbidden,
    Started(Option<Vec<u8>>),
    Lost,
}

pub struct Agent {
    pub incarnation: Incarnation,
    pub fates: HashMap<AttemptId, Fate>,
    pub treatment: Treatment,
}

pub struct Entry {
    pub incarnation: Incarnation,
    pub requests: Requests,
    pub router: FixedRouter,
    pub up: [bool; TARGETS],
    pub operations: Vec<(u64, TableRequest)>,
    pub object_calls: Vec<(u64, ObjectRequest)>,
    pub counter: u64,
}

pub struct Caller {
    pub entry: usize,
    pub body: Vec<u8>,
    pub idempotent: bool,
    pub received: Vec<u8>,
    pub finals: usize,
    pub refusal: Option<(RefusalReason, RunState)>,
    pub retry_after_ms: Option<Duration>,
    pub whole: bool,
    pub excused: bool,
}

pub struct World {
    pub now: Instant,
    pub table: MemoryTable,
    late: Vec<TableRequest>,
    pub objects: BTreeMap<String, Vec<u8>>,
    pub late_objects: Vec<ObjectRequest>,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub messages: Vec<Message>,
    pub callers: BTreeMap<RequestId, Caller>,
    /// Runs of non-idempotent work, by body.
    pub runs: HashMap<Vec<u8>, u32>,
    pub ran: HashSet<RequestId>,
    pub answers: HashMap<Vec<u8>, Vec<Vec<u8>>>,
    pub next: u64,
    pub violations: Vec<String>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::now(),
            table: MemoryTable::new(),
            late: Vec::new(),
            objects: BTreeMap::new(),
            late_objects: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            messages: Vec::new(),
            callers: BTreeMap::new(),
            runs: HashMap::new(),
            ran: HashSet::new(),
            answers: HashMap::new(),
            next: 100,
            violations: Vec::new(),
        };
        for _ in 0..TARGETS {
            let incarnation = world.fresh();
            world.agents.push(Agent {
                incarnation,
                fates: HashMap::new(),
                treatment: Treatment::Answers,
            });
        }
        for _ in 0..ENTRIES {
            let entry = world.new_entry();
            world.entries.push(entry);
        }
        for entry in 0..ENTRIES {
            world.connect_all(entry);
        }
        world
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn new_entry(&mut self) -> Entry {
        let incarnation = self.fresh();
        Entry {
            incarnation,
            requests: Requests::new(incarnation, 7),
            router: FixedRouter::default(),
            up: [false; TARGETS],
            operations: Vec::new(),
            object_calls: Vec::new(),
            counter: 0,
        }
    }

    pub fn connect_all(&mut self, entry: usize) {
        for target in 0..TARGETS {
            self.connect(entry, target);
        }
    }

    pub fn connect(&mut self, entry: usize, target: usize) {
        let incarnation = self.agents[target].incarnation;
        let name = NAMES[target].to_owned();
        let state = &mut self.entries[entry];
        state.up[target] = true;
        state.router.targets.retain(|(known, _)| *known != name);
        state.router.targets.push((name.clone(), incarnation));
        self.event(
            entry,
            Event::ConnectionUp {
                target: name,
                incarnation,
            },
        );
    }

    pub fn disconnect(&mut self, entry: usize, target: usize) {
        let name = NAMES[target].to_owned();
        self.entries[entry].up[target] = false;
        self.event(entry, Event::ConnectionDown { target: name });
    }

    pub fn restart_agent(&mut self, target: usize) {
        let old = self.agents[target].incarnation;
        self.agents[target].incarnation = self.fresh();
        self.agents[target].fates.clear();
        for entry in 0..ENTRIES {
            self.messages.push(Message::Gone(entry, target, old));
        }
    }

    pub fn treat(&mut self, target: usize, treatment: Treatment) {
        self.agents[target].treatment = treatment;
    }

    /// Replaces an entry that was killed; its callers see their connections break.
    pub fn restart_entry(&mut self, entry: usize) {
        let fresh = self.new_entry();
        let old = std::mem::replace(&mut self.entries[entry], fresh);
        // What the killed process had sent may take effect later.
        let calls = old.operations.into_iter().map(|(_, request)| request);
        self.late.extend(calls);
        let calls = old.object_calls.into_iter().map(|(_, request)| request);
        self.late_objects.extend(calls);
        for caller in self.callers.values_mut() {
            caller.excused |= caller.entry == entry;
        }
        self.connect_all(entry);
    }

    pub fn submit(&mut self, entry: usize, key: Option<u8>, idempotent: bool) {
        let state = &mut self.entries[entry];
        state.counter += 1;
        let request = request_id(state.incarnation, state.counter);
        let body = match key {
            Some(key) => vec![key],
            None => request.to_le_bytes().to_vec(),
        };
        let key = key.map(|key| format!("key-{key}"));
        let caller = Caller {
            entry,
            body: body.clone(),
            idempotent,
            received: Vec::new(),
            finals: 0,
            refusal: None,
            retry_after_ms: None,
            whole: false,
            excused: false,
        };
        self.callers.insert(request, caller);
        let submission = submission(key.as_deref(), &body);
        self.event(entry, submitted(request, submission, profile(idempotent)));
    }

    pub fn hang_up(&mut self, pick: usize) {
        let open = self.callers.iter().filter(|(_, c)| c.finals == 0);
        let open: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        let Some(request) = open.get(pick % open.len().max(1)).copied() else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&request) else {
            return;
        };
        caller.excused = true;
        let entry = caller.entry;
        self.event(entry, Event::CallerGone { request });
    }

    pub fn advance(&mut self, step: Duration) {
        self.now += step;
        for entry in 0..ENTRIES {
            self.event(entry, Event::Tick);
        }
    }

    pub fn event(&mut self, entry: usize, event: Event) {
        let state = &mut self.entries[entry];
        let actions = state.requests.handle(self.now, event, &mut state.router);
        for action in actions {
            match action {
                Action::Send { target, message } => {
                    let target = NAMES.iter().position(|name| *name == target);
                    let target = target.expect("known target");
                    self.messages.push(Message::ToAgent(entry, target, message));
                }
                Action::Table { operation, request } => {
                    self.entries[entry].operations.push((operation, request));
                }
                Action::Object { operation, request } => {
                    let calls = &mut self.entries[entry].object_calls;
                    calls.push((operation, request));
                }
                Action::Reply { request, reply } => self.reply(request, reply),
                Action::Settled { .. } => {}
            }
        }
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        let caller = self.callers.get_mut(&request).expect("known caller");
        if caller.finals > 0 {
            self.violations
                .push(format!("{request:x}: {reply:?} after the final reply"));
        }
        match reply {
            Reply::Head { .. } => {}
            Reply::Body(bytes) => caller.received.extend_from_slice(&bytes),
            Reply::End => {
                caller.finals += 1;
                caller.whole = true;
            }
            Reply::Refused(refusal) => {
                caller.finals += 1;
                caller.retry_after_ms = refusal.retry_after_ms;
                caller.refusal = Some((refusal.reason, refusal.run));
                if refusal.reason == RefusalReason::OutcomeUnknown && caller.idempotent {
                    self.violations
                        .push(format!("{request:x}: unknown outcome of idempotent work"));
                }
            }
        }
    }

    /// Ends a call to the table. `way` selects how.
    pub fn end_call(&mut self, entry: usize, pick: usize, way: u8) {
        let operations = &mut self.entries[entry].operations;
        if operations.is_empty() {
            return;
        }
        let (operation, request) = operations.remove(pick % operations.len());
        let unanswered = Err(StoreError::Unanswered("lost".to_owned()));
        let result = match way {
            0 => Err(StoreError::Unavailable("outage".to_owned())),
            1 => {
                self.apply(&request);
                unanswered
            }
            2 => {
                self.late.push(request);
                unanswered
            }
            _ => Ok(self.apply(&request)),
        };
        self.event(entry, Event::TableDone { operation, result });
    }

    pub fn apply_late(&mut self) {
        for request in std::mem::take(&mut self.late) {
            self.apply(&request);
        }
        for request in std::mem::take(&mut self.late_objects) {
            self.apply_object(request);
        }
    }

    pub fn repeat(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages[pick % self.messages.len()].clone();
            self.messages.push(message);
        }
    }

    /// Delivers one message, in any order.
    pub fn deliver(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.remove(pick % self.messages.len()) {
            Message::ToAgent(entry, target, message) => self.agent(entry, target, message),
            Message::ToEntry(entry, target, incarnation, message) => {
                let target = NAMES[target].to_owned();
                let event = Event::Agent {
                    target,
                    incarnation,
                    message,
                };
                self.event(entry, event);
            }
            Message::Gone(entry, target, incarnation) => {
                let target = NAMES[target].to_owned();
                let event = Event::IncarnationGone {
                    target,
                    incarnation,
                };
                self.event(entry, event);
            }
        }
    }
}
