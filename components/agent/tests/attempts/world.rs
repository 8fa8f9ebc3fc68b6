//! Simulation of an agent, its target and entries, which checks every action of the agent.

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
use types::LoadedModel;
use types::Method;
use types::RunState;
use types::Work;
use wire::AnswerDigest;
use wire::Dispatch;
use wire::ForbidOutcome;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

use crate::fixtures::answer;
use crate::fixtures::id;
use crate::fixtures::index;
use crate::fixtures::is_idempotent;

pub const INCARNATION: u64 = 11;
pub const SLOT_COUNT: usize = 3;
pub const ATTEMPT_COUNT: usize = 8;
pub const BODY: &[u8] = b"body";

/// Random step: kind, subject, amount.
pub type Step = (u8, u8, u8);

#[derive(Default, Clone)]
pub struct Position {
    pub received: u64,
    pub credit_limit: u64,
    pub has_ended: bool,
}

pub struct Run {
    pub attempt: usize,
    pub is_head_sent: bool,
    pub is_read_pending: bool,
    pub sent_bytes: usize,
    /// Resumed after its connection was lost.
    pub is_resumed: bool,
}

#[derive(Default, Clone)]
pub struct Observed {
    /// Runs of this attempt whose request reached the target.
    pub started_runs: u32,
    pub is_complete: bool,
    /// Bytes that the agent has received.
    pub sent_bytes: usize,
    /// Resume requests since the last byte.
    pub resume_count: u32,
    /// An entry was told that the attempt did not run.
    pub is_reported_not_run: bool,
}

/// An agent, a target that is advanced step by step, and entries with one connection each.
pub struct World {
    pub agent: Agent,
    pub now: Instant,
    pub rows: Rows,
    pub connections: [u64; SLOT_COUNT],
    pub opened: u64,
    pub positions: Vec<Vec<Position>>,
    pub runs: BTreeMap<RunId, Run>,
    pub observed: Vec<Observed>,
}

