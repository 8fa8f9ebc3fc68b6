//! Callers: they send through a balancer, resend carelessly, read slowly, and hang up.

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

use crate::mix::Size;
use crate::setup::DEADLINE_MS;
use crate::setup::MODEL_SERVICE;
use crate::setup::PLAIN_SERVICE;
use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::World;

/// Mean time between two operations: 40 a second.
const MEAN_GAP_US: f64 = 25_000.0;
/// A caller gives up this long after the deadline.
const PATIENCE_MS: Duration = Duration::from_secs(3);
/// Orders in thousand whose answer does not fit into a claim row.
const LARGE_PERMILLE: u32 = 200;
/// Resends of one operation.
const RESENDS: u32 = 4;
/// The balancer stops sending to an entry that has not answered it for this long.
const HEALTH_MS: Duration = Duration::from_secs(1);

/// What an operation is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent work for an engine.
    Read,
    /// Work that must not be repeated, with a key.
    Order,
    /// Work that must not be repeated, without a key.
    Keyless,
}

/// Something that a caller wants done.
pub struct Op {
    pub kind: Kind,
    pub body: Vec<u8>,
    pub first: Instant,
    pub answered: Option<Instant>,
    pub size: Size,
    resends_left: u32,
    /// Times that it was sent again after its answer.
    pub again: u32,
}

/// One request sent for an operation.
pub struct Sub {
    pub op: usize,
    pub entry: usize,
    pub run: Incarnation,
    pub sent: Instant,
    pub finals: u32,
    /// The caller's connection is gone, so no final reply is due.
    pub excused: bool,
    pub head: bool,
    pub received: Vec<u8>,
}

/// What callers do, and what reaches them.
#[derive(Debug)]
pub enum CallerEvent {
    Arrive,
    Send(usize),
    /// Send again what was answered.
    Again(usize),
    Reply(RequestId, Reply),
    Consume(RequestId, u64),
    HangUp(RequestId),
    GiveUp(RequestId),
}

impl World {
    pub fn offer_load(&mut self) {
        let share: f64 = self.random.random_range(0.000_1..1.0);
        let gap = Duration::from_secs_f64(-share.ln() * MEAN_GAP_US / 1e6);
        self.after(gap, Happening::Caller(CallerEvent::Arrive));
    }

