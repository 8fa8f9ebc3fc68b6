//! Large answers in the object store: calls, faults, resends after the answer, and checks.

use std::time::Duration;

use entry::core::Event;
use fakes::FakeObjects;
use fakes::ObjectFaults;
use fakes::target::LARGE_ORDER;
use fakes::target::answer_to;
use request::claim::CLAIM_PREFIX;
use request::claim::ClaimRow;
use request::claim::EPOCH_KEY;
use request::claim::EpochRow;
use request::claim::KEPT_ANSWER_LIMIT_BYTES;
use store::ObjectReply;
use store::ObjectRequest;
use store::TableReply;
use store::TableRequest;
use store::Transaction;
use types::Incarnation;

use crate::callers::CallerEvent;
use crate::repair::Repair;
use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::Phase;
use crate::world::World;

/// Resends of a large order that was answered: each must get the same answer or a true refusal.
const AGAIN_LIMIT: u32 = 3;
/// No resend after this time, since the claim may have expired.
const AGAIN_MS: Duration = Duration::from_mins(1);
/// Chance of a kill of an entry that has stored an object and not yet named it.
const KILL_AFTER_PUT_PERMILLE: u32 = 40;

/// Whether the answer to a body is above what is kept for resends.
pub fn is_not_kept(body: &[u8]) -> bool {
    body.starts_with(LARGE_ORDER) && answer_to(body, 0, false).len() > KEPT_ANSWER_LIMIT_BYTES
}

/// Claim rows of a transaction that name objects which are not stored.
pub fn unstored(objects: &FakeObjects, transaction: &Transaction) -> Vec<String> {
    let values = transaction.puts.iter().filter_map(|put| put.value.as_ref());
    let claims = values.filter_map(|value| serde_json::from_str::<ClaimRow>(value).ok());
    claims
        .filter_map(|claim| claim.object)
        .filter(|object| {
            let body = objects.object(&object.key);
            !body.is_some_and(|body| object.matches(&body))
        })
        .map(|object| format!("claim names {} before it is stored", object.key))
        .collect()
}

impl World {
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
        let cut = self.entries[at].cut.clone();
        let results = self.results.clone();
        self.tasks.spawn(run, async move {
            let result = objects.call(&cut, request).await;
            let event = Event::ObjectDone { operation, result };
            results
                .borrow_mut()
                .push_back((Node::Entry(at), run, Input::Entry(event)));
        });
    }

    /// Kills an entry that would now name an object in its claim row. Returns whether it did.
    pub fn killed_after_put(&mut self, at: usize, event: &Event) -> bool {
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
        self.did("entry killed between object and row", &at.to_string());
        self.kill_entry(at, false);
        let delay = self.millis(500, 3_000);
        self.after(delay, Happening::Repair(Repair::Entry(at)));
        true
    }

    pub fn fault_objects(&mut self) {
        let time = self.millis(1_000, 12_000);
        let faults = match self.pick(3) {
            0 => {
                self.did("object store outage", &format!("{time:?}"));
                ObjectFaults {
                    outage: true,
                    ..ObjectFaults::default()
                }
            }
            1 => {
                let slow_ms = self.millis(500, 7_000);
                self.did("object store slow", &format!("{time:?} {slow_ms:?}"));
                ObjectFaults {
                    slow_ms,
                    ..ObjectFaults::default()
                }
            }
            _ => {
                let detail = format!("{time:?}");
                self.did("object replies lost, late and cut short", &detail);
                ObjectFaults {
                    lost_reply_permille: 250,
                    late_permille: 150,
                    cut_short_permille: 250,
                    ..ObjectFaults::default()
                }
            }
        };
        self.objects.set_faults(faults);
        self.after(time, Happening::Repair(Repair::Objects));
    }

    /// Sends a large order again although it was answered.
    pub fn ask_again(&mut self, op: usize) {
        let now = self.now();
        let state = &mut self.ops[op];
        let is_due = state.answered.is_some()
            && state.body.starts_with(LARGE_ORDER)
            && state.again < AGAIN_LIMIT;
        if !is_due {
            return;
        }
        let delay = Duration::from_millis(if self.chance(300) { 50 } else { 4_000 });
        let delay = delay + self.millis(0, 20_000);
        let state = &mut self.ops[op];
        if now + delay < state.first + AGAIN_MS {
            state.again += 1;
            self.after(delay, Happening::Caller(CallerEvent::Again(op)));
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

    /// Claim of an object, if there still is one.
    fn claim_of(&self, object: &str) -> Option<ClaimRow> {
        let claim = object.split('/').nth(1)?;
        let key = format!("{CLAIM_PREFIX}{claim}");
        self.claim(&key)
            .filter(|claim| claim.object_key(&key) == object)
    }

    fn check_deletion(&mut self, object: &str) {
        self.check("objects deleted only when expired");
        let epoch = self.epoch();
        let claim = self.claim_of(object);
        if claim.is_some_and(|claim| claim.expires_epoch >= epoch) {
            self.violation(format!("{object} is deleted before its claim has expired"));
        }
    }

    /// Checks at rest that every object has a claim and every claim its object.
    pub fn check_objects(&mut self) {
        for key in self.objects.keys() {
            self.check("objects with a claim");
            if self.claim_of(&key).is_none() {
                self.violation(format!("{key} is stored and no claim leads to it"));
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
            self.check("claims with their object");
            let body = self.objects.object(&object.key);
            if !body.is_some_and(|body| object.matches(&body)) {
                self.violation(format!("{} names an object that is not there", row.key));
            }
        }
    }

    pub fn heal_objects(&mut self) {
        self.objects.set_faults(ObjectFaults::default());
    }
}
