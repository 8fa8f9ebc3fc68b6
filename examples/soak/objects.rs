//! Large answers in the object store: calls, faults, resends of answered orders, and checks.

use std::time::Duration;

use entry::core::Event;
use fakes::FakeObjects;
use fakes::ObjectFaults;
use fakes::target::LARGE_REQUEST_PREFIX;
use fakes::target::answer_to;
use request::claim::CLAIM_PREFIX;
use request::claim::ClaimRow;
use request::claim::EPOCH_KEY;
use request::claim::EpochRow;
use request::claim::RETAINED_ANSWER_LIMIT_BYTES;
use store::ObjectReply;
use store::ObjectRequest;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use types::Incarnation;

use crate::callers::CallerEvent;
use crate::repairs::Repair;
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::Phase;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Maximum resends of an answered large order; each must get the same answer or a refusal.
const ANSWERED_RESEND_LIMIT: u32 = 3;
/// No resend later than this after the first request, as the claim may have expired.
const ANSWERED_RESEND_LIMIT_MS: Duration = Duration::from_mins(1);
/// Probability that an entry is killed after it stores an object and before it writes the claim.
const KILL_AFTER_PUT_PERMILLE: u32 = 40;

/// Whether the answer to `body` exceeds the size limit for answers kept for resends.
pub fn exceeds_kept_answer_limit(body: &[u8]) -> bool {
    body.starts_with(LARGE_REQUEST_PREFIX)
        && answer_to(body, 0, false).len() > RETAINED_ANSWER_LIMIT_BYTES
}

/// Describes the claim rows of a transaction that refer to objects missing from the store.
pub fn unstored_objects(objects: &FakeObjects, transaction: &Transaction) -> Vec<String> {
    let values = transaction.puts.iter().filter_map(|put| put.value.as_ref());
    let claims = values.filter_map(|value| serde_json::from_str::<ClaimRow>(value).ok());
    claims
        .filter_map(|claim| claim.object)
        .filter(|object| {
            let body = objects.object(&object.key);
            !body.is_some_and(|body| object.matches(&body))
        })
        .map(|object| format!("claim refers to object {} before it is stored", object.key))
        .collect()
}

impl Simulation {
    pub fn call_objects(
        &mut self,
        at: usize,
        run: Incarnation,
        operation: u64,
        request: ObjectRequest,
    ) {
        if let ObjectRequest::Delete { key } = &request {
            self.check_deletion(key);
        }
        let objects = self.objects.clone();
        let is_disconnected = self.entries[at].is_disconnected.clone();
        let results = self.results.clone();
        self.tasks.spawn(run, async move {
            let result = objects.call(&is_disconnected, request).await;
            let event = Event::ObjectDone { operation, result };
            results
                .borrow_mut()
                .push_back((Node::Entry(at), run, Input::Entry(event)));
        });
    }

    /// May kill an entry just after it has stored an object, before the claim row refers to it.
    /// Returns whether it did.
    pub fn may_kill_after_put(&mut self, at: usize, event: &Event) -> bool {
        let is_stored = matches!(
            event,
            Event::ObjectDone {
                result: Ok(ObjectReply::Stored),
                ..
            }
        );
        if !is_stored {
            return false;
        }
        self.count("large answers stored");
        if self.phase != Phase::Faults || !self.chance(KILL_AFTER_PUT_PERMILLE) {
            return false;
        }
        self.record_fault("entry killed between object and row", &at.to_string());
        self.kill_entry(at, false);
        let delay = self.random_ms(500, 3_000);
        self.schedule_after(delay, SimEvent::Repair(Repair::Entry(at)));
        true
    }

