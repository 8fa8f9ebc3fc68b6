//! Attempts under random orders of dispatch, forbid, resume, cancel, credit and connection loss.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::Event;
use agent::Limits;
use agent::RunId;
use agent::TargetEvent;
use platform::rows::Rows;
use quickcheck::quickcheck;
use types::AttemptId;
use types::Loaded;
use types::Method;
use types::RunState;
use types::ServiceKind;
use types::Work;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

const INCARNATION: u64 = 11;
const SLOTS: usize = 3;
const ATTEMPTS: usize = 8;
const BODY: &[u8] = b"body";

/// Random step: what, on what, how much.
type Step = (u8, u8, u8);

#[derive(Default, Clone)]
struct Position {
    received: u64,
    allowed: u64,
    ended: bool,
}

struct Run {
    attempt: usize,
    head: bool,
    asked: bool,
    sent: usize,
}

#[derive(Default, Clone)]
struct Known {
    /// Runs whose request reached the target.
    reached: u32,
    whole: bool,
    /// An entry was told that it was not run.
    disclaimed: bool,
}

/// An agent beside a target that is driven step by step, and entries with one connection each.
struct World {
    agent: Agent,
    now: Instant,
    rows: Rows,
    connections: [u64; SLOTS],
    opened: u64,
    positions: Vec<Vec<Position>>,
    runs: BTreeMap<RunId, Run>,
    known: Vec<Known>,
}

fn idempotent(attempt: usize) -> bool {
    attempt % 4 == 3
}

fn id(attempt: usize) -> AttemptId {
    // Two entries, and two attempts of each request.
    let entry = 1 + (attempt as u64 / 4);
    AttemptId {
        request: types::ids::request_id(entry, 10 + (attempt as u64 / 2)),
        number: u32::try_from(attempt % 2).expect("0 or 1") + 1,
    }
}

fn index(id: AttemptId) -> usize {
    (0..ATTEMPTS)
        .find(|attempt| self::id(*attempt) == id)
        .expect("a known attempt")
}

fn answer(attempt: usize) -> Vec<u8> {
    let length = 30 + 17 * attempt;
    (0..length)
        .map(|at| u8::try_from((at * 7 + attempt * 31) % 251).expect("below 251"))
        .collect()
}

impl World {
    fn new(limits: Limits) -> Self {
        let mut world = Self {
            agent: Agent::new(limits),
            now: Instant::now(),
            rows: Rows::default(),
            connections: [0; SLOTS],
            opened: 0,
            positions: vec![vec![Position::default(); ATTEMPTS]; SLOTS],
            runs: BTreeMap::new(),
            known: vec![Known::default(); ATTEMPTS],
        };
        for _ in 0..4 {
            world.event(Event::Tick);
        }
        for slot in 0..SLOTS {
            world.connect(slot);
        }
        assert!(!world.agent.load().away, "registered");
        world
    }

    fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.agent.handle(self.now, event) {
                match action {
                    Action::Table { operation, request } => events.push(Event::TableDone {
                        operation,
                        result: Ok(self.rows.apply(&request)),
                    }),
                    action => self.check(action),
                }
            }
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Start {
                run, attempt, work, ..
            } => {
                let attempt = index(attempt);
                assert_eq!(work.body, BODY, "the target gets the whole body");
                if !idempotent(attempt) {
                    assert_eq!(self.known[attempt].reached, 0, "ran twice");
                    assert!(!self.known[attempt].disclaimed, "ran after `not run`");
                }
                self.known[attempt].reached += 1;
                self.runs.insert(
                    run,
                    Run {
                        attempt,
                        head: false,
                        asked: false,
                        sent: 0,
                    },
                );
            }
            Action::Read { run } => {
                let run = self.runs.get_mut(&run).expect("a run that goes on");
                assert!(run.head && !run.asked);
                run.asked = true;
            }
            Action::Abort { run, attempt } => {
                assert!(idempotent(index(attempt)), "a non-idempotent run was cut");
                self.runs.remove(&run);
            }
            Action::Close { connection } => {
                if let Some(slot) = self.connections.iter().position(|at| *at == connection) {
                    self.connections[slot] = 0;
                }
            }
            Action::Send {
                connection,
                message,
            } => {
                if let Some(slot) = self.connections.iter().position(|at| *at == connection) {
                    self.received(slot, message);
                }
            }
            _ => {}
        }
    }

    fn received(&mut self, slot: usize, message: ToEntry) {
        match message {
            ToEntry::Chunk {
                attempt,
                offset,
                bytes,
            } => {
                let attempt = index(attempt);
                let position = &mut self.positions[slot][attempt];
                assert_eq!(offset, position.received, "gap or overlap");
                let from = usize::try_from(offset).expect("short");
                assert_eq!(bytes, answer(attempt)[from..from + bytes.len()]);
                position.received += bytes.len() as u64;
                assert!(position.received <= position.allowed, "beyond the credit");
            }
            ToEntry::End {
                attempt,
                length,
                digest,
                ..
            } => {
                let attempt = index(attempt);
                let mut whole = AnswerDigest::default();
                whole.push(&answer(attempt));
                assert!(self.known[attempt].whole, "the target has not finished");
                assert_eq!((length, digest), (whole.length(), whole.digest()));
                let position = &mut self.positions[slot][attempt];
                assert_eq!(position.received, length, "end before the last byte");
                position.ended = true;
            }
            ToEntry::Rejected { attempt, .. } => self.disclaim(index(attempt)),
            ToEntry::Failed { run, .. } => assert_eq!(run, RunState::Unknown),
            ToEntry::Forbidden { attempt, outcome } => match outcome {
                ForbidOutcome::NeverRun => self.disclaim(index(attempt)),
                ForbidOutcome::Started => assert!(self.known[index(attempt)].reached > 0),
                ForbidOutcome::Lost => {}
            },
            _ => {}
        }
    }

    fn disclaim(&mut self, attempt: usize) {
        if !idempotent(attempt) {
            assert_eq!(self.known[attempt].reached, 0, "`not run` although it ran");
            self.known[attempt].disclaimed = true;
        }
    }

    fn connect(&mut self, slot: usize) {
        let old = self.connections[slot];
        self.opened += 1;
        self.connections[slot] = self.opened;
        if old > 0 {
            self.event(Event::Disconnected { connection: old });
        }
        self.message(
            slot,
            ToAgent::Hello(Hello {
                process: 1,
                to: "target".to_owned(),
            }),
        );
    }

    fn message(&mut self, slot: usize, message: ToAgent) {
        let connection = self.connections[slot];
        if connection > 0 {
            self.event(Event::Message {
                connection,
                message,
            });
        }
    }

    fn dispatch(&mut self, slot: usize, attempt: usize, amount: u8) {
        let credit_bytes = u32::from(amount % 64);
        self.positions[slot][attempt] = Position {
            allowed: u64::from(credit_bytes),
            ..Position::default()
        };
        let part = if amount >= 192 { 2 } else { BODY.len() };
        let dispatch = Dispatch {
            attempt: id(attempt),
            incarnation: INCARNATION,
            revision: 1,
            needs: Loaded::default(),
            deadline_ms: Duration::from_secs(u64::from(amount % 8)),
            priority: amount % 4,
            idempotent: idempotent(attempt),
            credit_bytes,
            work: Work {
                service: "portal".to_owned(),
                method: Method::Post,
                path: "/submit".to_owned(),
                content_type: String::new(),
                body: BODY[..part].to_vec(),
                stream: false,
                model: String::new(),
                prompt_tokens: 3,
                max_output_tokens: 0,
                prefixes: Vec::new(),
            },
            body_bytes: BODY.len() as u64,
        };
        self.message(slot, ToAgent::Dispatch(Box::new(dispatch)));
    }

    fn resume(&mut self, slot: usize, attempt: usize, credit_bytes: u32) {
        let position = &mut self.positions[slot][attempt];
        let offset = position.received;
        position.allowed = offset + u64::from(credit_bytes);
        self.message(
            slot,
            ToAgent::Resume {
                attempt: id(attempt),
                offset,
                credit_bytes,
            },
        );
    }

    fn credit(&mut self, slot: usize, attempt: usize, bytes: u32) {
        let position = &mut self.positions[slot][attempt];
        position.allowed += u64::from(bytes);
        let received = position.received;
        self.message(
            slot,
            ToAgent::Credit {
                attempt: id(attempt),
                received,
                bytes,
            },
        );
    }

    /// Lets one run go on, as far as the agent has asked for.
    fn progress(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick(pick) else {
            return;
        };
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        let whole = answer(state.attempt);
        let event = if !state.head {
            state.head = true;
            TargetEvent::Head {
                status: 200,
                content_type: "text/plain".to_owned(),
            }
        } else if !state.asked {
            return;
        } else if state.sent < whole.len() {
            state.asked = false;
            let next = (state.sent + 1 + usize::from(amount % 32)).min(whole.len());
            let bytes = whole[state.sent..next].to_vec();
            state.sent = next;
            TargetEvent::Bytes(bytes)
        } else {
            let attempt = state.attempt;
            self.known[attempt].whole = true;
            self.runs.remove(&run);
            TargetEvent::End
        };
        self.event(Event::Target { run, event });
    }

    fn fail(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick(pick) else {
            return;
        };
        let Some(state) = self.runs.remove(&run) else {
            return;
        };
        let sent = state.head || amount.is_multiple_of(2);
        if !sent {
            self.known[state.attempt].reached -= 1;
        }
        let event = TargetEvent::Failed {
            sent,
            detail: "broken".to_owned(),
        };
        self.event(Event::Target { run, event });
    }

    fn pick(&self, pick: u8) -> Option<RunId> {
        let count = self.runs.len().max(1);
        self.runs.keys().nth(usize::from(pick) % count).copied()
    }

    fn step(&mut self, (what, on, amount): Step, faults: bool) {
        let attempt = usize::from(on) % ATTEMPTS;
        let slot = usize::from(on / 8) % SLOTS;
        match what % 12 {
            0 | 1 => self.dispatch(slot, attempt, amount),
            2 => self.message(
                slot,
                ToAgent::Body {
                    attempt: id(attempt),
                    bytes: BODY[2..].to_vec(),
                },
            ),
            3 => self.resume(slot, attempt, u32::from(amount)),
            4 => self.credit(slot, attempt, u32::from(amount)),
            5 => self.connect(slot),
            9 => {
                self.now += Duration::from_millis(u64::from(amount) * 20);
                self.event(Event::Tick);
            }
            10 if faults && amount < 128 => self.message(
                slot,
                ToAgent::Forbid {
                    attempt: id(attempt),
                    incarnation: INCARNATION,
                },
            ),
            10 if faults => self.message(
                slot,
                ToAgent::Cancel {
                    attempt: id(attempt),
                },
            ),
            11 if faults && amount < 64 => self.fail(on, amount),
            _ => self.progress(on, amount),
        }
    }
}

