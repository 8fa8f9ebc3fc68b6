//! The agent's decisions: events in, actions out.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use types::CacheEvent;
use types::Incarnation;
use wire::Datagram;
use wire::Hello;
use wire::ToAgent;
use wire::ToEntry;

use crate::admission::refuse_connection;
use crate::attempts::Attempts;
use crate::cover::Cover;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Event;
use crate::event::ExitReason;
use crate::limits::IDLE_LIMIT_MS;
use crate::limits::LINGER_MS;
use crate::limits::Limits;
use crate::limits::RELEASE_LIMIT_MS;
use crate::limits::SILENCE_LIMIT_MS;
use crate::limits::TICK_MS;
use crate::load::LoadBook;
use crate::orders::Hold;
use crate::orders::Orders;
use crate::report::Note;

/// Most cache events in one frame.
const CACHE_BATCH: usize = 1024;

/// State machine of one agent.
pub struct Agent {
    limits: Rc<Limits>,
    attempts: Attempts,
    orders: Orders,
    /// Open connections that have said `Hello`, with the time of their last frame.
    connections: BTreeMap<ConnectionId, Instant>,
    cover: Cover,
    leaving_since: Option<Instant>,
    idle_since: Option<Instant>,
    ticked: Option<Instant>,
    exited: bool,
}

