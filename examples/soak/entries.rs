//! Entry processes: their start, their end, and what they ask for.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use control::Executor;
use control::HeldLease;
use control::PlanKept;
use control::PlannedOrder;
use entry::core::Action;
use entry::core::EntryCore;
use entry::core::Event;
use entry::core::Note;
use store::Guarded;
use store::StoreError;
use store::Table;
use types::Incarnation;
use types::OrderKind;
use wire::ToAgent;

use crate::callers::CallerEvent;
use crate::net::Frame;
use crate::repair::Repair;
use crate::setup::MODEL_SERVICE;
use crate::setup::core_options;
use crate::setup::node_at;
use crate::world::Happening;
use crate::world::Input;
use crate::world::Node;
use crate::world::World;

/// Time for the balancer to notice that an entry is stopping.
const BALANCER_NOTICE_MS: Duration = Duration::from_secs(1);

/// Host of an entry, and the process on it.
pub struct EntryHost {
    pub incarnation: Incarnation,
    pub core: Option<EntryCore>,
    pub paused_until: Option<Instant>,
    pub inbox: VecDeque<Input>,
    pub armed: Option<Instant>,
    /// The balancer sends requests here.
    pub staying: bool,
    pub leaving: bool,
    pub cut: Rc<Cell<bool>>,
    pub table: Option<Rc<Guarded>>,
    pub executor: Option<Rc<Executor>>,
    /// Lease of the model service as this run acquired it, also after it was lost.
    pub held: Option<HeldLease>,
    /// Last revision seen in force in this run.
    pub revision: u64,
    /// Since when nothing has kept the process from the configuration.
    pub undisturbed: Instant,
}

