//! Simulated callers: they send through a load balancer, resend, read slowly and disconnect.

use std::time::Duration;
use std::time::Instant;

use entry::core::Event;
use rand::RngExt;
use types::Incarnation;
use types::Method;
use types::Reply;
use types::RequestId;
use types::Submission;
use types::Work;

use crate::mix::ReadSize;
use crate::setup::DEADLINE_MS;
use crate::setup::MODEL_SERVICE;
use crate::setup::PLAIN_SERVICE;
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Mean time between new operations (40 per second).
const MEAN_INTERARRIVAL_US: f64 = 25_000.0;
/// How long after the deadline a caller still waits for the final reply.
const REPLY_GRACE_MS: Duration = Duration::from_secs(3);
/// Share of orders whose answer is too large for a claim row.
const LARGE_ORDER_PERMILLE: u32 = 200;
/// Maximum resends of an operation that has no answer yet.
const RESEND_LIMIT: u32 = 4;
/// The load balancer skips an entry that has not answered health checks for this long.
const HEALTH_MS: Duration = Duration::from_secs(1);

/// Kind of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent request to the model service.
    Read,
    /// Non-idempotent request to the plain service, with an idempotency key.
    Order,
    /// Non-idempotent request to the plain service, without a key; never resent.
    Keyless,
}

/// Unit of work of a caller; it may take several requests.
pub struct Operation {
    pub kind: Kind,
    pub body: Vec<u8>,
    pub started: Instant,
    pub answered: Option<Instant>,
    pub size: ReadSize,
    resends_left: u32,
    /// Number of requests sent after the answer had been received.
    pub answered_resends: u32,
}

/// One request sent for an operation.
pub struct SentRequest {
    pub operation: usize,
    pub entry: usize,
    pub run: Incarnation,
    pub sent_at: Instant,
    pub final_replies: u32,
    /// The caller's connection has ended, so no final reply is expected.
    pub is_closed: bool,
    pub has_head: bool,
    pub received: Vec<u8>,
}

/// Action of a caller, or a reply that reaches it.
#[derive(Debug)]
pub enum CallerEvent {
    NewOperation,
    Send(usize),
    /// Resend an operation that has been answered.
    ResendAnswered(usize),
    Reply(RequestId, Reply),
    Consume(RequestId, u64),
    HangUp(RequestId),
    TimeOut(RequestId),
}

impl Simulation {
    pub fn schedule_next_operation(&mut self) {
        let fraction: f64 = self.random.random_range(0.000_1..1.0);
        let delay = Duration::from_secs_f64(-fraction.ln() * MEAN_INTERARRIVAL_US / 1e6);
        self.schedule_after(delay, SimEvent::Caller(CallerEvent::NewOperation));
    }

