//! Two entries, two agents and a table, with every message under the control of the test.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use platform::MemoryTable;
use platform::PlatformError;
use platform::TableRequest;
use request::Action;
use request::Event;
use request::Requests;
use types::AttemptId;
use types::Incarnation;
use types::RefusalReason;
use types::Reply;
use types::RequestId;
use types::RunState;
use types::Usage;
use types::ids::request_id;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Rejection;
use wire::ToAgent;
use wire::ToEntry;

use super::FixedRouter;
use super::load;
use super::profile;
use super::submission;
use super::submitted;

pub const ENTRIES: usize = 2;
pub const TARGETS: usize = 2;
const NAMES: [&str; TARGETS] = ["a", "b"];

/// How the fake agent treats a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    Answers,
    Rejects,
    FailsNotRun,
    FailsAfterStart,
    NeverAnswers,
}

enum Message {
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
enum Fate {
    Forbidden,
    Started(Option<Vec<u8>>),
    Lost,
}

struct Agent {
    incarnation: Incarnation,
    fates: HashMap<AttemptId, Fate>,
    treatment: Treatment,
}

struct Entry {
    incarnation: Incarnation,
    requests: Requests,
    router: FixedRouter,
    up: [bool; TARGETS],
    operations: Vec<(u64, TableRequest)>,
    counter: u64,
}

pub struct Caller {
    entry: usize,
    body: Vec<u8>,
    idempotent: bool,
    received: Vec<u8>,
    finals: usize,
    refusal: Option<(RefusalReason, RunState)>,
    whole: bool,
    excused: bool,
}

pub struct World {
    pub now: Instant,
    table: MemoryTable,
    late: Vec<TableRequest>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    callers: BTreeMap<RequestId, Caller>,
    /// Runs of non-idempotent work, by body.
    runs: HashMap<Vec<u8>, u32>,
    ran: HashSet<RequestId>,
    answers: HashMap<Vec<u8>, Vec<Vec<u8>>>,
    next: u64,
    pub violations: Vec<String>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::now(),
            table: MemoryTable::new(),
            late: Vec::new(),
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
            counter: 0,
        }
    }

    fn connect_all(&mut self, entry: usize) {
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

    fn event(&mut self, entry: usize, event: Event) {
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
        let unanswered = Err(PlatformError::Unanswered("lost".to_owned()));
        let result = match way {
            0 => Err(PlatformError::Unavailable("outage".to_owned())),
            1 => {
                self.table.apply(&request);
                unanswered
            }
            2 => {
                self.late.push(request);
                unanswered
            }
            _ => Ok(self.table.apply(&request)),
        };
        self.event(entry, Event::TableDone { operation, result });
    }

    pub fn apply_late(&mut self) {
        for request in std::mem::take(&mut self.late) {
            self.table.apply(&request);
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

    fn agent(&mut self, entry: usize, target: usize, message: ToAgent) {
        match message {
            ToAgent::Dispatch(dispatch) => self.take(entry, target, &dispatch),
            ToAgent::Forbid {
                attempt,
                incarnation,
            } => {
                let agent = &mut self.agents[target];
                let outcome = if incarnation == agent.incarnation {
                    match agent.fates.entry(attempt).or_insert(Fate::Forbidden) {
                        Fate::Forbidden => ForbidOutcome::NeverRun,
                        Fate::Started(_) => ForbidOutcome::Started,
                        Fate::Lost => ForbidOutcome::Lost,
                    }
                } else {
                    ForbidOutcome::Lost
                };
                self.answer(entry, target, ToEntry::Forbidden { attempt, outcome });
            }
            ToAgent::Resume {
                attempt, offset, ..
            } => {
                let agent = &mut self.agents[target];
                let fate = agent.fates.entry(attempt).or_insert(Fate::Forbidden);
                match fate.clone() {
                    Fate::Forbidden => self.reject(entry, target, attempt),
                    Fate::Started(Some(body)) => self.stream(entry, target, attempt, &body, offset),
                    Fate::Started(None) => {}
                    Fate::Lost => self.fail(entry, target, attempt, RunState::Unknown),
                }
            }
            _ => {}
        }
    }

    fn take(&mut self, entry: usize, target: usize, dispatch: &Dispatch) {
        let attempt = dispatch.attempt;
        let agent = &mut self.agents[target];
        let known = agent.fates.get(&attempt);
        if dispatch.incarnation != agent.incarnation || known == Some(&Fate::Forbidden) {
            self.reject(entry, target, attempt);
            return;
        }
        if known.is_some() {
            return;
        }
        let treatment = agent.treatment;
        let mut answer = dispatch.work.body.clone();
        answer.extend_from_slice(&self.next.to_le_bytes());
        let fate = match treatment {
            Treatment::Rejects | Treatment::FailsNotRun => Fate::Forbidden,
            Treatment::FailsAfterStart => Fate::Lost,
            Treatment::NeverAnswers => Fate::Started(None),
            Treatment::Answers => Fate::Started(Some(answer.clone())),
        };
        agent.fates.insert(attempt, fate.clone());
        if fate != Fate::Forbidden {
            self.run(dispatch);
        }
        match treatment {
            Treatment::Rejects => self.reject(entry, target, attempt),
            Treatment::FailsNotRun => self.fail(entry, target, attempt, RunState::NotRun),
            Treatment::FailsAfterStart => self.fail(entry, target, attempt, RunState::Unknown),
            Treatment::NeverAnswers => {}
            Treatment::Answers => {
                self.next += 1;
                let answers = self.answers.entry(dispatch.work.body.clone());
                answers.or_default().push(answer.clone());
                self.stream(entry, target, attempt, &answer, 0);
            }
        }
    }

    fn run(&mut self, dispatch: &Dispatch) {
        self.ran.insert(dispatch.attempt.request);
        if dispatch.idempotent {
            return;
        }
        let runs = self.runs.entry(dispatch.work.body.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            let body = &dispatch.work.body;
            self.violations
                .push(format!("{body:?} was run {runs} times"));
        }
    }

    fn answer(&mut self, entry: usize, target: usize, message: ToEntry) {
        let incarnation = self.agents[target].incarnation;
        self.messages
            .push(Message::ToEntry(entry, target, incarnation, message));
    }

    fn reject(&mut self, entry: usize, target: usize, attempt: AttemptId) {
        let load = load(self.agents[target].incarnation);
        let reason = Rejection::Overloaded;
        let message = ToEntry::Rejected {
            attempt,
            reason,
            load,
        };
        self.answer(entry, target, message);
    }

    fn fail(&mut self, entry: usize, target: usize, attempt: AttemptId, run: RunState) {
        let detail = String::new();
        let message = ToEntry::Failed {
            attempt,
            run,
            detail,
        };
        self.answer(entry, target, message);
    }

    fn stream(&mut self, entry: usize, target: usize, attempt: AttemptId, body: &[u8], from: u64) {
        let head = ToEntry::Head {
            attempt,
            status: 200,
            content_type: "text/plain".to_owned(),
        };
        self.answer(entry, target, head);
        let from = usize::try_from(from).expect("small").min(body.len());
        for (index, bytes) in body[from..].chunks(4).enumerate() {
            let message = ToEntry::Chunk {
                attempt,
                offset: (from + 4 * index) as u64,
                bytes: bytes.to_vec(),
            };
            self.answer(entry, target, message);
        }
        let mut digest = AnswerDigest::default();
        digest.push(body);
        let end = ToEntry::End {
            attempt,
            length: digest.length(),
            digest: digest.digest(),
            usage: Usage::default(),
            load: load(self.agents[target].incarnation),
        };
        self.answer(entry, target, end);
    }

    /// Lets all faults pass and everything run out, then checks what must hold at the end.
    pub fn finish(&mut self) {
        self.apply_late();
        for target in 0..TARGETS {
            self.treat(target, Treatment::Answers);
        }
        for entry in 0..ENTRIES {
            self.connect_all(entry);
        }
        for _ in 0..80 {
            self.settle();
            self.advance(Duration::from_secs(1));
        }
        let violations: Vec<String> = self
            .callers
            .iter()
            .filter_map(|(request, caller)| self.fault(*request, caller))
            .collect();
        self.violations.extend(violations);
        for entry in &self.entries {
            if !entry.requests.is_idle() || entry.requests.next_tick().is_some() {
                self.violations
                    .push("an entry holds state after its last request".to_owned());
            }
            if !entry.router.open.is_empty() {
                self.violations
                    .push("the router still counts an attempt".to_owned());
            }
        }
    }

    /// Delivers everything, questions about attempts first.
    pub fn settle_forbids_first(&mut self) {
        for _ in 0..400 {
            for entry in 0..ENTRIES {
                self.end_call(entry, 0, u8::MAX);
            }
            let forbid = self.messages.iter().position(|message| {
                matches!(message, Message::ToAgent(_, _, ToAgent::Forbid { .. }))
            });
            self.deliver(forbid.unwrap_or(0));
            if self.messages.is_empty() {
                self.advance(Duration::from_millis(5));
            }
        }
    }

    /// Callers that were refused.
    pub fn refused(&self) -> usize {
        let callers = self.callers.values();
        callers.filter(|caller| caller.refusal.is_some()).count()
    }

    fn settle(&mut self) {
        for _ in 0..10_000 {
            let busy = self
                .entries
                .iter()
                .any(|entry| !entry.operations.is_empty());
            if !busy && self.messages.is_empty() {
                self.now += Duration::from_millis(5);
                for entry in 0..ENTRIES {
                    self.event(entry, Event::Tick);
                }
                let busy = self
                    .entries
                    .iter()
                    .any(|entry| !entry.operations.is_empty());
                if !busy && self.messages.is_empty() {
                    return;
                }
            }
            self.deliver(0);
            for entry in 0..ENTRIES {
                self.end_call(entry, 0, u8::MAX);
            }
        }
        self.violations.push("messages never end".to_owned());
    }

    fn fault(&self, request: RequestId, caller: &Caller) -> Option<String> {
        if caller.finals != 1 && !caller.excused {
            return Some(format!("{request:x}: {} final replies", caller.finals));
        }
        let answers = self.answers.get(&caller.body);
        let own = answers.is_some_and(|all| all.contains(&caller.received));
        if caller.whole && !own {
            return Some(format!("{request:x}: answered {:?}", caller.received));
        }
        let not_run = matches!(caller.refusal, Some((_, RunState::NotRun)));
        if not_run && self.ran.contains(&request) {
            return Some(format!("{request:x}: refused as not run, and was run"));
        }
        None
    }

    /// Callers whose answer was whole.
    pub fn answered(&self) -> usize {
        self.callers.values().filter(|caller| caller.whole).count()
    }
}
