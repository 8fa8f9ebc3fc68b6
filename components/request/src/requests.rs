//! The state machine: its state, its events and its timers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use types::ProfileName;
use types::RequestId;
use types::ServiceName;
use types::TargetName;

use crate::action::Action;
use crate::batch::Batches;
use crate::batch::Write;
use crate::budget::RetryBudget;
use crate::event::Event;
use crate::kept::HELD_LIMIT_BYTES;
use crate::kept::HeldBytes;
use crate::objects::Objects;
use crate::outcomes::Unwritten;
use crate::queue::Queue;
use crate::router::Router;
use crate::run::Phase;
use crate::run::Run;
use crate::sending::Sending;
use crate::tokens::Tokens;

/// What is to be done at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Deadline of one caller.
    Deadline(RequestId),
    /// Time for a lost connection to come back.
    Reconnect(AttemptId),
    /// Ask the router again for those that wait.
    Pump,
    /// Ask the retry budget again.
    Budget,
    /// Time for the table to answer about the claim of a run.
    Claim(RequestId),
    /// Ask an agent about another entry's attempt.
    Ask(AttemptId),
    /// Time for an agent to answer about another entry's attempt.
    Enquiry(AttemptId),
    /// Time for a run that no caller waits for.
    Linger(RequestId),
    /// Commit the writes that wait.
    Flush,
    /// Write outcomes again that could not be written.
    Outcomes,
    /// Store answers again that could not be stored.
    Objects,
}

/// Queue of one profile for one service.
pub(crate) type QueueKey = (ServiceName, ProfileName);

/// Borrowed for the time of one event.
pub(crate) struct Context<'a> {
    pub now: Instant,
    pub router: &'a mut dyn Router,
    pub actions: Vec<Action>,
}

/// All requests of one entry.
pub struct Requests {
    pub(crate) runs: BTreeMap<RequestId, Run>,
    /// Run of every caller that waits.
    pub(crate) waiting: BTreeMap<RequestId, RequestId>,
    /// Run of every attempt in progress; messages about others are late and dropped.
    pub(crate) attempts: BTreeMap<AttemptId, RequestId>,
    /// Run of every key; resends join it.
    pub(crate) claimed: BTreeMap<String, RequestId>,
    /// Run that asks about another entry's attempt.
    pub(crate) enquiries: BTreeMap<AttemptId, RequestId>,
    pub(crate) batches: Batches,
    pub(crate) reads_pending: Vec<RequestId>,
    pub(crate) reads: BTreeMap<u64, Vec<RequestId>>,
    /// Outcomes that are not written yet, by the key of their row.
    pub(crate) outcomes: BTreeMap<String, Unwritten>,
    pub(crate) outcomes_delayed: Vec<Write>,
    pub(crate) objects: Objects,
    pub(crate) kept_bytes: HeldBytes,
    pub(crate) sending: Sending,
    pub(crate) tokens: Tokens,
    pub(crate) entry: Incarnation,
    /// Number of the last call to the table.
    pub(crate) operations: u64,
    pub(crate) queues: BTreeMap<QueueKey, Queue>,
    pub(crate) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) connections: BTreeMap<TargetName, Incarnation>,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    /// Time of the pump timer that is set.
    pub(crate) pump_at: Option<Instant>,
    /// Time by which reads that wait are made.
    pub(crate) reads_due: Option<Instant>,
    /// Something changed that may let a waiting request go.
    pub(crate) pump_due: bool,
    pub(crate) leaving: bool,
}

impl Requests {
    /// Starts empty. `seed` makes tokens and random keys, and must differ between runs.
    #[must_use]
    pub fn new(entry: Incarnation, seed: u64) -> Self {
        Self {
            claimed: BTreeMap::new(),
            enquiries: BTreeMap::new(),
            batches: Batches::default(),
            reads_pending: Vec::new(),
            reads: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            outcomes_delayed: Vec::new(),
            objects: Objects::default(),
            kept_bytes: HeldBytes::new(HELD_LIMIT_BYTES),
            sending: Sending::default(),
            tokens: Tokens::new(entry, seed),
            entry,
            operations: 0,
            runs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            pump_at: None,
            reads_due: None,
            pump_due: false,
            leaving: false,
        }
    }