impl Agent {
    /// Knows nothing yet; the first `Tick` sets it off.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let limits = Rc::new(limits);
        Self {
            attempts: Attempts::new(limits.clone()),
            orders: Orders::new(limits.clone()),
            limits,
            connections: BTreeMap::new(),
            cover: Cover::default(),
            leaving_since: None,
            idle_since: None,
            ticked: None,
            exited: false,
        }
    }

    /// Attempts accepted and not yet through at the target.
    #[must_use]
    pub fn in_service(&self) -> usize {
        self.attempts.in_service()
    }

    /// This run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.limits.incarnation
    }

    /// Counts and flags of the next load report.
    #[must_use]
    pub fn load(&self) -> &LoadBook {
        &self.attempts.load
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if self.exited {
            return out;
        }
        match event {
            Event::Message {
                connection,
                message,
            } => self.message(now, connection, message, &mut out),
            Event::Disconnected { connection } => {
                self.cover.disconnected(connection);
                if self.connections.remove(&connection).is_some() {
                    self.attempts.disconnected(now, connection, &mut out);
                }
            }
            Event::Probe { from, sequence } => out.push(Action::Datagram {
                to: from,
                datagram: Datagram::Alive {
                    target: self.limits.target.clone(),
                    sequence,
                    load: self.attempts.load.report(now),
                },
            }),
            // The frequent events change nothing that orders depend on, except the count of
            // attempts in service, which the next tick sees.
            Event::Target { run, event } => {
                self.attempts.target(now, run, event, &mut out);
                return out;
            }
            Event::EngineLoad(load) => self.attempts.load.engine_reported(now, load),
            Event::CacheEvents(events) => self.cache_events(events, &mut out),
            Event::EngineState(state) => {
                self.orders.engine_state(state, &mut out);
                self.advance(now, &mut out);
            }
            Event::OrderPassed(outcome) => {
                self.orders.passed(now, outcome, &mut out);
                self.advance(now, &mut out);
            }
            Event::Slot(result) => {
                self.orders.slot(now, &result);
                self.advance(now, &mut out);
            }
            Event::TableDone { operation, result } => {
                let event = self.orders.row.done(now, operation, result, &mut out);
                self.orders.row_event(now, event, &mut out);
                self.advance(now, &mut out);
            }
            Event::Watched {
                entry,
                sequence,
                head,
            } => self.cover.probed(now, entry, sequence, head),
            Event::Concurrency(concurrency) => {
                self.attempts.set_concurrency(now, concurrency, &mut out);
            }
            Event::Leaving => self.leave(now, &mut out),
            Event::Tick => self.tick(now, &mut out),
        }
        out
    }

    fn message(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        message: ToAgent,
        out: &mut Vec<Action>,
    ) {
        if let ToAgent::Hello(hello) = message {
            self.hello(now, connection, &hello, out);
            return;
        }
        let Some(heard) = self.connections.get_mut(&connection) else {
            refuse_connection(connection, "message before hello", out);
            return;
        };
        *heard = now;
        match message {
            ToAgent::Hello(_) => {}
            ToAgent::Dispatch(dispatch) => {
                self.attempts.dispatch(now, connection, *dispatch, out);
            }
            ToAgent::Body { attempt, bytes } => {
                self.attempts.body(now, connection, attempt, &bytes, out);
            }
            ToAgent::Resume {
                attempt,
                offset,
                credit_bytes,
            } => self
                .attempts
                .resume(now, connection, attempt, offset, credit_bytes, out),
            ToAgent::Credit {
                attempt,
                received,
                bytes,
            } => self
                .attempts
                .credit(now, connection, attempt, received, bytes, out),
            ToAgent::Cancel { attempt } => self.attempts.cancel(now, connection, attempt, out),
            ToAgent::Forbid {
                attempt,
                incarnation,
            } => self
                .attempts
                .forbid(now, connection, attempt, incarnation, out),
            ToAgent::OrderHint { number } => {
                if number > self.orders.read_number() {
                    self.orders.row.hint();
                    self.advance(now, out);
                }
            }
            ToAgent::Ping { nonce } => {
                let load = self.attempts.load.report(now);
                out.push(Action::Send {
                    connection,
                    message: ToEntry::Pong { nonce, load },
                });
            }
        }
    }

    fn hello(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: &Hello,
        out: &mut Vec<Action>,
    ) {
        if hello.to != self.limits.target {
            refuse_connection(connection, "meant for another target", out);
            return;
        }
        self.connections.insert(connection, now);
        self.cover.connected(connection, hello.process);
        out.push(Action::Send {
            connection,
            message: ToEntry::Welcome {
                target: self.limits.target.clone(),
                incarnation: self.limits.incarnation,
                load: self.attempts.load.report(now),
            },
        });
    }

    fn cache_events(&mut self, events: Vec<CacheEvent>, out: &mut Vec<Action>) {
        let Some(last) = events.last() else {
            return;
        };
        self.orders.engine.cache_sequence = last.sequence;
        for batch in events.chunks(CACHE_BATCH) {
            for connection in self.connections.keys() {
                out.push(Action::Send {
                    connection: *connection,
                    message: ToEntry::Cache(batch.to_vec()),
                });
            }
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.close_silent(now, out);
        self.attempts.tick(now, out);
        self.advance(now, out);
        self.stop_when_done(now, out);
        self.ticked = Some(now);
    }

    /// After a pause of this process the frames of that time are still to be read.
    fn close_silent(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = self
            .ticked
            .map_or(TICK_MS, |at| now.saturating_duration_since(at));
        if gap >= SILENCE_LIMIT_MS / 2 {
            for heard in self.connections.values_mut() {
                *heard = now;
            }
            return;
        }
        let silent: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(connection, heard)| {
                let is_silent = now >= **heard + SILENCE_LIMIT_MS;
                is_silent
                    && (now >= **heard + IDLE_LIMIT_MS || self.attempts.has_reader(**connection))
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in silent {
            self.connections.remove(&connection);
            self.cover.disconnected(connection);
            self.attempts.disconnected(now, connection, out);
            out.push(Action::Close { connection });
        }
    }

    /// Goes on with registration and orders, and announces a change of the target's state.
    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        let in_service = self.attempts.in_service();
        let before = flags(&self.attempts.load);
        self.orders.row.poll_ms = if self.cover.is_covered(now) {
            self.limits.order_backup_poll_ms
        } else {
            self.limits.order_poll_ms
        };
        self.orders.advance(now, in_service, out);
        self.orders.describe(now, &mut self.attempts.load);
        // A stage that was entered just now is carried on at once.
        self.orders.advance(now, in_service, out);
        self.orders.describe(now, &mut self.attempts.load);
        if flags(&self.attempts.load) == before {
            return;
        }
        for connection in self.connections.keys() {
            let load = self.attempts.load.report(now);
            out.push(Action::Send {
                connection: *connection,
                message: ToEntry::Load(load),
            });
        }
    }

    fn leave(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        out.push(Action::Log(Note::Leaving {
            in_service: self.attempts.in_service(),
        }));
        if self.orders.hold() == Hold::Kept {
            self.orders.end(Hold::Ending);
        }
        self.advance(now, out);
    }

    fn stop_when_done(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.orders.hold() == Hold::Kept {
            return;
        }
        let is_announced = self
            .leaving_since
            .is_none_or(|since| now >= since + self.limits.notice_ms);
        if !is_announced
            || self.attempts.in_service() > 0
            || self.attempts.is_delivering()
            || !self.orders.is_quiet(now)
        {
            self.idle_since = None;
            return;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if !self.attempts.is_acknowledged() && now < idle_since + LINGER_MS {
            return;
        }
        match self.orders.hold() {
            Hold::Superseded => return self.exit(ExitReason::Superseded, out),
            Hold::Refused => return self.exit(ExitReason::Withdrawn, out),
            _ => {}
        }
        self.orders.release();
        self.advance(now, out);
        let is_over = self.orders.hold() == Hold::Released
            || self.orders.row.held.is_none()
            || now >= idle_since + RELEASE_LIMIT_MS;
        if is_over {
            self.exit(ExitReason::Stopped, out);
        }
    }

    fn exit(&mut self, reason: ExitReason, out: &mut Vec<Action>) {
        self.exited = true;
        out.push(Action::Exit(reason));
    }
}

/// Part of the report that entries must hear of at once.
fn flags(load: &LoadBook) -> (bool, bool, u64) {
    (load.leaving, load.away, load.applied)
}
