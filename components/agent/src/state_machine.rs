//! State machine of the agent: takes events and returns actions.

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
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Event;
use crate::event::ExitReason;
use crate::hint_sources::HintSources;
use crate::limits::ACKNOWLEDGE_LIMIT_MS;
use crate::limits::IDLE_LIMIT_MS;
use crate::limits::Limits;
use crate::limits::RELEASE_LIMIT_MS;
use crate::limits::SILENCE_LIMIT_MS;
use crate::limits::TICK_MS;
use crate::load::LoadReporter;
use crate::log_event::LogEvent;
use crate::orders::Orders;
use crate::orders::RegistrationState;

/// Maximum number of cache events in one frame.
const CACHE_BATCH_LIMIT: usize = 1024;

/// State machine of one agent process.
pub struct Agent {
    limits: Rc<Limits>,
    attempts: Attempts,
    orders: Orders,
    /// Connections that have sent `Hello`, with the time of their last frame.
    connections: BTreeMap<ConnectionId, Instant>,
    hint_sources: HintSources,
    stopping_since: Option<Instant>,
    idle_since: Option<Instant>,
    last_tick: Option<Instant>,
    has_exited: bool,
}

impl Agent {
    /// Starts without any state; the first `Tick` begins registration.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let limits = Rc::new(limits);
        Self {
            attempts: Attempts::new(limits.clone()),
            orders: Orders::new(limits.clone()),
            limits,
            connections: BTreeMap::new(),
            hint_sources: HintSources::default(),
            stopping_since: None,
            idle_since: None,
            last_tick: None,
            has_exited: false,
        }
    }

    /// Accepted attempts whose run at the target has not finished.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.in_flight()
    }

    /// Incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.limits.incarnation
    }

    /// Source of the load reports.
    #[must_use]
    pub fn load(&self) -> &LoadReporter {
        &self.attempts.load
    }

    /// Handles one event; returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if self.has_exited {
            return out;
        }
        match event {
            Event::Message {
                connection,
                message,
            } => self.message(now, connection, message, &mut out),
            Event::Disconnected { connection } => {
                self.hint_sources.disconnected(connection);
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
            // Returns early because these events are frequent and affect orders only through the
            // count of attempts in flight, which the next tick checks.
            Event::Target { run, event } => {
                self.attempts.target_event(now, run, event, &mut out);
                return out;
            }
            Event::EngineLoad(load) => self.attempts.engine_load(now, load, &mut out),
            Event::CacheEvents(events) => self.cache_events(events, &mut out),
            Event::EngineState(state) => {
                self.orders.engine_state(state, &mut out);
                self.advance(now, &mut out);
            }
            Event::OrderAnswered(outcome) => {
                self.orders.order_answered(now, outcome, &mut out);
                self.advance(now, &mut out);
            }
            Event::SlotReply(result) => {
                self.orders.slot_reply(now, &result);
                self.advance(now, &mut out);
            }
            Event::TableDone { operation, result } => {
                let event = self.orders.row.complete(now, operation, result, &mut out);
                self.orders.row_event(now, event, &mut out);
                self.advance(now, &mut out);
            }
            Event::EntryProbed {
                entry,
                sequence,
                head,
            } => self.hint_sources.record_probe(now, entry, sequence, head),
            Event::ConcurrencyChanged(concurrency) => {
                self.attempts.set_concurrency(now, concurrency, &mut out);
            }
            Event::StopRequested => self.begin_stop(now, &mut out),
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
        let Some(last_frame_at) = self.connections.get_mut(&connection) else {
            refuse_connection(connection, "message before hello", out);
            return;
        };
        *last_frame_at = now;
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
                if number > self.orders.latest_number() {
                    self.orders.row.poll_soon();
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
            refuse_connection(connection, "hello names another target", out);
            return;
        }
        self.connections.insert(connection, now);
        self.hint_sources.connected(connection, hello.process);
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
        for batch in events.chunks(CACHE_BATCH_LIMIT) {
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
        self.last_tick = Some(now);
    }

    /// Closes connections that exceed the silence limit. After a pause of this process no
    /// connection is closed, because frames received meanwhile have not been read yet.
    fn close_silent(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = self
            .last_tick
            .map_or(TICK_MS, |at| now.saturating_duration_since(at));
        if gap >= SILENCE_LIMIT_MS / 2 {
            for last_frame_at in self.connections.values_mut() {
                *last_frame_at = now;
            }
            return;
        }
        let silent: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(connection, last_frame_at)| {
                let is_silent = now >= **last_frame_at + SILENCE_LIMIT_MS;
                is_silent
                    && (now >= **last_frame_at + IDLE_LIMIT_MS
                        || self.attempts.has_reader(**connection))
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in silent {
            self.connections.remove(&connection);
            self.hint_sources.disconnected(connection);
            self.attempts.disconnected(now, connection, out);
            out.push(Action::Close { connection });
        }
    }

    /// Advances registration and orders, and reports the load to all entries if the target's
    /// availability changed.
    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        let in_flight = self.attempts.in_flight();
        let before = announced_state(&self.attempts.load);
        self.orders.row.poll_ms = if self.hint_sources.has_enough(now) {
            self.limits.order_backup_poll_ms
        } else {
            self.limits.order_poll_ms
        };
        self.orders.advance(now, in_flight, out);
        self.orders.update_load(now, &mut self.attempts.load);
        // Runs again, so that a stage entered in the first call continues without waiting for a
        // tick.
        self.orders.advance(now, in_flight, out);
        self.orders.update_load(now, &mut self.attempts.load);
        if announced_state(&self.attempts.load) == before {
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

    fn begin_stop(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(now);
        out.push(Action::Log(LogEvent::Leaving {
            in_flight: self.attempts.in_flight(),
        }));
        if self.orders.registration_state() == RegistrationState::Active {
            self.orders.stop(RegistrationState::Stopping);
        }
        self.advance(now, out);
    }

    fn stop_when_done(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.orders.registration_state() == RegistrationState::Active {
            return;
        }
        let is_announced = self
            .stopping_since
            .is_none_or(|since| now >= since + self.limits.notice_ms);
        if !is_announced
            || self.attempts.in_flight() > 0
            || self.attempts.is_delivering()
            || !self.orders.is_settled(now)
        {
            self.idle_since = None;
            return;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if !self.attempts.is_acknowledged() && now < idle_since + ACKNOWLEDGE_LIMIT_MS {
            return;
        }
        match self.orders.registration_state() {
            RegistrationState::Superseded => return self.exit(ExitReason::Superseded, out),
            RegistrationState::Refused => return self.exit(ExitReason::Withdrawn, out),
            _ => {}
        }
        self.orders.release();
        self.advance(now, out);
        let is_finished = self.orders.registration_state() == RegistrationState::Released
            || self.orders.row.registered.is_none()
            || now >= idle_since + RELEASE_LIMIT_MS;
        if is_finished {
            self.exit(ExitReason::Stopped, out);
        }
    }

    fn exit(&mut self, reason: ExitReason, out: &mut Vec<Action>) {
        self.has_exited = true;
        out.push(Action::Exit(reason));
    }
}

/// Load report fields whose change is sent to entries at once.
fn announced_state(load: &LoadReporter) -> (bool, bool, u64) {
    (load.leaving, load.away, load.applied)
}
