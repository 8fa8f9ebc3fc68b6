//! The state machine: its state, its events and its timers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use types::AttemptId;
use types::Incarnation;
use types::ProfileName;
use types::RequestId;
use types::ServiceName;
use types::TargetName;

use crate::action::Action;
use crate::budget::RetryBudget;
use crate::event::Event;
use crate::queue::Queue;
use crate::router::Router;
use crate::run::Phase;
use crate::run::Run;

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
    pub(crate) runs: HashMap<RequestId, Run>,
    /// Run of every caller that waits.
    pub(crate) waiting: HashMap<RequestId, RequestId>,
    /// Run of every attempt in progress; messages about others are late and dropped.
    pub(crate) attempts: HashMap<AttemptId, RequestId>,
    pub(crate) queues: HashMap<QueueKey, Queue>,
    pub(crate) budgets: HashMap<ServiceName, RetryBudget>,
    pub(crate) connections: HashMap<TargetName, Incarnation>,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    /// Something changed that may let a waiting request go.
    pub(crate) pump_due: bool,
    pub(crate) leaving: bool,
}

impl Requests {
    /// Starts empty.
    #[must_use]
    pub fn new(_entry: Incarnation, _seed: u64) -> Self {
        Self {
            runs: HashMap::new(),
            waiting: HashMap::new(),
            attempts: HashMap::new(),
            queues: HashMap::new(),
            budgets: HashMap::new(),
            connections: HashMap::new(),
            timers: BTreeSet::new(),
            pump_due: false,
            leaving: false,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: Event, router: &mut dyn Router) -> Vec<Action> {
        let mut context = Context {
            now,
            router,
            actions: Vec::new(),
        };
        let cx = &mut context;
        match event {
            Event::Submitted {
                request,
                submission,
                terms,
            } => self.submitted(cx, request, submission, terms),
            Event::CallerGone { request } => self.caller_gone(cx, request),
            Event::Consumed { request, bytes } => self.consumed(cx, request, bytes),
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
            Event::TableDone { .. } | Event::Tick => {}
            Event::Leaving => self.leaving = true,
        }
        self.run_timers(cx);
        if std::mem::take(&mut self.pump_due) {
            self.pump(cx);
        }
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

    /// Whether nothing is left to do; a stopping process may exit then.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.waiting.is_empty()
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
            }
        }
    }

    fn release_delayed(&mut self, cx: &mut Context) {
        let delayed: Vec<RequestId> = self
            .runs
            .values()
            .filter(|run| run.phase == Phase::Delayed)
            .map(|run| run.id)
            .collect();
        for id in delayed {
            self.retry(cx, id);
        }
    }
}