fn limits() -> Limits {
    let address = "127.0.0.1:1".parse().expect("address");
    Limits {
        kind: ServiceKind::Plain,
        service: "portal".to_owned(),
        concurrency: 2,
        queue: 2,
        buffer_limit_bytes: 24,
        ..Limits::new("target", INCARNATION, address)
    }
}

quickcheck! {
    /// Guards against a second run of a non-idempotent attempt and against `not run` for one that
    /// ran, whatever the order of dispatch, forbid, cancel, resume, lost connections and resends,
    /// also when the memory of attempts overflows.
    fn runs_no_non_idempotent_attempt_twice(steps: Vec<Step>, memory: u8) -> bool {
        let mut world = World::new(Limits {
            memory_limit: 1 + usize::from(memory % 8),
            kept_answer_limit_bytes: 40,
            kept_count_limit: 2,
            ..limits()
        });
        for step in steps {
            world.step(step, true);
        }
        true
    }

    /// Guards against lost, repeated or foreign bytes: an entry that comes back on a new
    /// connection gets the rest of its answer, whatever the credit and the resumptions before.
    fn relays_whole_answers_over_any_resumption(steps: Vec<Step>) -> bool {
        let mut world = World::new(Limits { queue: 64, ..limits() });
        for attempt in 0..ATTEMPTS {
            world.dispatch(0, attempt, 7);
        }
        for (what, on, amount) in steps {
            // One entry reads, and no time passes in which it could be given up.
            let (what, on) = if matches!(what % 12, 0..=2 | 9) { (3, on) } else { (what, on) };
            world.step((what, on % 8, amount), false);
        }
        world.connect(0);
        for attempt in 0..ATTEMPTS {
            world.resume(0, attempt, 4096);
        }
        for round in 0..2000_u32 {
            let amount = u8::try_from(round % 251).expect("below 251");
            world.progress(amount, amount);
            for attempt in 0..ATTEMPTS {
                world.credit(0, attempt, 1);
            }
        }
        for attempt in 0..ATTEMPTS {
            let is_whole = world.positions[0][attempt].ended;
            assert!(is_whole, "attempt {attempt} was not answered in full");
        }
        true
    }
}

/// Guards against a dispatch that is late on an abandoned connection and runs after its entry was
/// told that the attempt is not here.
#[test]
fn rejects_dispatch_that_arrives_after_resume() {
    let mut world = World::new(limits());
    world.resume(0, 0, 64);
    world.dispatch(1, 0, 7);
    assert!(world.runs.is_empty());
}

/// Guards against an answer that another entry cannot get after the first one is gone.
#[test]
fn keeps_non_idempotent_answer_for_another_entry() {
    let mut world = World::new(limits());
    world.dispatch(0, 0, 63);
    for _ in 0..40 {
        world.progress(0, 9);
        world.credit(0, 0, 9);
    }
    assert!(world.positions[0][0].ended);
    world.connect(0);
    world.message(
        1,
        ToAgent::Forbid {
            attempt: id(0),
            incarnation: INCARNATION,
        },
    );
    world.resume(1, 0, 4096);
    assert!(world.positions[1][0].ended);
}

/// Guards against unbounded memory and against a forgotten attempt that is called not run.
#[test]
fn calls_forgotten_attempts_unknown() {
    let mut memory = agent::Memory::new(2);
    let attempt = |counter| AttemptId {
        request: types::ids::request_id(1, counter),
        number: 1,
    };
    for counter in 0..5 {
        memory.set(attempt(counter), agent::Fate::Started);
    }
    assert_eq!(memory.len(), 2);
    assert_eq!(memory.recall(attempt(0)), agent::Recall::Forgotten);
    assert_eq!(
        memory.recall(attempt(4)),
        agent::Recall::Known(agent::Fate::Started)
    );
    assert_eq!(memory.recall(attempt(9)), agent::Recall::New);
}
