//! Fake object store in virtual time, with outages, slow and lost replies, calls that take effect
//! late, and objects that are read back truncated.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::ObjectReply;
use store::ObjectRequest;
use store::StoreError;
use store::Timer;
use types::Clock;

/// Time after which a call without a reply fails.
const CALL_TIMEOUT_MS: Duration = Duration::from_secs(5);
/// Latency in one direction between a process and the store.
const ONE_WAY_MS: Duration = Duration::from_millis(2);
/// Longest delay of a call that takes effect late.
const LATE_LIMIT_MS: u64 = 8_000;
const PERMILLE: u32 = 1_000;

/// Faults of the object store, which affect the calls of all processes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObjectFaults {
    /// Every call fails without taking effect.
    pub outage: bool,
    /// Share of calls that take effect but whose reply is lost, in thousandths.
    pub lost_reply_permille: u32,
    /// Share of calls that take effect late and get no reply, in thousandths.
    pub delayed_call_permille: u32,
    /// Share of reads that return only the start of the object, in thousandths.
    pub truncated_permille: u32,
    /// Latency added to every call; from 5 s on, calls time out and take effect late.
    pub slow_ms: Duration,
}

/// Fake object store.
pub struct FakeObjects {
    clock: Rc<dyn Clock>,
    timer: Rc<dyn Timer>,
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    faults: Cell<ObjectFaults>,
    rng: RefCell<StdRng>,
    delayed: RefCell<BTreeMap<(Instant, u64), ObjectRequest>>,
    calls: Cell<u64>,
    violations: RefCell<Vec<String>>,
}

impl FakeObjects {
    /// An empty store without faults; `seed` decides which calls a fault affects.
    #[must_use]
    pub fn new(clock: Rc<dyn Clock>, timer: Rc<dyn Timer>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            clock,
            timer,
            objects: RefCell::default(),
            faults: Cell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            delayed: RefCell::default(),
            calls: Cell::new(0),
            violations: RefCell::default(),
        })
    }

    /// Replaces the faults; calls that take effect late still do so.
    pub fn set_faults(&self, faults: ObjectFaults) {
        self.faults.set(faults);
    }

    /// Reads an object directly, without faults or delay.
    #[must_use]
    pub fn object(&self, key: &str) -> Option<Vec<u8>> {
        self.objects.borrow().get(key).cloned()
    }

    /// Keys of all objects, in order.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        self.objects.borrow().keys().cloned().collect()
    }

    /// Descriptions of writes that changed an object, since the last call. Objects are immutable.
    #[must_use]
    pub fn take_violations(&self) -> Vec<String> {
        self.violations.take()
    }

    /// Applies the delayed calls that are due.
    pub fn apply_delayed_calls(&self) {
        let now = self.clock.now();
        loop {
            let due = self.delayed.borrow().first_key_value().map(|(key, _)| *key);
            let Some(key) = due.filter(|(at, _)| *at <= now) else {
                return;
            };
            let request = self.delayed.borrow_mut().remove(&key);
            if let Some(request) = request {
                self.apply(request);
            }
        }
    }

    fn apply(&self, request: ObjectRequest) -> ObjectReply {
        let mut objects = self.objects.borrow_mut();
        match request {
            ObjectRequest::Put { key, bytes } => {
                if objects.get(&key).is_some_and(|before| *before != bytes) {
                    let violation = format!("object {key} was overwritten with different content");
                    self.violations.borrow_mut().push(violation);
                }
                objects.insert(key, bytes);
                ObjectReply::Stored
            }
            ObjectRequest::Get { key } => ObjectReply::Content(objects.get(&key).cloned()),
            ObjectRequest::Delete { key } => {
                objects.remove(&key);
                ObjectReply::Deleted
            }
        }
    }

    fn occurs(&self, permille: u32) -> bool {
        permille > 0 && self.rng.borrow_mut().random_range(0..PERMILLE) < permille
    }

    fn delay_call(&self, delay: Duration, request: ObjectRequest) {
        self.calls.set(self.calls.get() + 1);
        let key = (self.clock.now() + delay, self.calls.get());
        self.delayed.borrow_mut().insert(key, request);
    }

    /// Calls the store for a process. While `disconnected` is set, the process cannot reach it.
    ///
    /// # Errors
    ///
    /// The store cannot be reached, a fault prevents the call, or the reply is lost.
    pub async fn call(
        &self,
        disconnected: &Cell<bool>,
        request: ObjectRequest,
    ) -> Result<ObjectReply, StoreError> {
        let slow_ms = self.faults.get().slow_ms;
        if disconnected.get() {
            self.timer.sleep(ONE_WAY_MS).await;
            return Err(StoreError::Unavailable("no connection".to_owned()));
        }
        if slow_ms >= CALL_TIMEOUT_MS {
            self.delay_call(slow_ms, request);
            return self.time_out().await;
        }
        self.timer.sleep(ONE_WAY_MS + slow_ms).await;
        let faults = self.faults.get();
        if faults.outage {
            return Err(StoreError::Unavailable("outage".to_owned()));
        }
        if self.occurs(faults.delayed_call_permille) {
            let delay = self.rng.borrow_mut().random_range(0..LATE_LIMIT_MS);
            self.delay_call(Duration::from_millis(delay), request);
            return self.time_out().await;
        }
        let mut reply = self.apply(request);
        if self.occurs(faults.lost_reply_permille) {
            return self.time_out().await;
        }
        if let ObjectReply::Content(Some(body)) = &mut reply
            && self.occurs(faults.truncated_permille)
        {
            let length = self.rng.borrow_mut().random_range(0..=body.len());
            body.truncate(length);
        }
        self.timer.sleep(ONE_WAY_MS).await;
        if disconnected.get() {
            return Err(StoreError::Unanswered("connection lost".to_owned()));
        }
        Ok(reply)
    }

    async fn time_out(&self) -> Result<ObjectReply, StoreError> {
        self.timer.sleep(CALL_TIMEOUT_MS).await;
        Err(StoreError::Unanswered("no reply within 5 s".to_owned()))
    }
}
