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
use crate::kept::Kept;
use crate::refusal::Ending;
use crate::refusal::RETRY_MS;
use crate::requests::Context;
use crate::requests::Requests;
use crate::requests::Timer;
use crate::run::Phase;

/// Time for the object store to give an answer to a resend: 1 MiB at 2 Mbit/s.
const FETCH_TIMEOUT_MS: Duration = Duration::from_secs(5);
/// Answers stored at once. One entry must not fill the store's several hundred writes a second
/// when it catches up after an outage.
const PUT_LIMIT: usize = 4;
/// Answers read at once; their copies are at most 8 MiB of memory.
const GET_LIMIT: usize = 8;
/// Pause after a call that failed; doubles up to `LAST_PAUSE_MS`.
const FIRST_PAUSE_MS: Duration = Duration::from_millis(500);
/// Longest pause.
const LAST_PAUSE_MS: Duration = Duration::from_secs(8);

/// An answer to be stored, and the write that names it afterwards.
pub(crate) struct Storing {
    pub write: Write,
    pub body: Rc<Kept>,
    /// Time at which the claim may have expired, and storing it is given up.
    pub until: Instant,
}

enum Call {
    Put(Box<Storing>),
    Get(RequestId),
    Delete(String),
}

/// Calls to the object store that wait or are under way.
#[derive(Default)]
pub(crate) struct Objects {
    puts: VecDeque<Storing>,
    gets: VecDeque<RequestId>,
    deletes: VecDeque<String>,
    in_flight: BTreeMap<u64, Call>,
    pause_ms: Duration,
    /// No write is tried before this time.
    paused_until: Option<Instant>,
}

impl Objects {
    /// Stores an answer as soon as possible.
    pub fn store(&mut self, storing: Storing) {
        self.puts.push_back(storing);
    }

    /// Deletes an object that no claim names.
    pub fn delete(&mut self, key: String) {
        self.deletes.push_back(key);
    }

    fn under_way(&self, is_kind: impl Fn(&Call) -> bool) -> usize {
        self.in_flight.values().filter(|call| is_kind(call)).count()
    }

    fn next_write(&mut self, now: Instant) -> Option<(Call, ObjectRequest)> {
        let writes = self.under_way(|call| !matches!(call, Call::Get(_)));
        if writes >= PUT_LIMIT || self.paused_until.is_some_and(|until| until > now) {
            return None;
        }
        if let Some(storing) = self.puts.pop_front() {
            let key = storing.object_key();
            let bytes = storing.body.bytes().to_vec();
            let call = Call::Put(Box::new(storing));
            return Some((call, ObjectRequest::Put { key, bytes }));
        }
        let key = self.deletes.pop_front()?;
        Some((Call::Delete(key.clone()), ObjectRequest::Delete { key }))
    }

    /// A write failed. Returns when writes go on.
    fn pause(&mut self, now: Instant, jitter: u128) -> Instant {
        let pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LAST_PAUSE_MS);
        self.pause_ms = pause_ms;
        // Entries that meet the same outage must not come back in step.
        let share = (jitter % 512) as u32;
        let until = now + pause_ms / 2 + pause_ms * share / 1_024;
        self.paused_until = Some(until);
        until
    }
}

impl Storing {
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
            run.table_due = Some(due);
        }
        self.objects.gets.push_back(id);
        self.set_timer(due, Timer::Claim(id));
    }

    /// Makes the calls that are due.
    pub(crate) fn flush_objects(&mut self, cx: &mut Context) {
        while let Some((call, request)) = self.objects.next_write(cx.now) {
            self.call_objects(cx, call, request);
        }
        while self.objects.under_way(|call| matches!(call, Call::Get(_))) < GET_LIMIT
            && let Some(id) = self.objects.gets.pop_front()
        {
            // A run that waited too long for its turn has been refused.
            if let Some(key) = self.fetching(id).map(|object| object.key.clone()) {
                self.call_objects(cx, Call::Get(id), ObjectRequest::Get { key });
            }
        }
    }

    fn call_objects(&mut self, cx: &mut Context, call: Call, request: ObjectRequest) {
        let operation = self.next_operation();
        self.objects.in_flight.insert(operation, call);
        cx.actions.push(Action::Object { operation, request });
    }

    fn fetching(&self, id: RequestId) -> Option<&StoredObject> {
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
            Some(Call::Put(storing)) => self.put_ended(cx, *storing, result),
            Some(Call::Get(id)) => self.fetched(cx, id, result),
            Some(Call::Delete(key)) => match result {
                Ok(_) | Err(StoreError::Malformed(_)) => {}
                Err(_) => {
                    self.objects.delete(key);
                    self.pause_objects(cx.now);
                }
            },
            None => {}
        }
    }

    fn put_ended(
        &mut self,
        cx: &mut Context,
        storing: Storing,
        result: Result<ObjectReply, StoreError>,
    ) {
        match result {
            Ok(ObjectReply::Stored) => {
                self.objects.pause_ms = Duration::ZERO;
                self.push_write(cx.now, storing.write);
            }
            // The store refuses this object for good.
            Ok(_) | Err(StoreError::Malformed(_)) => self.give_up_answer(cx.now, storing.write),
            Err(_) if cx.now >= storing.until => self.give_up_answer(cx.now, storing.write),
            Err(_) => {
                self.objects.puts.push_front(storing);
                self.pause_objects(cx.now);
            }
        }
    }

    fn pause_objects(&mut self, now: Instant) {
        let jitter = self.tokens.next();
        let until = self.objects.pause(now, jitter);
        self.set_timer(until, Timer::Objects);
    }

    fn fetched(
        &mut self,
        cx: &mut Context,
        id: RequestId,
        result: Result<ObjectReply, StoreError>,
    ) {
        let Some(object) = self.fetching(id).cloned() else {
            return;
        };
        match result {
            Ok(ObjectReply::Content(Some(body))) if object.matches(&body) => {
                self.answer_as_stored(cx, id, &object.to_answer(body));
            }
            Ok(ObjectReply::Content(None)) => self.lose_outcome(cx, id, &deleted()),
            Ok(_) | Err(_) => self.refuse(cx, id, &unreadable()),
        }
    }
}

/// The object store gives no answer now, or not the whole one.
pub(crate) fn unreadable() -> Ending<'static> {
    Ending::new(
        RefusalReason::StoreUnavailable,
        Some(RETRY_MS),
        "an earlier submission with this key ran to its end and its stored answer cannot be \
         read now; send the request again with the same key",
    )
}

/// The claim has expired, or the object was removed by someone else.
fn deleted() -> Ending<'static> {
    Ending::new(
        RefusalReason::OutcomeUnknown,
        None,
        "an earlier submission with this key ran to its end and its stored answer is no longer \
         there",
    )
}