    pub fn fault_objects(&mut self) {
        let duration = self.random_ms(1_000, 12_000);
        let faults = match self.random_index(3) {
            0 => {
                self.record_fault("object store outage", &format!("{duration:?}"));
                ObjectFaults {
                    outage: true,
                    ..ObjectFaults::default()
                }
            }
            1 => {
                let slow_ms = self.random_ms(500, 7_000);
                self.record_fault("object store slow", &format!("{duration:?} {slow_ms:?}"));
                ObjectFaults {
                    slow_ms,
                    ..ObjectFaults::default()
                }
            }
            _ => {
                let detail = format!("{duration:?}");
                self.record_fault("object replies lost, late and cut short", &detail);
                ObjectFaults {
                    lost_reply_permille: 250,
                    delayed_call_permille: 150,
                    truncated_permille: 250,
                    ..ObjectFaults::default()
                }
            }
        };
        self.objects.set_faults(faults);
        self.schedule_after(duration, SimEvent::Repair(Repair::Objects));
    }

    /// Schedules a resend of a large order that has been answered.
    pub fn resend_answered(&mut self, operation: usize) {
        let now = self.now();
        let state = &mut self.operations[operation];
        let is_due = state.answered.is_some()
            && state.body.starts_with(LARGE_REQUEST_PREFIX)
            && state.answered_resends < ANSWERED_RESEND_LIMIT;
        if !is_due {
            return;
        }
        let delay = Duration::from_millis(if self.chance(300) { 50 } else { 4_000 });
        let delay = delay + self.random_ms(0, 20_000);
        let state = &mut self.operations[operation];
        if now + delay < state.started + ANSWERED_RESEND_LIMIT_MS {
            state.answered_resends += 1;
            self.schedule_after(
                delay,
                SimEvent::Caller(CallerEvent::ResendAnswered(operation)),
            );
        }
    }

    fn epoch(&self) -> u64 {
        let row = self.table.row(EPOCH_KEY);
        row.and_then(|row| serde_json::from_str::<EpochRow>(&row.value).ok())
            .map_or(0, |row| row.epoch)
    }

    fn claim(&self, key: &str) -> Option<ClaimRow> {
        let row = self.table.row(key)?;
        serde_json::from_str(&row.value).ok()
    }

    /// Claim row that refers to an object, if it still exists.
    fn claim_of_object(&self, object: &str) -> Option<ClaimRow> {
        let claim = object.split('/').nth(1)?;
        let key = format!("{CLAIM_PREFIX}{claim}");
        self.claim(&key)
            .filter(|claim| claim.object_key(&key) == object)
    }

    fn check_deletion(&mut self, object: &str) {
        self.count_check("objects deleted only when expired");
        let epoch = self.epoch();
        let claim = self.claim_of_object(object);
        if claim.is_some_and(|claim| claim.expires_epoch >= epoch) {
            self.record_violation(format!(
                "object {object} is deleted before its claim has expired"
            ));
        }
    }

    /// Checks at the end that every object has a claim and every unexpired claim its object.
    pub fn check_objects(&mut self) {
        for key in self.objects.keys() {
            self.count_check("objects with a claim");
            if self.claim_of_object(&key).is_none() {
                self.record_violation(format!("object {key} is stored and no claim refers to it"));
            }
        }
        let scan = TableRequest::Scan {
            prefix: CLAIM_PREFIX.to_owned(),
            after: String::new(),
            limit: usize::MAX,
        };
        let TableReply::Rows(rows) = self.table.read(&scan) else {
            return;
        };
        let epoch = self.epoch();
        for row in rows {
            let Ok(claim) = serde_json::from_str::<ClaimRow>(&row.value) else {
                continue;
            };
            let Some(object) = claim.object.filter(|_| claim.expires_epoch >= epoch) else {
                continue;
            };
            self.count_check("claims with their object");
            let body = self.objects.object(&object.key);
            if !body.is_some_and(|body| object.matches(&body)) {
                self.record_violation(format!(
                    "claim {} refers to an object that is not stored",
                    row.key
                ));
            }
        }
    }

    pub fn clear_object_faults(&mut self) {
        self.objects.set_faults(ObjectFaults::default());
    }
}
