//! Invariant checks and the JSON summary of a run.

use std::collections::HashSet;
use std::time::Duration;

use entry::core::EntryCore;
use request::claim::CLAIM_PREFIX;
use serde_json::json;
use types::Incarnation;
use types::Order;
use types::RequestId;

use crate::callers::Kind;
use crate::setup::DEADLINE_MS;
use crate::simulation::Simulation;

/// Invariant 7: a leaving target accepts no new work after this time.
const NEW_WORK_LIMIT_MS: Duration = Duration::from_secs(5);
/// Invariant 9: every entry applies a configuration change within this time.
const APPLY_LIMIT_MS: Duration = Duration::from_secs(4);
/// Time after a table or process fault during which neither limit applies: the longest pause
/// between two attempts of a table call.
const RETRY_PAUSE_MS: Duration = Duration::from_secs(3);
/// Operations younger than this may still be answered and are left out of the goodput.
const PENDING_MS: Duration = DEADLINE_MS;
/// Minimum goodput after the faults, as a share of the goodput before them.
const RECOVERED_SHARE: f64 = 0.95;
/// Upper limit of the mean attempts per request.
const ATTEMPTS_PER_REQUEST_LIMIT: f64 = 1.2;

/// Share of operations that were answered in time, before the faults and after them.
pub struct Goodput {
    pub before: f64,
    pub after: f64,
}

impl Simulation {
    /// Share of the operations started within the last `window` that were answered in time.
    /// Operations whose deadline has not passed are left out.
    pub fn goodput(&self, window: Duration) -> f64 {
        let now = self.now();
        let operations = self.operations.iter().filter(|operation| {
            let age = now.saturating_duration_since(operation.started);
            (PENDING_MS..=window).contains(&age)
        });
        let (mut all, mut answered) = (0_u32, 0_u32);
        for operation in operations {
            all += 1;
            let is_in_time = |at| at <= operation.started + DEADLINE_MS;
            answered += u32::from(operation.answered.is_some_and(is_in_time));
        }
        f64::from(answered) / f64::from(all.max(1))
    }

    pub fn check_step(&mut self) {
        let now = self.now();
        let faults = self.table.faults();
        if faults.outage || faults.lost_call_permille > 0 {
            self.last_table_fault = now;
        }
        let found: Vec<String> = self
            .execution_log
            .borrow_mut()
            .violations
            .drain(..)
            .chain(self.commits.borrow_mut().violations.drain(..))
            .chain(self.objects.take_violations())
            .collect();
        for violation in found {
            self.record_violation(violation);
        }
        for at in 0..self.entries.len() {
            self.check_revision(at);
            self.check_cache_hints(at);
        }
    }

    fn check_revision(&mut self, at: usize) {
        let now = self.now();
        let host = &self.entries[at];
        let Some(core) = host.core.as_ref().filter(|_| !host.is_paused(now)) else {
            return;
        };
        let revision = core.snapshot().map_or(0, |snapshot| snapshot.revision());
        let before = host.revision;
        let stable_since = host.stable_since.max(self.last_table_fault) + RETRY_PAUSE_MS;
        self.entries[at].revision = revision;
        self.count_check("9 never reverts");
        if revision < before {
            self.record_violation(format!(
                "invariant 9: entry {at} reverts from revision {before} to {revision}"
            ));
        }
        if now < stable_since + APPLY_LIMIT_MS {
            return;
        }
        self.count_check("9 in force");
        let accepted = self
            .commits
            .borrow()
            .latest_revision_older_than(now, APPLY_LIMIT_MS);
        if revision < accepted {
            self.record_violation(format!(
                "invariant 9: entry {at} has revision {revision}; {accepted} was committed 4 s ago"
            ));
        }
    }

    /// Checks invariant 7 when an agent accepts an attempt for the first time.
    pub fn check_accepted_attempt(&mut self, at: usize) {
        let now = self.now();
        let host = &self.agents[at];
        let stable_since = host.stable_since.max(self.last_table_fault) + RETRY_PAUSE_MS;
        let ordered = self.commits.borrow().leaving.get(&host.name).copied();
        let entries_stable_since = self
            .entries
            .iter()
            .filter(|entry| entry.is_up())
            .map(|entry| entry.stable_since + RETRY_PAUSE_MS)
            .max()
            .unwrap_or(now);
        let listed = host
            .listed_leaving_since
            .map(|since| since.max(entries_stable_since));
        self.count_check("7 no new work");
        let ordered = ordered.map(|since| since.max(stable_since));
        let since = [ordered, listed].into_iter().flatten().min();
        if let Some(since) = since.filter(|since| now > *since + NEW_WORK_LIMIT_MS) {
            let late = now - since;
            self.record_violation(format!(
                "invariant 7: target {at} has been leaving for {late:?} and accepts new work"
            ));
        }
    }

