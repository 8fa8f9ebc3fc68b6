//! Checks of the invariants, and the summary of a run.

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
use crate::world::World;

/// Invariant 7: new work ends this long after a target begins to leave.
const LEAVING_MS: Duration = Duration::from_secs(5);
/// Invariant 9: a change is in force everywhere within this time.
const IN_FORCE_MS: Duration = Duration::from_secs(4);
/// Time after a fault of the table or of a process in which neither of the two is promised:
/// the longest pause between two tries of a call.
const AFTERMATH_MS: Duration = Duration::from_secs(3);
/// Operations younger than their deadline may still be answered.
const UNDER_WAY_MS: Duration = DEADLINE_MS;
/// Share of the goodput before the faults that must be reached again.
const RECOVERED_SHARE: f64 = 0.95;
/// Bound of attempts per request.
const ATTEMPTS_LIMIT: f64 = 1.2;

/// Share of operations that were answered in time, without faults and after them.
pub struct Goodput {
    pub before: f64,
    pub after: f64,
}

impl World {
    /// Share of the operations of the last `window` that were answered in time. Those that may
    /// still be answered are left out.
    pub fn goodput(&self, window: Duration) -> f64 {
        let now = self.now();
        let ops = self.ops.iter().filter(|op| {
            let age = now.saturating_duration_since(op.first);
            (UNDER_WAY_MS..=window).contains(&age)
        });
        let (mut all, mut answered) = (0_u32, 0_u32);
        for op in ops {
            all += 1;
            let in_time = |at| at <= op.first + DEADLINE_MS;
            answered += u32::from(op.answered.is_some_and(in_time));
        }
        f64::from(answered) / f64::from(all.max(1))
    }

