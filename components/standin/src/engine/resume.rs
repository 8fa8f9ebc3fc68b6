//! Responses that can be resumed from a byte offset, during the run and afterwards.
//!
//! Responses are deterministic, so only the plan and the progress of each run are stored.

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

use crate::engine::completions::ResponsePlan;
use crate::engine::state::EngineCore;
use crate::responses;

/// Maximum number of requests kept for resumption.
const REQUEST_LIMIT: usize = 4096;
/// Time for which a run continues without a connected client.
const DETACHED_LIMIT_MS: Duration = Duration::from_secs(3);
/// Interval at which a resumed response polls the progress of the run.
const POLL_INTERVAL_MS: Duration = Duration::from_millis(5);

/// Progress of a run, shared with its readers.
#[derive(Default)]
pub struct Progress {
    /// Tokens generated so far.
    pub tokens: Cell<u32>,
    /// Whether all tokens have been generated.
    pub is_finished: Cell<bool>,
    /// Whether the run is over, finished or not.
    pub is_ended: Cell<bool>,
    readers: Cell<u32>,
    /// Time when the initial connection or the latest reader was lost; none while the initial
    /// connection is open.
    detached_at: Cell<Option<Instant>>,
}

impl Progress {
    /// Marks the initial connection or a reader as lost.
    pub fn detach(&self) {
        self.detached_at.set(Some(Instant::now()));
    }

    /// Whether the initial connection is lost.
    pub fn is_detached(&self) -> bool {
        self.detached_at.get().is_some()
    }

    /// Whether the response has had no reader for longer than the limit.
    pub fn is_abandoned(&self) -> bool {
        let since = self.detached_at.get();
        self.readers.get() == 0 && since.is_some_and(|since| since.elapsed() > DETACHED_LIMIT_MS)
    }

    fn is_failed(&self) -> bool {
        self.is_ended.get() && !self.is_finished.get()
    }
}

/// Resumable requests by id, the oldest of which are evicted first.
#[derive(Default)]
pub struct Resumable {
    requests: HashMap<String, (ResponsePlan, Rc<Progress>)>,
    insertion_order: VecDeque<String>,
}

impl Resumable {
    /// Adds a run and evicts the oldest one beyond the limit. Runs without an id cannot be
    /// resumed and are not stored.
    pub fn add(&mut self, plan: &ResponsePlan) -> Rc<Progress> {
        let progress = Rc::new(Progress::default());
        if plan.id.is_empty() {
            return progress;
        }
        let value = (plan.clone(), progress.clone());
        if self.requests.insert(plan.id.clone(), value).is_none() {
            self.insertion_order.push_back(plan.id.clone());
        }
        if self.insertion_order.len() > REQUEST_LIMIT
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        progress
    }
}

/// Reads the bytes of a response for one resumed connection.
struct Reader {
    plan: ResponsePlan,
    progress: Rc<Progress>,
    next_token: u32,
    is_complete: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.progress.readers.set(self.progress.readers.get() - 1);
        if self.progress.is_detached() {
            self.progress.detach();
        }
    }
}

impl Reader {
    fn new(plan: ResponsePlan, progress: Rc<Progress>) -> Self {
        progress.readers.set(progress.readers.get() + 1);
        Self {
            plan,
            progress,
            next_token: 0,
            is_complete: false,
        }
    }

    /// Bytes generated since the last call.
    fn read(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        while self.plan.is_stream && self.next_token < self.progress.tokens.get() {
            bytes.extend(self.plan.event(self.next_token).into_bytes());
            self.next_token += 1;
        }
        if self.progress.is_finished.get() && !self.is_complete {
            self.is_complete = true;
            bytes.extend(self.plan.end().into_bytes());
        }
        bytes
    }
}

/// Sends the response to a request from a byte offset on.
pub async fn resume(
    core: &Rc<RefCell<EngineCore>>,
    id: &str,
    offset: u64,
    exchange: &mut Exchange,
) {
    let request = core.borrow().resumable.requests.get(id).cloned();
    let Some((plan, progress)) = request.filter(|(_, progress)| !progress.is_failed()) else {
        responses::send(
            exchange,
            404,
            &json!({"error": "no resumable request with this id"}),
        )
        .await;
        return;
    };
    let mut reader = Reader::new(plan, progress);
    let bytes = reader.read();
    let Some((before, rest)) = usize::try_from(offset)
        .ok()
        .and_then(|at| bytes.split_at_checked(at))
    else {
        responses::send(
            exchange,
            416,
            &json!({"error": "offset is beyond the end of the response"}),
        )
        .await;
        return;
    };
    core.borrow_mut().recorder.counters.resumed += 1;
    let mut head = responses::head(200, reader.plan.content_type());
    head.insert_header("x-prefix-digest", blake3::hash(before).to_hex().as_str());
    // Errors are ignored: a client that disconnects may resume again.
    let _ = send_rest(&mut reader, head, rest, exchange).await;
}

async fn send_rest(
    reader: &mut Reader,
    head: http_types::Response,
    rest: &[u8],
    exchange: &mut Exchange,
) -> Result<(), HungUp> {
    exchange.start(head).await?;
    exchange.write(rest).await?;
    while !reader.is_complete {
        if reader.progress.is_failed() {
            // The connection closes, so that the client sees an incomplete response.
            return Ok(());
        }
        exchange
            .or_hang_up(smol::Timer::after(POLL_INTERVAL_MS))
            .await?;
        exchange.write(&reader.read()).await?;
    }
    exchange.finish().await
}
