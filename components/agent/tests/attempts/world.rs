//! An agent beside a target that is driven step by step, with the checks of every message.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use agent::Action;
use agent::Agent;
use agent::EngineState;
use agent::Event;
use agent::Limits;
use agent::RunId;
use agent::TargetEvent;
use store::rows::Rows;
use types::Loaded;
use types::Method;
use types::RunState;
use types::Work;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

use crate::known::answer;
use crate::known::id;
use crate::known::idempotent;
use crate::known::index;

pub const INCARNATION: u64 = 11;
pub const SLOTS: usize = 3;
pub const ATTEMPTS: usize = 8;
pub const BODY: &[u8] = b"body";

/// Random step: what, on what, how much.
pub type Step = (u8, u8, u8);

#[derive(Default, Clone)]
pub struct Position {
    pub received: u64,
    pub allowed: u64,
    pub ended: bool,
}

pub struct Run {
    pub attempt: usize,
    pub head: bool,
    pub asked: bool,
    pub sent: usize,
    /// Asked for again after its connection was lost.
    pub resumed: bool,
}

#[derive(Default, Clone)]
pub struct Known {
    /// Runs whose request reached the target.
    pub reached: u32,
    pub whole: bool,
    /// Bytes that the agent has.
    pub given: usize,
    /// Times that the answer was asked for since the last byte.
    pub resumes: u32,
    /// An entry was told that it was not run.
    pub disclaimed: bool,
}

/// An agent beside a target that is driven step by step, and entries with one connection each.
pub struct World {
    pub agent: Agent,
    pub now: Instant,
    pub rows: Rows,
    pub connections: [u64; SLOTS],
    pub opened: u64,
    pub positions: Vec<Vec<Position>>,
    pub runs: BTreeMap<RunId, Run>,
    pub known: Vec<Known>,
}

impl World {
    pub fn new(limits: Limits) -> Self {
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

    pub fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.agent.handle(self.now, event) {
                match action {
                    Action::Table { operation, request } => events.push(Event::TableDone {
                        operation,
                        result: Ok(self.rows.apply(&request)),
                    }),
                    Action::ReadEngineState => {
                        events.push(Event::EngineState(Ok(EngineState::default())));
                    }
                    action => self.check(action),
                }
            }
        }
    }

    pub fn check(&mut self, action: Action) {
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
                        resumed: false,
                    },
                );
                self.known[attempt].given = 0;
                self.known[attempt].resumes = 0;
            }
            Action::Resume {
                run,
                attempt,
                offset,
            } => self.resumes(run, index(attempt), offset),
            Action::Release { run } => {
                assert!(self.runs.remove(&run).is_some(), "a run that goes on");
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

    pub fn received(&mut self, slot: usize, message: ToEntry) {
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

    pub fn disclaim(&mut self, attempt: usize) {
        if !idempotent(attempt) {
            assert_eq!(self.known[attempt].reached, 0, "`not run` although it ran");
            self.known[attempt].disclaimed = true;
        }
    }

    pub fn connect(&mut self, slot: usize) {
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

    pub fn message(&mut self, slot: usize, message: ToAgent) {
        let connection = self.connections[slot];
        if connection > 0 {
            self.event(Event::Message {
                connection,
                message,
            });
        }
    }

    pub fn dispatch(&mut self, slot: usize, attempt: usize, amount: u8) {
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
                headers: types::Headers::default(),
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

    pub fn resume(&mut self, slot: usize, attempt: usize, credit_bytes: u32) {
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

    pub fn credit(&mut self, slot: usize, attempt: usize, bytes: u32) {
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
    pub fn progress(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick(pick) else {
            return;
        };
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        let whole = answer(state.attempt);
        let event = if !state.head {
            state.head = true;
            if state.resumed {
                return self.rest(run);
            }
            TargetEvent::Head {
                status: 200,
                content_type: "text/plain".to_owned(),
                headers: types::Headers::default(),
            }
        } else if !state.asked {
            return;
        } else if state.sent < whole.len() {
            state.asked = false;
            let next = (state.sent + 1 + usize::from(amount % 32)).min(whole.len());
            let bytes = whole[state.sent..next].to_vec();
            state.sent = next;
            self.known[state.attempt].given = next;
            self.known[state.attempt].resumes = 0;
            TargetEvent::Bytes(bytes)
        } else {
            let attempt = state.attempt;
            self.known[attempt].whole = true;
            self.runs.remove(&run);
            TargetEvent::End
        };
        self.event(Event::Target { run, event });
    }

    pub fn pick(&self, pick: u8) -> Option<RunId> {
        let count = self.runs.len().max(1);
        self.runs.keys().nth(usize::from(pick) % count).copied()
    }

    pub fn step(&mut self, (what, on, amount): Step, faults: bool) {
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
            11 if faults && amount < 96 => self.contradict(on, amount),
            _ => self.progress(on, amount),
        }
    }
}