    pub fn check_step(&mut self) {
        let now = self.now();
        let faults = self.table.faults();
        if faults.outage || faults.lost_permille > 0 {
            self.table_disturbed = now;
        }
        let found: Vec<String> = self
            .ledger
            .borrow_mut()
            .violations
            .drain(..)
            .chain(self.facts.borrow_mut().violations.drain(..))
            .chain(self.objects.take_violations())
            .collect();
        for violation in found {
            self.violation(violation);
        }
        for at in 0..self.entries.len() {
            self.check_revision(at);
            self.check_hints(at);
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
        let calm = host.undisturbed.max(self.table_disturbed) + AFTERMATH_MS;
        self.entries[at].revision = revision;
        self.check("9 never reverts");
        if revision < before {
            self.violation(format!(
                "invariant 9: entry {at} goes back from revision {before} to {revision}"
            ));
        }
        if now < calm + IN_FORCE_MS {
            return;
        }
        self.check("9 in force");
        let accepted = self.facts.borrow().revision_aged(now, IN_FORCE_MS);
        if revision < accepted {
            self.violation(format!(
                "invariant 9: entry {at} has revision {revision}, {accepted} is 4 s old"
            ));
        }
    }

    /// An agent accepts an attempt that it has not seen before.
    pub fn check_new_work(&mut self, at: usize) {
        let now = self.now();
        let host = &self.agents[at];
        let calm = host.undisturbed.max(self.table_disturbed) + AFTERMATH_MS;
        let ordered = self.facts.borrow().leaving.get(&host.name).copied();
        let entries_calm = self
            .entries
            .iter()
            .filter(|entry| entry.is_up())
            .map(|entry| entry.undisturbed + AFTERMATH_MS)
            .max()
            .unwrap_or(now);
        let listed = host.listed_leaving.map(|since| since.max(entries_calm));
        self.check("7 no new work");
        let ordered = ordered.map(|since| since.max(calm));
        let since = [ordered, listed].into_iter().flatten().min();
        if let Some(since) = since.filter(|since| now > *since + LEAVING_MS) {
            let late = now - since;
            self.violation(format!(
                "invariant 7: target {at} has been leaving for {late:?} and accepts new work"
            ));
        }
    }

    /// An engine has obeyed an order.
    pub fn check_obeyed(&mut self, at: usize, run: Incarnation, order: &Order) {
        self.check("1 orders in sequence");
        self.check("2 nothing in service");
        self.check("3 authority");
        let key = (order.target.clone(), order.number);
        let accepted = self.facts.borrow().orders.get(&key).cloned();
        if accepted.is_none_or(|accepted| accepted.fencing != order.fencing) {
            self.violation(format!(
                "invariant 3: engine {at} obeys order {} with fencing {}, which was not accepted",
                order.number, order.fencing
            ));
        }
        let runs: Vec<Incarnation> = self
            .ledger
            .borrow()
            .obeyed
            .iter()
            .filter(|(_, _, obeyed)| obeyed.target == order.target)
            .map(|(_, agent, _)| *agent)
            .collect();
        let first = runs.iter().position(|known| *known == run);
        let is_old = first.is_some_and(|first| runs[first..].iter().any(|known| *known != run));
        if is_old {
            self.violation(format!(
                "invariant 3: engine {at} obeys agent {run:x} after a later one"
            ));
        }
    }

    /// Checks what must hold when everything has come to rest.
    pub fn finish(&mut self, goodput: &Goodput) {
        self.check_ends();
        self.check_not_run();
        self.check_objects();
        self.check("recovery");
        if goodput.after < RECOVERED_SHARE * goodput.before {
            self.violation(format!(
                "goodput was {:.3} before the faults and is {:.3} after them",
                goodput.before, goodput.after
            ));
        }
        self.check("attempts");
        let attempts = self.attempts();
        if attempts >= ATTEMPTS_LIMIT {
            self.violation(format!("{attempts:.3} attempts per request"));
        }
        for at in 0..self.entries.len() {
            let open = self.entries[at]
                .core
                .as_ref()
                .map_or(0, EntryCore::in_flight);
            if open > 0 {
                self.violation(format!("entry {at} still holds {open} requests at rest"));
            }
        }
    }

    fn check_ends(&mut self) {
        let open: Vec<String> = self
            .subs
            .iter()
            .filter(|(_, sub)| sub.finals != 1 && !sub.excused)
            .map(|(request, sub)| {
                let body = String::from_utf8_lossy(&self.ops[sub.op].body);
                format!(
                    "{request:x} ({body}) ended with {} final replies",
                    sub.finals
                )
            })
            .collect();
        self.check("one final reply");
        for violation in open {
            self.violation(violation);
        }
    }

    fn check_not_run(&mut self) {
        for request in std::mem::take(&mut self.not_run) {
            self.check("5 not run, at the end");
            if self.ledger.borrow().ran.contains_key(&request) {
                self.violation(format!(
                    "invariant 5: {request:x} was run after its refusal"
                ));
            }
        }
    }

    fn attempts(&self) -> f64 {
        let count = |name: &str| self.counts.get(name).copied().unwrap_or_default();
        // Requests that were refused without an attempt would hide retries of the others.
        let tried: HashSet<RequestId> = self.sent.keys().map(|attempt| attempt.request).collect();
        let thousandths = count("dispatches") * 1_000 / (tried.len() as u64).max(1);
        f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1_000.0
    }

    pub fn summary(&self, seed: u64, steps: u32, goodput: &Goodput) -> serde_json::Value {
        let unknown_orders = self.counts.get("refused: outcome unknown");
        let kinds = [Kind::Read, Kind::Order, Kind::Keyless].map(|kind| {
            let of_kind = self.ops.iter().filter(|op| op.kind == kind);
            let answered = of_kind.clone().filter(|op| op.answered.is_some());
            json!({
                "kind": format!("{kind:?}"),
                "operations": of_kind.count(),
                "answered": answered.count(),
            })
        });
        let facts = self.facts.borrow();
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
            "attempts_per_request": self.attempts(),
            "revisions": facts.revisions.len(),
            "orders_accepted": facts.order_checks,
            "orders_obeyed": self.ledger.borrow().obeyed.len(),
            "orders_fenced": self.ledger.borrow().fenced,
            "objects_left": self.objects.keys().len(),
            "claims_left": self.table.count(CLAIM_PREFIX),
            "role_changes": {
                "asked": self.counts.get("planned orders"),
                "ordered": facts.roles.planned.len(),
                "executed": self.role_changes_executed(),
                "checked_for_last_of_class": facts.roles.checked,
            },
            "withdrawn_rows_checked": facts.withdrawn_checks,
            "conflicting_orders": self.conflicting_orders(),
            "planned_orders_accepted": facts.planned_checks,
            "commands_done": facts.commands_done,
        })
    }
}