    /// Checks that an order executed by an engine was committed and came from the latest agent run.
    pub fn check_executed_order(&mut self, at: usize, run: Incarnation, order: &Order) {
        self.count_check("1 orders in sequence");
        self.count_check("2 nothing in service");
        self.count_check("3 authority");
        let key = (order.target.clone(), order.number);
        let accepted = self.commits.borrow().orders.get(&key).cloned();
        if accepted.is_none_or(|accepted| accepted.fencing != order.fencing) {
            self.record_violation(format!(
                "invariant 3: engine {at} executes uncommitted order {} with fencing {}",
                order.number, order.fencing
            ));
        }
        let runs: Vec<Incarnation> = self
            .execution_log
            .borrow()
            .executed_orders
            .iter()
            .filter(|(_, _, executed_orders)| executed_orders.target == order.target)
            .map(|(_, agent, _)| *agent)
            .collect();
        let first = runs.iter().position(|known| *known == run);
        let is_old = first.is_some_and(|first| runs[first..].iter().any(|known| *known != run));
        if is_old {
            self.record_violation(format!(
                "invariant 3: engine {at} executes an order of agent run {run:x} after a later run"
            ));
        }
    }

    /// Checks that hold once all requests have ended.
    pub fn check_final_state(&mut self, goodput: &Goodput) {
        self.check_final_replies();
        self.check_not_run();
        self.check_objects();
        self.count_check("recovery");
        if goodput.after < RECOVERED_SHARE * goodput.before {
            self.record_violation(format!(
                "goodput was {:.3} before the faults and is {:.3} after them",
                goodput.before, goodput.after
            ));
        }
        self.count_check("attempts");
        let attempts = self.attempts_per_request();
        if attempts >= ATTEMPTS_PER_REQUEST_LIMIT {
            self.record_violation(format!("{attempts:.3} attempts per request"));
        }
        for at in 0..self.entries.len() {
            let open = self.entries[at]
                .core
                .as_ref()
                .map_or(0, EntryCore::in_flight);
            if open > 0 {
                self.record_violation(format!(
                    "entry {at} holds {open} requests at the end of the run"
                ));
            }
        }
    }

    fn check_final_replies(&mut self) {
        let open: Vec<String> = self
            .sent_requests
            .iter()
            .filter(|(_, sent)| sent.final_replies != 1 && !sent.is_closed)
            .map(|(request, sent)| {
                let body = String::from_utf8_lossy(&self.operations[sent.operation].body);
                format!(
                    "{request:x} ({body}) ended with {} final replies",
                    sent.final_replies
                )
            })
            .collect();
        self.count_check("one final reply");
        for violation in open {
            self.record_violation(violation);
        }
    }

    fn check_not_run(&mut self) {
        for request in std::mem::take(&mut self.refused_not_run) {
            self.count_check("5 not run, at the end");
            if self
                .execution_log
                .borrow()
                .runs_by_request
                .contains_key(&request)
            {
                self.record_violation(format!(
                    "invariant 5: {request:x} was run after its refusal"
                ));
            }
        }
    }

    fn attempts_per_request(&self) -> f64 {
        let count = |name: &str| self.counts.get(name).copied().unwrap_or_default();
        // Requests refused without an attempt are left out; they would mask the retries of others.
        let tried: HashSet<RequestId> = self
            .dispatches
            .keys()
            .map(|attempt| attempt.request)
            .collect();
        let thousandths = count("dispatches") * 1_000 / (tried.len() as u64).max(1);
        f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1_000.0
    }

    pub fn summary(&self, seed: u64, steps: u32, goodput: &Goodput) -> serde_json::Value {
        let unknown_orders = self.counts.get("refused: outcome unknown");
        let kinds = [Kind::Read, Kind::Order, Kind::Keyless].map(|kind| {
            let of_kind = self
                .operations
                .iter()
                .filter(|operation| operation.kind == kind);
            let answered = of_kind
                .clone()
                .filter(|operation| operation.answered.is_some());
            json!({
                "kind": format!("{kind:?}"),
                "operations": of_kind.count(),
                "answered": answered.count(),
            })
        });
        let commits = self.commits.borrow();
        json!({
            "seed": seed,
            "steps": steps,
            "violations": self.violations.len(),
            "faults": self.faults,
            "checked": self.checked,
            "counts": self.counts,
            "operations": kinds,
            "unknown": unknown_orders,
            "goodput_before": goodput.before,
            "goodput_after": goodput.after,
            "attempts_per_request": self.attempts_per_request(),
            "revisions": commits.revisions.len(),
            "orders_accepted": commits.checked_orders,
            "orders_obeyed": self.execution_log.borrow().executed_orders.len(),
            "orders_fenced": self.execution_log.borrow().fenced_orders,
            "objects_left": self.objects.keys().len(),
            "claims_left": self.table.count(CLAIM_PREFIX),
            "role_changes": {
                "asked": self.counts.get("planned orders"),
                "ordered": commits.roles.planned.len(),
                "executed": self.role_changes_executed(),
                "checked_for_last_of_class": commits.roles.checked,
            },
            "withdrawn_rows_checked": commits.checked_withdrawn_rows,
            "conflicting_orders": self.conflicting_orders(),
            "planned_orders_accepted": commits.checked_planned_orders,
            "commands_done": commits.succeeded_commands,
        })
    }
}