impl EntryHost {
    pub fn new() -> Self {
        Self {
            incarnation: 0,
            core: None,
            paused_until: None,
            inbox: VecDeque::new(),
            armed: None,
            staying: false,
            leaving: false,
            cut: Rc::default(),
            table: None,
            executor: None,
            held: None,
            revision: 0,
            undisturbed: Instant::now(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    pub fn is_run(&self, incarnation: Incarnation) -> bool {
        self.is_up() && self.incarnation == incarnation
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }
}

impl World {
    pub fn start_entry(&mut self, at: usize) {
        let incarnation = self.fresh();
        let cut: Rc<Cell<bool>> = Rc::default();
        let table = self.guarded(cut.clone());
        let executor = self.executor(table.clone());
        let now = self.now();
        let host = &mut self.entries[at];
        host.incarnation = incarnation;
        host.core = Some(EntryCore::new(core_options(at), incarnation, now));
        host.paused_until = None;
        host.inbox.clear();
        host.armed = None;
        host.staying = true;
        host.leaving = false;
        host.cut = cut;
        host.table = Some(table);
        host.executor = Some(executor);
        host.held = None;
        host.revision = 0;
        host.undisturbed = now;
        self.note(&format!("entry {at} starts as {incarnation:x}"));
        self.entry_event(at, Event::Tick);
    }

    /// The process ends at once. With `silently`, its connections are not closed.
    pub fn kill_entry(&mut self, at: usize, silently: bool) {
        let run = self.entries[at].incarnation;
        if !self.entries[at].is_up() {
            return;
        }
        self.end_conns(Node::Entry(at), run, silently);
        self.tasks.cancel(run);
        let host = &mut self.entries[at];
        host.core = None;
        host.staying = false;
        self.entry_lost(at, run);
    }

    /// The process is asked to stop and must cut off nothing.
    pub fn stop_entry(&mut self, at: usize) {
        let host = &mut self.entries[at];
        if !host.is_up() || host.leaving {
            return;
        }
        host.staying = false;
        host.leaving = true;
        let run = host.incarnation;
        let event = Input::Entry(Event::Leaving);
        self.later(BALANCER_NOTICE_MS, Node::Entry(at), run, event);
    }

    pub fn entry_event(&mut self, at: usize, event: Event) {
        if self.killed_after_put(at, &event) {
            return;
        }
        let now = self.now();
        let host = &mut self.entries[at];
        let run = host.incarnation;
        let Some(core) = &mut host.core else {
            return;
        };
        let actions = core.handle(now, event);
        let wake = core.next_wake().max(now + Duration::from_micros(10));
        if host.armed.is_none_or(|armed| wake < armed) {
            host.armed = Some(wake);
            self.at(wake, Happening::Wake(Node::Entry(at), run));
        }
        for action in actions {
            self.carry_out_entry(at, run, action);
        }
        self.entry_may_stop(at);
    }

    fn entry_may_stop(&mut self, at: usize) {
        let now = self.now();
        let host = &self.entries[at];
        let run = host.incarnation;
        let is_done = host.leaving
            && host
                .core
                .as_ref()
                .is_some_and(|core| core.is_stopping() && core.is_idle(now));
        if !is_done {
            return;
        }
        self.check("8 entry stopped");
        let open = self.open_at(at, run);
        if open > 0 {
            self.violation(format!("invariant 8: entry {at} stops with {open} callers"));
        }
        self.end_conns(Node::Entry(at), run, false);
        self.tasks.cancel(run);
        let host = &mut self.entries[at];
        host.core = None;
        self.note(&format!("entry {at} has stopped"));
        let delay = self.millis(500, 1_500);
        self.after(delay, Happening::Repair(Repair::Entry(at)));
    }

    fn carry_out_entry(&mut self, at: usize, run: Incarnation, action: Action) {
        let node = Node::Entry(at);
        match action {
            Action::Reply { request, reply } => {
                self.after(
                    Duration::from_millis(1),
                    Happening::Caller(CallerEvent::Reply(request, reply)),
                );
            }
            Action::OpenLink {
                link,
                target,
                address,
            } => {
                let open = Happening::Connect(at, run, link, target, address);
                self.after(Duration::from_millis(2), open);
            }
            Action::CloseLink { link } => {
                if let Some(index) = self.conn_of.get(&(at, run, link)).copied() {
                    self.close_conn(index, true);
                }
            }
            Action::Send { link, message } => {
                if let ToAgent::Dispatch(dispatch) = &message {
                    self.note_dispatch(dispatch);
                }
                if let Some(index) = self.conn_of.get(&(at, run, link)).copied() {
                    self.send_frame(index, Frame::ToAgent(message), true);
                }
            }
            Action::SendDatagram { to, datagram } => self.datagram(node, to, &datagram),
            Action::Table { operation, request } => self.call_table(at, run, operation, request),
            Action::Object { operation, request } => {
                self.call_objects(at, run, operation, request);
            }
            Action::ReadHosts => {
                let now = self.now();
                let result = if self.entries[at].cut.get() {
                    Err(StoreError::Unavailable("no connection".to_owned()))
                } else {
                    Ok(self.hosts.list(now))
                };
                let input = Input::Entry(Event::Hosts(result));
                self.later(Duration::from_millis(2), node, run, input);
            }
            Action::AskPeer { address, after } => {
                if let Some(there @ Node::Entry(peer)) = node_at(address)
                    && !self.is_cut(node, there)
                {
                    let peer_run = self.entries[peer].incarnation;
                    let event = Event::PeerAsks { peer: run, after };
                    self.later(
                        Duration::from_millis(3),
                        there,
                        peer_run,
                        Input::Entry(event),
                    );
                }
            }
            Action::AnswerPeer { peer, answer } => {
                let there = self.entries.iter().position(|host| host.is_run(peer));
                if let Some(there) = there.map(Node::Entry).filter(|to| !self.is_cut(node, *to)) {
                    let event = Event::PeerAnswered { peer: run, answer };
                    self.later(Duration::from_millis(3), there, peer, Input::Entry(event));
                }
            }
            Action::PlanOrder {
                held,
                target,
                kind,
                reason,
            } => {
                self.count("planned orders");
                let service = held.scope.clone();
                let intent = PlannedOrder {
                    held,
                    target,
                    kind,
                    supersedes: None,
                };
                self.apply_planned(at, run, intent, reason, Some(service));
            }
            Action::KeepPlan { held, reason } => {
                self.count("role changes weighed and refused");
                self.apply_planned(at, run, PlanKept { held }, reason, None);
            }
            Action::Note(event) => self.entry_note(at, &event),
        }
    }

    fn call_table(
        &mut self,
        at: usize,
        run: Incarnation,
        operation: u64,
        request: store::TableRequest,
    ) {
        let Some(table) = self.entries[at].table.clone() else {
            return;
        };
        let results = self.results.clone();
        self.tasks.spawn(run, async move {
            let result = table.call(request).await;
            let event = Event::TableDone { operation, result };
            results
                .borrow_mut()
                .push_back((Node::Entry(at), run, Input::Entry(event)));
        });
    }

    fn apply_planned<I>(
        &mut self,
        at: usize,
        run: Incarnation,
        intent: I,
        reason: String,
        service: Option<String>,
    ) where
        I: control::Intent<Error = control::CommandError> + 'static,
    {
        let Some(executor) = self.entries[at].executor.clone() else {
            return;
        };
        let results = self.results.clone();
        self.tasks.spawn(run, async move {
            let author = control::Author {
                by: "planner",
                reason: &reason,
            };
            let result = executor.apply(&intent, author).await;
            if let Some(service) = service {
                let error = result.err().map(|error| error.to_string());
                let event = Event::OrderPlanned { service, error };
                results
                    .borrow_mut()
                    .push_back((Node::Entry(at), run, Input::Entry(event)));
            }
        });
    }

    /// Gives an order under the lease that the entry acquired, whether or not it still holds it.
    pub fn plan_as(&mut self, at: usize, target: &str, kind: OrderKind) {
        let host = &self.entries[at];
        let (Some(held), Some(executor)) = (host.held.clone(), host.executor.clone()) else {
            return;
        };
        let run = host.incarnation;
        let facts = self.facts.clone();
        let intent = PlannedOrder {
            held: held.clone(),
            target: target.to_owned(),
            kind,
            supersedes: None,
        };
        self.count("orders planned by present and past holders");
        self.tasks.spawn(run, async move {
            let author = control::Author {
                by: "planner",
                reason: crate::roles::HARNESS_REASON,
            };
            let result = executor.apply(&intent, author).await;
            if let Ok(Some(change)) = result {
                facts.borrow_mut().planned(&change, &held);
            }
        });
    }

    fn entry_note(&mut self, at: usize, note: &Note) {
        match note {
            Note::RequestSettled { .. } | Note::ConfigurationApplied { .. } => {}
            Note::LeaseAcquired { scope, fencing } => {
                self.count("leases acquired");
                let line = format!("entry {at} holds the lease {scope} ({fencing})");
                self.note(&line);
                if scope == MODEL_SERVICE {
                    let row = self.table.row(&control::keys::lease(scope));
                    self.entries[at].held = Some(HeldLease {
                        scope: scope.clone(),
                        holder: self.entries[at].incarnation,
                        fencing: *fencing,
                        version: row.map_or(0, |row| row.version),
                    });
                }
            }
            Note::ConfigurationRejected { detail } => {
                self.violation(format!("invariant 9: entry {at} rejects: {detail}"));
            }
            other => self.note(&format!("entry {at}: {other:?}")),
        }
    }
}
