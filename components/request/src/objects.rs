//! Stores large answers in the object store, and reads them for resends.
//!
//! An answer is stored before its claim row becomes `done`, so a row never refers to an object that
//! was not stored. Until the row is written, this entry answers resends from memory, and other
//! entries get the answer from the agent, which retains it as well.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use store::ObjectReply;
use store::ObjectRequest;
use store::StoreError;
use types::RefusalReason;
use types::RequestId;

use crate::action::Action;
use crate::batch::Write;
use crate::claim::StoredObject;
use crate::refusal::RETRY_MS;
use crate::refusal::RefusalCause;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::retained::RetainedBody;
use crate::run::Phase;

/// Time-out for reading a stored answer: 1 MiB at 2 Mbit/s.
const FETCH_TIMEOUT_MS: Duration = Duration::from_secs(5);
/// Maximum number of concurrent writes and deletions. One entry must not use up the store's several
/// hundred writes a second while it catches up after an outage.
const PUT_LIMIT: usize = 4;
/// Maximum number of concurrent reads, which bounds their memory to 8 MiB.
const GET_LIMIT: usize = 8;
/// Backoff after the first failed write; doubles up to `MAX_BACKOFF_MS`.
const MIN_BACKOFF_MS: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_BACKOFF_MS: Duration = Duration::from_secs(8);

/// An answer to be stored, and the claim write that refers to it afterwards.
pub(crate) struct PendingPut {
    pub write: Write,
    pub body: Rc<RetainedBody>,
    /// Time from which the claim may have expired; storing is not retried after it.
    pub retry_until: Instant,
}

enum Call {
    Put(Box<PendingPut>),
    Get(RequestId),
    Delete(String),
}

/// Calls to the object store that are pending or in flight.
#[derive(Default)]
pub(crate) struct Objects {
    puts: VecDeque<PendingPut>,
    gets: VecDeque<RequestId>,
    deletes: VecDeque<String>,
    in_flight: BTreeMap<u64, Call>,
    backoff_ms: Duration,
    /// No write or deletion is sent before this time.
    backoff_until: Option<Instant>,
}

impl Objects {
    /// Queues an answer to be stored.
    pub fn queue_put(&mut self, pending: PendingPut) {
        self.puts.push_back(pending);
    }

    /// Queues the deletion of an object that no claim refers to.
    pub fn queue_delete(&mut self, key: String) {
        self.deletes.push_back(key);
    }

    fn in_flight_count(&self, is_kind: impl Fn(&Call) -> bool) -> usize {
        self.in_flight.values().filter(|call| is_kind(call)).count()
    }

    fn next_write_call(&mut self, now: Instant) -> Option<(Call, ObjectRequest)> {
        let writes = self.in_flight_count(|call| !matches!(call, Call::Get(_)));
        if writes >= PUT_LIMIT || self.backoff_until.is_some_and(|until| until > now) {
            return None;
        }
        if let Some(pending) = self.puts.pop_front() {
            let key = pending.object_key();
            let bytes = pending.body.bytes().to_vec();
            let call = Call::Put(Box::new(pending));
            return Some((call, ObjectRequest::Put { key, bytes }));
        }
        let key = self.deletes.pop_front()?;
        Some((Call::Delete(key.clone()), ObjectRequest::Delete { key }))
    }

    /// Backs off after a failed write. Returns the time at which writes resume.
    fn back_off(&mut self, now: Instant, jitter: u128) -> Instant {
        let backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_ms = backoff_ms;
        // Jitter keeps entries from retrying at the same time after a common outage.
        let jitter_share = (jitter % 512) as u32;
        let until = now + backoff_ms / 2 + backoff_ms * jitter_share / 1_024;
        self.backoff_until = Some(until);
        until
    }
}

impl PendingPut {
    fn object_key(&self) -> String {
        self.write.row.object_key(&self.write.key)
    }
}

