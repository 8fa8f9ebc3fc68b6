//! Calls: admission, routing, attempts, resends and their end.

use std::time::Duration;

use planner::Ended;
use planner::Job;
use rand::RngExt;
use request::Choice;
use request::Need;
use request::Settlement;
use types::AttemptId;
use types::Loaded;
use types::ServiceKind;
use types::TargetName;

use super::SERVICE;
use super::World;
use super::call_of;
use super::event::Event;
use super::event::News;
use super::index;
use crate::outcome::Outcome;
use crate::policy::Roleplan;
use crate::policy::Routing;
use crate::scenario::PIECE_TOKENS;
use crate::scenario::Sub;

const QUEUE_RETRY: Duration = Duration::from_millis(20);
const ATTEMPT_LIMIT: u32 = 3;
/// Careless callers send a refused or slow request again up to this many times.
const RESENDS: u32 = 3;

impl World<'_> {
    pub(super) fn arrive(&mut self, call: usize) {
        let deadline = self.calls[call].deadline;
        self.after(deadline.saturating_sub(self.now), Event::Deadline(call));
        self.progress[call].accepted = self.now;
        self.watch_patience(call);
        self.submit(call);
    }

    /// Routes a call that has just arrived or has to be routed again.
    pub(super) fn submit(&mut self, call: usize) {
        let (now, entry) = (self.instant(), self.calls[call].entry);
        let (class, priority) = (self.calls[call].class, self.class(call).priority);
        let deadline = self.wanted_by(call);
        let queue = &mut self.entries[entry].queue;
        if !queue.push(now, call, class, priority, deadline) {
            self.refuse(call);
            return;
        }
        self.poll(entry);
    }

    /// Returns whether the call was sent or refused; otherwise it has to wait.
    pub(super) fn try_route(&mut self, call: usize) -> bool {
        let entry = self.calls[call].entry;
        let wanted_by = self.wanted_by(call);
        let need = Need {
            deadline: wanted_by,
            wanted_by: self.waits_until(call),
            ..self.need(call)
        };
        let now = self.instant();
        let failed = self.progress[call].failed.clone();
        let choice = self.entries[entry]
            .routing
            .router()
            .choose(now, &need, &failed);
        match choice {
            Choice::Target {
                target, finish_ms, ..
            } => {
                let class = self.calls[call].class;
                self.entries[entry]
                    .queue
                    .depart(now, call, class, finish_ms);
                self.dispatch(call, &target, &need);
                true
            }
            Choice::Wait { .. } => false,
            Choice::Infeasible { retry_ms } => {
                let finish = wanted_by
                    .saturating_duration_since(now)
                    .saturating_add(retry_ms);
                let class = self.calls[call].class;
                self.entries[entry].queue.infeasible(class, finish);
                self.leave_queue(call);
                self.refuse(call);
                true
            }
            Choice::Never => {
                self.leave_queue(call);
                self.refuse(call);
                true
            }
        }
    }

    pub(super) fn dispatch(&mut self, call: usize, target: &TargetName, need: &Need) {
        let now = self.instant();
        let entry = self.calls[call].entry;
        let engine = index(target);
        let progress = &mut self.progress[call];
        progress.attempts += 1;
        let attempt = AttemptId {
            request: call as u128,
            number: progress.attempts,
        };
        progress.attempt = Some((attempt, engine));
        let routing = &mut self.entries[entry].routing;
        routing.router().dispatched(now, target, attempt, need);
        if entry == 0 {
            let size = match routing {
                Routing::Ours(fleet) => fleet.size_of(attempt).unwrap_or_default(),
                Routing::Simple(_) => routing::Size::default(),
            };
            match &mut self.roleplan {
                Roleplan::None => {}
                Roleplan::Ours(planner) => {
                    let until = need.wanted_by.unwrap_or(need.deadline).min(need.deadline);
                    let job = Job::new(size, until.saturating_duration_since(now));
                    planner.dispatched(now, attempt, &job);
                }
                Roleplan::Bare(bare) => {
                    let (prefill, decode) = (size.prefill_tokens, size.decode_tokens);
                    let class = bare.mix.class(prefill, decode);
                    bare.mix.add(now, class, prefill, decode);
                }
            }
        }
        self.record.attempts += 1;
        self.after(
            self.distance(entry, engine),
            Event::AtEngine { attempt, engine },
        );
    }

    pub(super) fn news(&mut self, entry: usize, engine: usize, news: News) {
        let (attempt, settlement) = match news {
            News::FirstToken(attempt) => {
                if self.is_current(attempt) {
                    let delay = self.now.saturating_sub(self.calls[call_of(attempt)].at);
                    let first = delay + 2 * self.scenario.to_clients;
                    self.record.first_token(call_of(attempt), first);
                }
                return;
            }
            News::Ended(attempt, usage) => (attempt, Settlement::Answered(usage)),
            News::Failed(attempt) => (attempt, Settlement::Failed),
            News::Rejected(attempt) => (attempt, Settlement::Rejected),
        };
        if !self.is_current(attempt) {
            return;
        }
        self.settle(entry, engine, attempt, settlement);
        let call = call_of(attempt);
        if let Settlement::Answered(usage) = settlement {
            let shared = self.class(call).shared_pieces * PIECE_TOKENS;
            self.record.shared_tokens += u64::from(shared);
            self.record.cached_tokens += u64::from(usage.cached_tokens);
            let (now, class) = (self.instant(), self.calls[call].class);
            let after = self.now.saturating_sub(self.progress[call].accepted);
            self.entries[entry].queue.answered(now, class, after);
            self.end(call, Outcome::Answered);
        } else if self.progress[call].attempts >= ATTEMPT_LIMIT {
            self.end(call, Outcome::Failed);
        } else {
            let name = self.hosts[engine].target.name.clone();
            self.progress[call].failed.push(name);
            self.submit(call);
        }
        self.poll(entry);
    }

    pub(super) fn settle(
        &mut self,
        entry: usize,
        engine: usize,
        attempt: AttemptId,
        how: Settlement,
    ) {
        let now = self.instant();
        let name = self.hosts[engine].target.name.clone();
        let router = self.entries[entry].routing.router();
        router.settled(now, &name, attempt, how);
        self.progress[call_of(attempt)].attempt = None;
        if entry == 0
            && let Roleplan::Ours(planner) = &mut self.roleplan
        {
            let ended = match how {
                Settlement::Answered(usage) => Ended::Answered(usage),
                Settlement::Rejected | Settlement::Failed => Ended::TriedAgain,
                Settlement::Cancelled => Ended::Unserved,
            };
            planner.settled(now, attempt, ended);
        }
    }

    /// Tries the waiting calls in order.
    pub(super) fn poll(&mut self, entry: usize) {
        // A class that finds every target full does not hold up the others.
        let mut blocked = [false; 3];
        let now = self.instant();
        while let Some((call, class)) = self.entries[entry].queue.next(now, blocked) {
            if self.try_route(call) {
                continue;
            }
            blocked[class] = true;
            for call in self.entries[entry].queue.overdue(now, class) {
                self.leave_queue(call);
                self.refuse(call);
            }
        }
        if !self.entries[entry].queue.is_empty() {
            self.poll_later(entry);
        }
    }

    fn wanted_by(&mut self, call: usize) -> std::time::Instant {
        let now = self.instant();
        let (entry, class) = (self.calls[call].entry, self.calls[call].class);
        let deadline = self.base + self.calls[call].deadline;
        let accepted = self.base + self.progress[call].accepted;
        let queue = &mut self.entries[entry].queue;
        queue.wanted_by(now, class, accepted, deadline)
    }

    fn waits_until(&mut self, call: usize) -> Option<std::time::Instant> {
        let now = self.instant();
        let (entry, class) = (self.calls[call].entry, self.calls[call].class);
        let accepted = self.base + self.progress[call].accepted;
        self.entries[entry].queue.waits_until(now, class, accepted)
    }

    fn leave_queue(&mut self, call: usize) {
        let (now, class) = (self.instant(), self.calls[call].class);
        let entry = self.calls[call].entry;
        self.entries[entry].queue.remove(now, call, class);
    }

    pub(super) fn refuse(&mut self, call: usize) {
        self.count_refused(call);
        let waited = self.now.saturating_sub(self.progress[call].accepted);
        self.record.refusal_waits.push(waited);
        if self.sub == Sub::Resends && self.progress[call].resends < RESENDS {
            self.progress[call].resends += 1;
            let resend = self.progress[call].resends;
            let pause = Duration::from_millis(self.rng.random_range(50..500));
            self.after(pause, Event::Patience { call, resend });
            return;
        }
        self.end(call, Outcome::Refused);
    }

    /// Counts a refused call as demand.
    fn count_refused(&mut self, call: usize) {
        let (now, need) = (self.instant(), self.need(call));
        let until = self.waits_until(call).unwrap_or(need.deadline);
        let within_ms = until.min(need.deadline).saturating_duration_since(now);
        let entry = self.calls[call].entry;
        let Routing::Ours(fleet) = &self.entries[entry].routing else {
            return;
        };
        if entry != 0 {
            return;
        }
        let size = fleet.size_for(&need);
        let (prefill, decode) = (size.prefill_tokens, size.decode_tokens);
        match &mut self.roleplan {
            Roleplan::None => {}
            Roleplan::Ours(planner) => planner.refused(now, &Job::new(size, within_ms)),
            Roleplan::Bare(bare) => {
                let class = bare.mix.class(prefill, decode);
                bare.mix.add(now, class, prefill, decode);
            }
        }
    }

    pub(super) fn watch_patience(&mut self, call: usize) {
        if self.sub == Sub::Resends {
            let resend = self.progress[call].resends + 1;
            let patience = self.class(call).patience;
            self.after(patience, Event::Patience { call, resend });
        }
    }

    /// A careless caller hangs up and sends the same request again.
    pub(super) fn lose_patience(&mut self, call: usize, resend: u32) {
        let progress = &mut self.progress[call];
        let again_after_refusal = progress.resends == resend;
        let too_late = progress.resends >= resend && !again_after_refusal;
        if progress.done || too_late || resend > RESENDS {
            return;
        }
        progress.resends = resend;
        progress.attempts = 0;
        progress.failed.clear();
        let accepted = std::mem::replace(&mut progress.accepted, self.now);
        if !again_after_refusal {
            let (now, class) = (self.instant(), self.calls[call].class);
            let after = self.now.saturating_sub(accepted);
            let entry = self.calls[call].entry;
            self.entries[entry].queue.hung_up(now, class, after);
        }
        self.drop_work(call);
        self.record.resends += 1;
        self.watch_patience(call);
        self.submit(call);
    }

    pub(super) fn end(&mut self, call: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.progress[call].done, true) {
            return;
        }
        self.drop_work(call);
        self.record.ended(call, self.now, outcome);
    }

    /// Cancels what is left of a call.
    pub(super) fn drop_work(&mut self, call: usize) {
        self.leave_queue(call);
        let entry = self.calls[call].entry;
        if let Some((attempt, engine)) = self.progress[call].attempt {
            self.settle(entry, engine, attempt, Settlement::Cancelled);
            let delay = self.distance(entry, engine);
            self.after(delay, Event::CancelAtEngine { attempt, engine });
        }
    }

    pub(super) fn need(&self, call: usize) -> Need {
        let spec = self.class(call);
        let call = &self.calls[call];
        Need {
            service: SERVICE.into(),
            kind: ServiceKind::Model,
            needs: Loaded::default(),
            priority: spec.priority,
            prompt_tokens: call.prompt_tokens,
            max_output_tokens: call.max_output_tokens,
            prefixes: call.prefixes.clone(),
            deadline: self.base + call.deadline,
            wanted_by: None,
            concurrency_limit: spec.concurrency_limit,
            cache_affinity: 1.0,
        }
    }

    pub(super) fn class(&self, call: usize) -> &crate::scenario::Class {
        &self.scenario.classes[self.calls[call].class]
    }

    pub(super) fn is_current(&self, attempt: AttemptId) -> bool {
        let progress = &self.progress[call_of(attempt)];
        progress
            .attempt
            .is_some_and(|(current, _)| current == attempt)
    }

    pub(super) fn poll_later(&mut self, entry: usize) {
        if !std::mem::replace(&mut self.entries[entry].polling, true) {
            self.after(QUEUE_RETRY, Event::Poll(entry));
        }
    }
}
