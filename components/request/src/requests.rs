//! State, event handling and timers of the request state machine.

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
use crate::batch::Write;
use crate::batch::WriteBatcher;
use crate::budget::RetryBudget;
use crate::event::Event;
use crate::objects::Objects;
use crate::outcomes::UnwrittenOutcome;
use crate::parts::Parts;
use crate::queue::Queue;
use crate::replay::ReplayLimiter;
use crate::retained::MemoryBudget;
use crate::retained::RETAINED_LIMIT_BYTES;
use crate::router::Router;
use crate::run::Phase;
use crate::run::Run;
use crate::tokens::Tokens;

/// What to do when a timer expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Refuse a caller whose deadline has passed.
    Deadline(RequestId),
    /// Retry an attempt whose connection was not restored.
    Reconnect(AttemptId),
    /// Ask the router again for queued runs.
    DispatchQueued,
    /// Check the retry budget again for delayed runs.
    RetryBudget,
    /// Check runs that wait for the end of a trial again.
    PartTrial,
    /// Refuse a run whose call to the table or the object store timed out.
    StoreTimeout(RequestId),
    /// Ask an agent whether it started another entry's attempt.
    SendQuery(AttemptId),
    /// Give up a query that the agent did not answer.
    QueryTimeout(AttemptId),
    /// End a run that still has no callers.
    OrphanTimeout(RequestId),
    /// Send table reads and commits that are due.
    TableFlush,
    /// Retry the outcome writes that failed.
    OutcomeRetry,
    /// Resume object writes after a backoff.
    ObjectRetry,
}

/// Each profile of a service has a queue of its own.
pub(crate) type QueueKey = (ServiceName, ProfileName);

/// State that exists while one event is handled.
pub(crate) struct Context<'a> {
    pub now: Instant,
    pub router: &'a mut dyn Router,
    pub actions: Vec<Action>,
}

/// State machine of all requests at one entry.
pub struct Requests {
    pub(crate) runs: BTreeMap<RequestId, Run>,
    /// Run of every request whose caller waits for an answer.
    pub(crate) runs_by_caller: BTreeMap<RequestId, RequestId>,
    /// Run of every attempt in progress; messages about other attempts are late and ignored.
    pub(crate) runs_by_attempt: BTreeMap<AttemptId, RequestId>,
    /// Run of every claim key in use; resends join it.
    pub(crate) runs_by_key: BTreeMap<String, RequestId>,
    /// Runs that query an agent, by the other entry's attempt that they query it about.
    pub(crate) agent_queries: BTreeMap<AttemptId, RequestId>,
    pub(crate) batcher: WriteBatcher,
    pub(crate) pending_reads: Vec<RequestId>,
    pub(crate) reads_in_flight: BTreeMap<u64, Vec<RequestId>>,
    /// Outcomes that may not be in the table yet, by claim key.
    pub(crate) unwritten_outcomes: BTreeMap<String, UnwrittenOutcome>,
    pub(crate) outcomes_to_retry: Vec<Write>,
    pub(crate) objects: Objects,
    pub(crate) retained_budget: MemoryBudget,
    pub(crate) replays: ReplayLimiter,
    pub(crate) tokens: Tokens,
    pub(crate) entry: Incarnation,
    /// Number of the last call to the table or the object store.
    pub(crate) last_operation: u64,
    pub(crate) queues: BTreeMap<QueueKey, Queue>,
    pub(crate) retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) parts: Parts,
    pub(crate) connections: BTreeMap<TargetName, Incarnation>,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    /// Time of the `DispatchQueued` timer that is set.
    pub(crate) dispatch_retry_at: Option<Instant>,
    /// Time at which the pending reads are sent.
    pub(crate) pending_reads_due: Option<Instant>,
    /// Something changed that may allow a queued run to be dispatched.
    pub(crate) is_dispatch_due: bool,
    pub(crate) leaving: bool,
}