impl Requests {
    /// Reads the answer of an earlier submission for the callers of a run.
    pub(crate) fn fetch_answer(&mut self, cx: &mut Context, id: RequestId, object: &StoredObject) {
        let due = cx.now + FETCH_TIMEOUT_MS;
        if let Some(run) = self.runs.get_mut(&id) {
            run.phase = Phase::Fetching(Box::new(object.clone()));
            run.store_deadline = Some(due);
        }
        self.objects.gets.push_back(id);
        self.set_timer(due, Timer::StoreTimeout(id));
    }

    /// Sends the calls that are due.
    pub(crate) fn flush_objects(&mut self, cx: &mut Context) {
        while let Some((call, request)) = self.objects.next_write_call(cx.now) {
            self.start_object_call(cx, call, request);
        }
        while self
            .objects
            .in_flight_count(|call| matches!(call, Call::Get(_)))
            < GET_LIMIT
            && let Some(id) = self.objects.gets.pop_front()
        {
            // The run may have been refused while its read was pending.
            if let Some(key) = self.fetching_object(id).map(|object| object.key.clone()) {
                self.start_object_call(cx, Call::Get(id), ObjectRequest::Get { key });
            }
        }
    }

    fn start_object_call(&mut self, cx: &mut Context, call: Call, request: ObjectRequest) {
        let operation = self.next_operation();
        self.objects.in_flight.insert(operation, call);
        cx.actions.push(Action::Object { operation, request });
    }

    fn fetching_object(&self, id: RequestId) -> Option<&StoredObject> {
        match &self.runs.get(&id)?.phase {
            Phase::Fetching(object) => Some(object),
            _ => None,
        }
    }

    pub(crate) fn object_done(
        &mut self,
        cx: &mut Context,
        operation: u64,
        result: Result<ObjectReply, StoreError>,
    ) {
        match self.objects.in_flight.remove(&operation) {
            Some(Call::Put(pending)) => self.put_done(cx, *pending, result),
            Some(Call::Get(id)) => self.fetch_done(cx, id, result),
            Some(Call::Delete(key)) => match result {
                Ok(_) | Err(StoreError::Malformed(_)) => {}
                Err(_) => {
                    self.objects.queue_delete(key);
                    self.back_off_objects(cx.now);
                }
            },
            None => {}
        }
    }

    fn put_done(
        &mut self,
        cx: &mut Context,
        pending: PendingPut,
        result: Result<ObjectReply, StoreError>,
    ) {
        match result {
            Ok(ObjectReply::Stored) => {
                self.objects.backoff_ms = Duration::ZERO;
                self.push_write(cx.now, pending.write);
            }
            // The store rejects this object permanently.
            Ok(_) | Err(StoreError::Malformed(_)) => self.drop_answer(cx.now, pending.write),
            Err(_) if cx.now >= pending.retry_until => self.drop_answer(cx.now, pending.write),
            Err(_) => {
                self.objects.puts.push_front(pending);
                self.back_off_objects(cx.now);
            }
        }
    }

    fn back_off_objects(&mut self, now: Instant) {
        let jitter = self.tokens.next();
        let until = self.objects.back_off(now, jitter);
        self.set_timer(until, Timer::ObjectRetry);
    }

    fn fetch_done(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        result: Result<ObjectReply, StoreError>,
    ) {
        let Some(object) = self.fetching_object(id).cloned() else {
            return;
        };
        match result {
            Ok(ObjectReply::Content(Some(body))) if object.matches(&body) => {
                self.answer_as_stored(cx, id, &object.to_answer(body));
            }
            Ok(ObjectReply::Content(None)) => self.refuse_unknown(cx, id, &answer_deleted()),
            Ok(_) | Err(_) => self.refuse(cx, id, &answer_unavailable()),
        }
    }
}

/// Refusal while the stored answer cannot be read, or not completely.
pub(crate) fn answer_unavailable() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::StoreUnavailable,
        Some(RETRY_MS),
        "an earlier submission with this key ran to its end and its stored answer cannot be \
         read now; send the request again with the same key",
    )
}

/// Refusal after the stored answer was deleted, by expiry of its claim or from outside.
fn answer_deleted() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::OutcomeUnknown,
        None,
        "an earlier submission with this key ran to its end and its stored answer is no longer \
         there",
    )
}