    pub fn handle_caller_event(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::NewOperation => self.start_operation(),
            CallerEvent::Send(operation) => self.send(operation),
            CallerEvent::ResendAnswered(operation) => {
                self.submit(operation);
            }
            CallerEvent::Reply(request, reply) => self.handle_reply(request, reply),
            CallerEvent::Consume(request, bytes) => {
                self.deliver_to_entry(request, Event::Consumed { request, bytes });
            }
            CallerEvent::HangUp(request) => self.hang_up(request),
            CallerEvent::TimeOut(request) => self.time_out(request),
        }
    }

    fn start_operation(&mut self) {
        if !self.is_generating_load {
            return;
        }
        self.schedule_next_operation();
        let number = self.operations.len();
        let kind = match self.random.random_range(0..100) {
            0..70 => Kind::Read,
            70..95 => Kind::Order,
            _ => Kind::Keyless,
        };
        let size = self.read_size(number);
        let is_large = kind == Kind::Order && self.chance(LARGE_ORDER_PERMILLE);
        let large = if is_large { " large" } else { "" };
        let operation = Operation {
            kind,
            body: format!("{kind:?}{large} {number}").into_bytes(),
            started: self.now(),
            answered: None,
            size,
            resends_left: RESEND_LIMIT,
            answered_resends: 0,
        };
        self.operations.push(operation);
        self.send(number);
        // Some clients send a duplicate without waiting for the first request to end.
        if kind == Kind::Order && self.chance(100) {
            self.count("sent to two entries at once");
            self.send(number);
        }
        if kind == Kind::Order && self.chance(50) {
            let delay = self.random_ms(50, 1_500);
            self.schedule_after(delay, SimEvent::Caller(CallerEvent::Send(number)));
        }
    }

    /// Entry chosen by the load balancer; `None` if none is healthy.
    fn choose_entry(&mut self) -> Option<usize> {
        let now = self.now();
        let healthy: Vec<usize> = (0..self.entries.len())
            .filter(|at| {
                let host = &self.entries[*at];
                let is_stuck = host
                    .inbox
                    .front()
                    .is_some_and(|_| host.is_paused(now) && now >= host.stable_since + HEALTH_MS);
                host.is_up() && host.is_in_rotation && !is_stuck
            })
            .collect();
        if healthy.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..healthy.len());
        Some(healthy[index])
    }

    fn send(&mut self, operation: usize) {
        let now = self.now();
        if self.operations[operation].answered.is_some()
            || now >= self.operations[operation].started + 2 * DEADLINE_MS
        {
            return;
        }
        if !self.submit(operation) {
            self.schedule_after(
                Duration::from_millis(200),
                SimEvent::Caller(CallerEvent::Send(operation)),
            );
        }
    }

    /// Sends a request for an operation. Returns false if no entry is healthy.
    fn submit(&mut self, operation: usize) -> bool {
        let now = self.now();
        let Some(at) = self.choose_entry() else {
            return false;
        };
        let Some(core) = &mut self.entries[at].core else {
            return false;
        };
        let request = core.new_request();
        let run = core.incarnation();
        let submission = submission(&self.operations[operation], operation);
        self.sent_requests.insert(
            request,
            SentRequest {
                operation,
                entry: at,
                run,
                sent_at: now,
                final_replies: 0,
                is_closed: false,
                has_head: false,
                received: Vec::new(),
            },
        );
        self.count("submissions");
        let event = Event::Submitted {
            request,
            submission,
        };
        self.deliver_after(
            Duration::from_millis(1),
            Node::Entry(at),
            run,
            Input::Entry(event),
        );
        let time_out = SimEvent::Caller(CallerEvent::TimeOut(request));
        self.schedule_after(DEADLINE_MS + REPLY_GRACE_MS, time_out);
        if self.chance(20) {
            let delay = self.random_ms(5, 1_000);
            self.schedule_after(delay, SimEvent::Caller(CallerEvent::HangUp(request)));
        }
        true
    }

    fn deliver_to_entry(&mut self, request: RequestId, event: Event) {
        if let Some(sent) = self.sent_requests.get(&request) {
            let (node, run) = (Node::Entry(sent.entry), sent.run);
            self.deliver(node, run, Input::Entry(event));
        }
    }

    fn hang_up(&mut self, request: RequestId) {
        let Some(sent) = self.sent_requests.get_mut(&request) else {
            return;
        };
        if sent.final_replies > 0 || sent.is_closed {
            return;
        }
        sent.is_closed = true;
        let operation = sent.operation;
        self.count("hang-ups");
        self.deliver_to_entry(request, Event::CallerDisconnected { request });
        self.resend(operation, Duration::ZERO);
    }

    fn time_out(&mut self, request: RequestId) {
        let Some(sent) = self.sent_requests.get(&request) else {
            return;
        };
        if sent.final_replies > 0 || sent.is_closed {
            return;
        }
        let host = &self.entries[sent.entry];
        if host.is_run(sent.run) && host.stable_since <= sent.sent_at {
            let (entry, body) = (sent.entry, self.operations[sent.operation].body.clone());
            self.record_violation(format!(
                "request {request:x} ({}) at entry {entry} got no final reply by its deadline",
                String::from_utf8_lossy(&body)
            ));
        }
        self.hang_up(request);
    }

    /// Schedules a resend, unless the operation is keyless, answered or has used up its resends.
    pub fn resend(&mut self, operation: usize, wait: Duration) {
        let state = &mut self.operations[operation];
        if state.kind == Kind::Keyless || state.resends_left == 0 || state.answered.is_some() {
            return;
        }
        state.resends_left -= 1;
        let delay = wait + self.random_ms(20, 400);
        self.schedule_after(delay, SimEvent::Caller(CallerEvent::Send(operation)));
    }

    /// Disconnects the callers of a killed entry; they resend their operations.
    pub fn disconnect_callers(&mut self, at: usize, run: Incarnation) {
        let mut lost: Vec<(RequestId, usize)> = Vec::new();
        for (request, sent) in &mut self.sent_requests {
            if sent.entry == at && sent.run == run && sent.final_replies == 0 && !sent.is_closed {
                sent.is_closed = true;
                lost.push((*request, sent.operation));
            }
        }
        lost.sort_unstable();
        for (_, operation) in lost {
            self.count("resends after a lost entry");
            self.resend(operation, Duration::ZERO);
        }
    }

    /// Number of callers that wait for a final reply from one run of an entry.
    pub fn waiting_callers(&self, at: usize, run: Incarnation) -> usize {
        self.sent_requests
            .values()
            .filter(|r| r.entry == at && r.run == run && r.final_replies == 0 && !r.is_closed)
            // The final reply of a recent request may still be in transit.
            .filter(|sent| sent.sent_at + Duration::from_millis(5) < self.now())
            .filter(|_| {
                self.entries[at]
                    .core
                    .as_ref()
                    .is_none_or(|c| c.in_flight() > 0)
            })
            .count()
    }
}

fn submission(operation: &Operation, number: usize) -> Submission {
    let is_read = operation.kind == Kind::Read;
    let mut work = Work {
        service: if is_read {
            MODEL_SERVICE
        } else {
            PLAIN_SERVICE
        }
        .to_owned(),
        method: Method::Post,
        path: "/v1/work".to_owned(),
        content_type: "text/plain".to_owned(),
        headers: types::Headers::default(),
        body: operation.body.clone(),
        stream: is_read,
        model: String::new(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        prefixes: Vec::new(),
    };
    operation.size.apply(&mut work);
    Submission {
        caller: "refugio-laguna".to_owned(),
        work,
        key: (operation.kind == Kind::Order).then(|| format!("key-{number}")),
        deadline_ms: None,
    }
}