impl World {
    pub fn new(limits: Limits) -> Self {
        let mut world = Self {
            agent: Agent::new(limits),
            now: Instant::now(),
            rows: Rows::default(),
            connections: [0; SLOT_COUNT],
            opened: 0,
            positions: vec![vec![Position::default(); ATTEMPT_COUNT]; SLOT_COUNT],
            runs: BTreeMap::new(),
            observed: vec![Observed::default(); ATTEMPT_COUNT],
        };
        for _ in 0..4 {
            world.event(Event::Tick);
        }
        for slot in 0..SLOT_COUNT {
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
                    action => self.check_action(action),
                }
            }
        }
    }

    pub fn check_action(&mut self, action: Action) {
        match action {
            Action::Start {
                run, attempt, work, ..
            } => {
                let attempt = index(attempt);
                assert_eq!(work.body, BODY, "incomplete request body");
                if !is_idempotent(attempt) {
                    assert_eq!(self.observed[attempt].started_runs, 0, "ran twice");
                    assert!(
                        !self.observed[attempt].is_reported_not_run,
                        "ran after `not run`"
                    );
                }
                self.observed[attempt].started_runs += 1;
                self.runs.insert(
                    run,
                    Run {
                        attempt,
                        is_head_sent: false,
                        is_read_pending: false,
                        sent_bytes: 0,
                        is_resumed: false,
                    },
                );
                self.observed[attempt].sent_bytes = 0;
                self.observed[attempt].resume_count = 0;
            }
            Action::Resume {
                run,
                attempt,
                offset,
            } => self.check_resume(run, index(attempt), offset),
            Action::Release { run } => {
                assert!(self.runs.remove(&run).is_some(), "released an unknown run");
            }
            Action::Read { run } => {
                let run = self.runs.get_mut(&run).expect("a run in progress");
                assert!(run.is_head_sent && !run.is_read_pending);
                run.is_read_pending = true;
            }
            Action::Abort { run, attempt } => {
                assert!(
                    is_idempotent(index(attempt)),
                    "a non-idempotent run was aborted"
                );
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
                    self.check_message(slot, message);
                }
            }
            _ => {}
        }
    }

    pub fn check_message(&mut self, slot: usize, message: ToEntry) {
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
                assert!(
                    position.received <= position.credit_limit,
                    "more bytes than the credit allows"
                );
            }
            ToEntry::End {
                attempt,
                length,
                digest,
                ..
            } => {
                let attempt = index(attempt);
                let mut expected = AnswerDigest::default();
                expected.push(&answer(attempt));
                assert!(
                    self.observed[attempt].is_complete,
                    "the target has not finished"
                );
                assert_eq!((length, digest), (expected.length(), expected.digest()));
                let position = &mut self.positions[slot][attempt];
                assert_eq!(position.received, length, "end before the last byte");
                position.has_ended = true;
            }
            ToEntry::Rejected { attempt, .. } => self.report_not_run(index(attempt)),
            ToEntry::Failed { run, .. } => assert_eq!(run, RunState::Unknown),
            ToEntry::Forbidden { attempt, outcome } => match outcome {
                ForbidOutcome::NeverRun => self.report_not_run(index(attempt)),
                ForbidOutcome::Started => assert!(self.observed[index(attempt)].started_runs > 0),
                ForbidOutcome::Lost => {}
            },
            _ => {}
        }
    }

    pub fn report_not_run(&mut self, attempt: usize) {
        if !is_idempotent(attempt) {
            assert_eq!(
                self.observed[attempt].started_runs, 0,
                "`not run` although it ran"
            );
            self.observed[attempt].is_reported_not_run = true;
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
            credit_limit: u64::from(credit_bytes),
            ..Position::default()
        };
        let part = if amount >= 192 { 2 } else { BODY.len() };
        let dispatch = Dispatch {
            attempt: id(attempt),
            incarnation: INCARNATION,
            revision: 1,
            needs: LoadedModel::default(),
            deadline_ms: Duration::from_secs(u64::from(amount % 8)),
            priority: amount % 4,
            idempotent: is_idempotent(attempt),
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
        position.credit_limit = offset + u64::from(credit_bytes);
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
        position.credit_limit += u64::from(bytes);
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

    /// Advances one run to its next event, if the agent has requested it.
    pub fn advance_run(&mut self, pick: u8, amount: u8) {
        let Some(run) = self.pick_run(pick) else {
            return;
        };
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        let expected = answer(state.attempt);
        let event = if !state.is_head_sent {
            state.is_head_sent = true;
            if state.is_resumed {
                return self.resume_run(run);
            }
            TargetEvent::Head {
                status: 200,
                content_type: "text/plain".to_owned(),
                headers: types::Headers::default(),
            }
        } else if !state.is_read_pending {
            return;
        } else if state.sent_bytes < expected.len() {
            state.is_read_pending = false;
            let next = (state.sent_bytes + 1 + usize::from(amount % 32)).min(expected.len());
            let bytes = expected[state.sent_bytes..next].to_vec();
            state.sent_bytes = next;
            self.observed[state.attempt].sent_bytes = next;
            self.observed[state.attempt].resume_count = 0;
            TargetEvent::Bytes(bytes)
        } else {
            let attempt = state.attempt;
            self.observed[attempt].is_complete = true;
            self.runs.remove(&run);
            TargetEvent::End
        };
        self.event(Event::Target { run, event });
    }

    pub fn pick_run(&self, pick: u8) -> Option<RunId> {
        let count = self.runs.len().max(1);
        self.runs.keys().nth(usize::from(pick) % count).copied()
    }

    pub fn step(&mut self, (operation, subject, amount): Step, faults: bool) {
        let attempt = usize::from(subject) % ATTEMPT_COUNT;
        let slot = usize::from(subject / 8) % SLOT_COUNT;
        match operation % 12 {
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
            11 if faults && amount < 64 => self.break_connection(subject, amount),
            11 if faults && amount < 96 => self.fail_resume(subject, amount),
            _ => self.advance_run(subject, amount),
        }
    }
}
