//! Answers that can be had again from an offset while they are made, and afterwards.
//!
//! Answers are deterministic, so only how far a run has come is kept.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Exchange;
use http::HungUp;
use serde_json::json;

use crate::answers;
use crate::engine::completions::Plan;
use crate::engine::state::EngineCore;

/// Requests that are remembered.
const REMEMBERED: usize = 4096;
/// Time for which a run goes on when nobody reads its answer.
const GRACE_MS: Duration = Duration::from_secs(3);
/// Time between two looks at the progress of a run.
const POLL_MS: Duration = Duration::from_millis(5);

/// How far a run has come.
#[derive(Default)]
pub struct Progress {
    /// Tokens made.
    pub tokens: Cell<u32>,
    /// All tokens are made.
    pub finished: Cell<bool>,
    /// The run is over, finished or not.
    pub ended: Cell<bool>,
    readers: Cell<u32>,
    /// Since when nobody reads the answer, once its first connection is lost.
    detached: Cell<Option<Instant>>,
}

impl Progress {
    /// Goes on without the first connection.
    pub fn detach(&self) {
        self.detached.set(Some(Instant::now()));
    }

    /// Whether the first connection is lost.
    pub fn is_detached(&self) -> bool {
        self.detached.get().is_some()
    }

    /// Whether nobody came for the answer in time.
    pub fn is_abandoned(&self) -> bool {
        let since = self.detached.get();
        self.readers.get() == 0 && since.is_some_and(|since| since.elapsed() > GRACE_MS)
    }

    fn is_lost(&self) -> bool {
        self.ended.get() && !self.finished.get()
    }
}

/// Requests by id.
#[derive(Default)]
pub struct Resumable {
    known: HashMap<String, (Plan, Rc<Progress>)>,
    order: VecDeque<String>,
}

impl Resumable {
    /// Remembers a run; the oldest one is forgotten. Runs without an id cannot be resumed.
    pub fn add(&mut self, plan: &Plan) -> Rc<Progress> {
        let progress = Rc::new(Progress::default());
        if plan.id.is_empty() {
            return progress;
        }
        let value = (plan.clone(), progress.clone());
        if self.known.insert(plan.id.clone(), value).is_none() {
            self.order.push_back(plan.id.clone());
        }
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        progress
    }
}

/// Answer under construction for one connection.
struct Copy {
    plan: Plan,
    progress: Rc<Progress>,
    next: u32,
    is_whole: bool,
}

impl Drop for Copy {
    fn drop(&mut self) {
        self.progress.readers.set(self.progress.readers.get() - 1);
        if self.progress.is_detached() {
            self.progress.detach();
        }
    }
}

impl Copy {
    fn new(plan: Plan, progress: Rc<Progress>) -> Self {
        progress.readers.set(progress.readers.get() + 1);
        Self {
            plan,
            progress,
            next: 0,
            is_whole: false,
        }
    }

    /// Bytes that were made since the last call.
    fn take(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while self.plan.stream && self.next < self.progress.tokens.get() {
            bytes.extend(self.plan.event(self.next).into_bytes());
            self.next += 1;
        }
        if self.progress.finished.get() && !self.is_whole {
            self.is_whole = true;
            bytes.extend(self.plan.end().into_bytes());
        }
        bytes
    }
}

/// Sends the answer of a request from an offset on.
pub async fn resume(
    core: &Rc<RefCell<EngineCore>>,
    id: &str,
    offset: u64,
    exchange: &mut Exchange,
) {
    let known = core.borrow().resumable.known.get(id).cloned();
    let Some((plan, progress)) = known.filter(|(_, progress)| !progress.is_lost()) else {
        answers::send(exchange, 404, &json!({"error": "no such request"})).await;
        return;
    };
    let mut copy = Copy::new(plan, progress);
    let bytes = copy.take();
    let Some((before, rest)) = usize::try_from(offset)
        .ok()
        .and_then(|at| bytes.split_at_checked(at))
    else {
        answers::send(exchange, 416, &json!({"error": "beyond the answer"})).await;
        return;
    };
    core.borrow_mut().tally.counters.resumed += 1;
    let mut head = answers::head(200, copy.plan.content_type());
    head.insert_header("x-prefix-digest", blake3::hash(before).to_hex().as_str());
    // A peer that hung up may come again.
    let _ = follow(&mut copy, head, rest, exchange).await;
}

async fn follow(
    copy: &mut Copy,
    head: http_types::Response,
    rest: &[u8],
    exchange: &mut Exchange,
) -> Result<(), HungUp> {
    exchange.start(head).await?;
    exchange.write(rest).await?;
    while !copy.is_whole {
        if copy.progress.is_lost() {
            // The caller sees that the answer is incomplete.
            return Ok(());
        }
        exchange.or_hang_up(smol::Timer::after(POLL_MS)).await?;
        exchange.write(&copy.take()).await?;
    }
    exchange.finish().await
}
