//! Large answers in the object store: storing them, and reading them for resends.
//!
//! An answer is stored before its claim row says `done`, so a row that names an object names one
//! that was stored. Until the row is written, resends at this entry are answered from memory and
//! resends at others by the agent, which keeps the answer as well.

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

/// Time for the object store to give an answer to a resend: 1 MiB at 2 Mbit/s.
const FETCH_TIMEOUT_MS: Duration = Duration::from_secs(5);
/// Answers stored at once. One entry must not fill the store's several hundred writes a second
/// when it catches up after an outage.
const PUT_LIMIT: usize = 4;
/// Answers read at once; their copies are at most 8 MiB of memory.
const GET_LIMIT: usize = 8;
/// Pause after a call that failed; doubles up to `MAX_BACKOFF_MS`.
const MIN_BACKOFF_MS: Duration = Duration::from_millis(500);
/// Longest pause.
const MAX_BACKOFF_MS: Duration = Duration::from_secs(8);

/// An answer to be stored, and the write that names it afterwards.
pub(crate) struct PendingPut {
    pub write: Write,
    pub body: Rc<RetainedBody>,
    /// Time at which the claim may have expired, and storing it is given up.
    pub retry_until: Instant,
}

enum Call {
    Put(Box<PendingPut>),
    Get(RequestId),
    Delete(String),
}

/// Calls to the object store that wait or are under way.
#[derive(Default)]
pub(crate) struct Objects {
    puts: VecDeque<PendingPut>,
    gets: VecDeque<RequestId>,
    deletes: VecDeque<String>,
    in_flight: BTreeMap<u64, Call>,
    backoff_ms: Duration,
    /// No write is tried before this time.
    backoff_until: Option<Instant>,
}

impl Objects {
    /// Stores an answer as soon as possible.
    pub fn queue_put(&mut self, pending: PendingPut) {
        self.puts.push_back(pending);
    }

    /// Deletes an object that no claim names.
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

    /// A write failed. Returns when writes go on.
    fn back_off(&mut self, now: Instant, jitter: u128) -> Instant {
        let backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_ms = backoff_ms;
        // Entries that meet the same outage must not come back in step.
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

    /// Makes the calls that are due.
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
            // A run that waited too long for its turn has been refused.
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
            // The store refuses this object for good.
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

/// The object store gives no answer now, or not the whole one.
pub(crate) fn answer_unavailable() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::StoreUnavailable,
        Some(RETRY_MS),
        "an earlier submission with this key ran to its end and its stored answer cannot be \
         read now; send the request again with the same key",
    )
}

/// The claim has expired, or the object was removed by someone else.
fn answer_deleted() -> RefusalCause<'static> {
    RefusalCause::new(
        RefusalReason::OutcomeUnknown,
        None,
        "an earlier submission with this key ran to its end and its stored answer is no longer \
         there",
    )
}