    /// Targets that attempts, claims being written or questions about claims refer to.
    #[must_use]
    pub fn targets_in_use(&self) -> BTreeSet<TargetName> {
        let of = |run: &Run| match (&run.attempt, &run.phase) {
            (Some(attempt), _) => Some(attempt.target.clone()),
            (None, Phase::Claiming(target, _)) => Some(target.clone()),
            (None, Phase::Enquiring(row)) => Some(row.target.clone()),
            (None, _) => None,
        };
        self.runs.values().filter_map(of).collect()
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, router: &mut dyn Router) -> Vec<Action> {
        let mut context = Context {
            now,
            router,
            actions: Vec::new(),
        };
        let cx = &mut context;
        // Timers first: nothing is dispatched or relayed past its deadline.
        self.run_timers(cx);
        match event {
            Event::Submitted {
                request,
                submission,
                terms,
            } => self.submitted(cx, request, submission, terms),
            Event::CallerGone { request } => {
                self.sending.end(request);
                self.caller_gone(cx, request);
            }
            Event::Consumed { request, bytes } => {
                self.sending.taken(request, bytes);
                self.consumed(cx, request, bytes);
            }
            Event::Agent {
                target,
                incarnation,
                message,
            } => self.agent_message(cx, &target, incarnation, message),
            Event::ConnectionUp {
                target,
                incarnation,
            } => self.connection_up(cx, &target, incarnation),
            Event::ConnectionDown { target } => self.connection_down(cx, &target),
            Event::IncarnationGone {
                target,
                incarnation,
            } => self.incarnation_gone(cx, &target, incarnation),
            Event::TableDone { operation, result } => self.table_done(cx, operation, result),
            Event::ObjectDone { operation, result } => self.object_done(cx, operation, result),
            Event::Tick => {}
            Event::Leaving => self.leaving = true,
        }
        if std::mem::take(&mut self.pump_due) {
            self.pump(cx);
        }
        self.flush_table(cx);
        self.flush_objects(cx);
        context.actions
    }

    /// When `Event::Tick` is needed next; `None` while nothing is timed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Requests accepted and not settled.
    #[must_use]
    pub fn open(&self) -> usize {
        self.waiting.len()
    }

    /// Whether every request has ended. Outcomes may still have to be written to the table; while
    /// that is impossible, a resend gets them from the agent.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.runs.is_empty() && self.waiting.is_empty()
    }

    /// Whether nothing is left to do; a stopping process may exit then.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
            && self.waiting.is_empty()
            && self.outcomes.is_empty()
            && self.outcomes_delayed.is_empty()
            && self.batches.is_empty()
    }

    pub(crate) fn set_timer(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    fn run_timers(&mut self, cx: &mut Context) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > cx.now {
                return;
            }
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Deadline(request) => self.deadline_passed(cx, request),
                Timer::Reconnect(attempt) => self.reconnect_overdue(cx, attempt),
                Timer::Pump => self.pump_due = true,
                Timer::Budget => self.release_delayed(cx),
                Timer::Claim(id) => self.claim_overdue(cx, id),
                Timer::Ask(attempt) => self.ask(cx, attempt),
                Timer::Enquiry(attempt) => {
                    if let Some(&id) = self.enquiries.get(&attempt) {
                        self.enquiry_overdue(cx, id);
                    }
                }
                Timer::Linger(id) => self.linger_over(cx, id),
                // Calls that are due are made at the end of every event.
                Timer::Flush | Timer::Objects => {}
                Timer::Outcomes => self.retry_outcomes(cx.now),
            }
        }
    }

    fn release_delayed(&mut self, cx: &mut Context) {
        let mut delayed: Vec<(Instant, RequestId)> = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Delayed)
            .map(|run| (run.deadline(), run.id))
            .collect();
        delayed.sort_unstable();
        for (_, id) in delayed {
            self.retry(cx, id);
        }
    }
}