impl Requests {
    /// Starts without requests. `seed` determines tokens and generated keys, and must be different
    /// for each start of a process.
    #[must_use]
    pub fn new(entry: Incarnation, seed: u64) -> Self {
        Self {
            runs_by_key: BTreeMap::new(),
            agent_queries: BTreeMap::new(),
            batcher: WriteBatcher::default(),
            pending_reads: Vec::new(),
            reads_in_flight: BTreeMap::new(),
            unwritten_outcomes: BTreeMap::new(),
            outcomes_to_retry: Vec::new(),
            objects: Objects::default(),
            retained_budget: MemoryBudget::new(RETAINED_LIMIT_BYTES),
            replays: ReplayLimiter::default(),
            tokens: Tokens::new(entry, seed),
            entry,
            last_operation: 0,
            runs: BTreeMap::new(),
            runs_by_caller: BTreeMap::new(),
            runs_by_attempt: BTreeMap::new(),
            queues: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            parts: Parts::new(seed),
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            dispatch_retry_at: None,
            pending_reads_due: None,
            is_dispatch_due: false,
            leaving: false,
        }
    }

    /// Targets of attempts in progress, of claims being written and of queries to agents.
    #[must_use]
    pub fn targets_in_use(&self) -> BTreeSet<TargetName> {
        let of = |run: &Run| match (&run.attempt, &run.phase) {
            (Some(attempt), _) => Some(attempt.target.clone()),
            (None, Phase::Claiming(target, _)) => Some(target.clone()),
            (None, Phase::QueryingAgent(row)) => Some(row.target.clone()),
            (None, _) => None,
        };
        self.runs.values().filter_map(of).collect()
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event, router: &mut dyn Router) -> Vec<Action> {
        let mut context = Context {
            now,
            router,
            actions: Vec::new(),
        };
        let cx = &mut context;
        // Timers run first, so that nothing is dispatched or relayed after its deadline.
        self.run_timers(cx);
        self.tick_parts(cx);
        match event {
            Event::Submitted {
                request,
                submission,
                service_config,
            } => self.submitted(cx, request, submission, service_config),
            Event::CallerDisconnected { request } => {
                self.replays.release(request);
                self.caller_disconnected(cx, request);
            }
            Event::Consumed { request, bytes } => {
                self.replays.consumed(request, bytes);
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
            Event::IncarnationEnded {
                target,
                incarnation,
            } => self.incarnation_gone(cx, &target, incarnation),
            Event::TableDone { operation, result } => self.table_done(cx, operation, result),
            Event::ObjectDone { operation, result } => self.object_done(cx, operation, result),
            Event::Tick => {}
            Event::Leaving => self.leaving = true,
        }
        if std::mem::take(&mut self.is_dispatch_due) {
            self.dispatch_queued(cx);
        }
        self.flush_table(cx);
        self.flush_objects(cx);
        context.actions
    }

    /// Time at which `Event::Tick` is needed next; `None` while no timer is set.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Number of requests that were accepted and have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.runs_by_caller.len()
    }

    /// Whether every request has ended. Outcomes may still have to be written to the table; until
    /// then, a resend gets them from the agent.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.runs.is_empty() && self.runs_by_caller.is_empty()
    }

    /// Whether every request has ended and every outcome is written, so that the process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
            && self.runs_by_caller.is_empty()
            && self.unwritten_outcomes.is_empty()
            && self.outcomes_to_retry.is_empty()
            && self.batcher.is_empty()
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
                Timer::Reconnect(attempt) => self.reconnect_timed_out(cx, attempt),
                Timer::DispatchQueued => self.is_dispatch_due = true,
                Timer::RetryBudget => self.retry_delayed(cx),
                Timer::PartTrial => self.recheck_trials(cx),
                Timer::StoreTimeout(id) => self.store_call_timed_out(cx, id),
                Timer::SendQuery(attempt) => self.send_query(cx, attempt),
                Timer::QueryTimeout(attempt) => {
                    if let Some(&id) = self.agent_queries.get(&attempt) {
                        self.query_timed_out(cx, id);
                    }
                }
                Timer::OrphanTimeout(id) => self.orphan_timed_out(cx, id),
                // Calls that are due are sent at the end of every event.
                Timer::TableFlush | Timer::ObjectRetry => {}
                Timer::OutcomeRetry => self.retry_outcomes(cx.now),
            }
        }
    }

    fn retry_delayed(&mut self, cx: &mut Context) {
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