    pub fn caller(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Arrive => self.arrive(),
            CallerEvent::Send(op) => self.send(op),
            CallerEvent::Again(op) => {
                self.submit(op);
            }
            CallerEvent::Reply(request, reply) => self.reply(request, reply),
            CallerEvent::Consume(request, bytes) => {
                self.tell_entry(request, Event::Consumed { request, bytes });
            }
            CallerEvent::HangUp(request) => self.hang_up(request),
            CallerEvent::GiveUp(request) => self.give_up(request),
        }
    }

    fn arrive(&mut self) {
        if !self.offering {
            return;
        }
        self.offer_load();
        let number = self.ops.len();
        let kind = match self.random.random_range(0..100) {
            0..70 => Kind::Read,
            70..95 => Kind::Order,
            _ => Kind::Keyless,
        };
        let size = self.read_size(number);
        let is_large = kind == Kind::Order && self.chance(LARGE_PERMILLE);
        let large = if is_large { " large" } else { "" };
        let op = Op {
            kind,
            body: format!("{kind:?}{large} {number}").into_bytes(),
            first: self.now(),
            answered: None,
            size,
            resends_left: RESENDS,
            again: 0,
        };
        self.ops.push(op);
        self.send(number);
        // Careless scripts send the same request again without waiting for its end.
        if kind == Kind::Order && self.chance(100) {
            self.count("sent to two entries at once");
            self.send(number);
        }
        if kind == Kind::Order && self.chance(50) {
            let delay = self.millis(50, 1_500);
            self.after(delay, Happening::Caller(CallerEvent::Send(number)));
        }
    }

    /// Entry that the balancer chooses.
    fn balance(&mut self) -> Option<usize> {
        let now = self.now();
        let healthy: Vec<usize> = (0..self.entries.len())
            .filter(|at| {
                let host = &self.entries[*at];
                let stuck = host
                    .inbox
                    .front()
                    .is_some_and(|_| host.is_paused(now) && now >= host.undisturbed + HEALTH_MS);
                host.is_up() && host.staying && !stuck
            })
            .collect();
        if healthy.is_empty() {
            return None;
        }
        let pick = self.random.random_range(0..healthy.len());
        Some(healthy[pick])
    }

    fn send(&mut self, op: usize) {
        let now = self.now();
        if self.ops[op].answered.is_some() || now >= self.ops[op].first + 2 * DEADLINE_MS {
            return;
        }
        if !self.submit(op) {
            self.after(
                Duration::from_millis(200),
                Happening::Caller(CallerEvent::Send(op)),
            );
        }
    }

    /// Sends a request for an operation. Returns whether an entry takes requests.
    fn submit(&mut self, op: usize) -> bool {
        let now = self.now();
        let Some(at) = self.balance() else {
            return false;
        };
        let Some(core) = &mut self.entries[at].core else {
            return false;
        };
        let request = core.new_request();
        let run = core.incarnation();
        let submission = submission(&self.ops[op], op);
        self.subs.insert(
            request,
            Sub {
                op,
                entry: at,
                run,
                sent: now,
                finals: 0,
                excused: false,
                head: false,
                received: Vec::new(),
            },
        );
        self.count("submissions");
        let event = Event::Submitted {
            request,
            submission,
        };
        self.later(
            Duration::from_millis(1),
            Node::Entry(at),
            run,
            Input::Entry(event),
        );
        let give_up = Happening::Caller(CallerEvent::GiveUp(request));
        self.after(DEADLINE_MS + PATIENCE_MS, give_up);
        if self.chance(20) {
            let delay = self.millis(5, 1_000);
            self.after(delay, Happening::Caller(CallerEvent::HangUp(request)));
        }
        true
    }

    fn tell_entry(&mut self, request: RequestId, event: Event) {
        if let Some(sub) = self.subs.get(&request) {
            let (node, run) = (Node::Entry(sub.entry), sub.run);
            self.deliver(node, run, Input::Entry(event));
        }
    }

    fn hang_up(&mut self, request: RequestId) {
        let Some(sub) = self.subs.get_mut(&request) else {
            return;
        };
        if sub.finals > 0 || sub.excused {
            return;
        }
        sub.excused = true;
        let op = sub.op;
        self.count("hang-ups");
        self.tell_entry(request, Event::CallerGone { request });
        self.resend(op, Duration::ZERO);
    }

    fn give_up(&mut self, request: RequestId) {
        let Some(sub) = self.subs.get(&request) else {
            return;
        };
        if sub.finals > 0 || sub.excused {
            return;
        }
        let host = &self.entries[sub.entry];
        if host.is_run(sub.run) && host.undisturbed <= sub.sent {
            let (entry, body) = (sub.entry, self.ops[sub.op].body.clone());
            self.violation(format!(
                "request {request:x} ({}) at entry {entry} got no final reply by its deadline",
                String::from_utf8_lossy(&body)
            ));
        }
        self.hang_up(request);
    }

    /// Sends an operation again after a while, if it may be.
    pub fn resend(&mut self, op: usize, wait: Duration) {
        let state = &mut self.ops[op];
        if state.kind == Kind::Keyless || state.resends_left == 0 || state.answered.is_some() {
            return;
        }
        state.resends_left -= 1;
        let delay = wait + self.millis(20, 400);
        self.after(delay, Happening::Caller(CallerEvent::Send(op)));
    }

    /// An entry was killed; its callers see their connections break.
    pub fn entry_lost(&mut self, at: usize, run: Incarnation) {
        let mut lost: Vec<(RequestId, usize)> = Vec::new();
        for (request, sub) in &mut self.subs {
            if sub.entry == at && sub.run == run && sub.finals == 0 && !sub.excused {
                sub.excused = true;
                lost.push((*request, sub.op));
            }
        }
        lost.sort_unstable();
        for (_, op) in lost {
            self.count("resends after a lost entry");
            self.resend(op, Duration::ZERO);
        }
    }

    /// Callers that wait at one run of an entry.
    pub fn open_at(&self, at: usize, run: Incarnation) -> usize {
        self.subs
            .values()
            .filter(|sub| sub.entry == at && sub.run == run && sub.finals == 0 && !sub.excused)
            // A final reply may be on its way.
            .filter(|sub| sub.sent + Duration::from_millis(5) < self.now())
            .filter(|_| {
                self.entries[at]
                    .core
                    .as_ref()
                    .is_none_or(|c| c.in_flight() > 0)
            })
            .count()
    }
}

fn submission(op: &Op, number: usize) -> Submission {
    let is_read = op.kind == Kind::Read;
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
        body: op.body.clone(),
        stream: is_read,
        model: String::new(),
        prompt_tokens: 0,
        max_output_tokens: 0,
        prefixes: Vec::new(),
    };
    op.size.apply(&mut work);
    Submission {
        caller: "refugio-laguna".to_owned(),
        work,
        key: (op.kind == Kind::Order).then(|| format!("key-{number}")),
        deadline_ms: None,
    }
}
