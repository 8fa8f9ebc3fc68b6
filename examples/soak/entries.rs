//! Entry processes: start, stop, and execution of the actions that `EntryCore` returns.

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
use entry::core::LogEvent;
use store::RetryingTable;
use store::StoreError;
use store::Table;
use types::Incarnation;
use types::OrderKind;
use wire::ToAgent;

use crate::callers::CallerEvent;
use crate::net::Frame;
use crate::repairs::Repair;
use crate::setup::MODEL_SERVICE;
use crate::setup::core_options;
use crate::setup::node_at;
use crate::simulation::Input;
use crate::simulation::Node;
use crate::simulation::SimEvent;
use crate::simulation::Simulation;

/// Time until the load balancer stops sending to an entry that is stopping.
const BALANCER_NOTICE_MS: Duration = Duration::from_secs(1);

/// Host of an entry, with its current process.
pub struct EntryHost {
    pub incarnation: Incarnation,
    pub core: Option<EntryCore>,
    pub paused_until: Option<Instant>,
    pub inbox: VecDeque<Input>,
    pub next_timer: Option<Instant>,
    /// The load balancer sends requests to this entry.
    pub is_in_rotation: bool,
    pub is_stopping: bool,
    /// The process cannot reach the platform (table, object store and host list).
    pub is_disconnected: Rc<Cell<bool>>,
    pub table: Option<Rc<RetryingTable>>,
    pub executor: Option<Rc<Executor>>,
    /// Lease of the model service as last acquired by this run; kept after it is lost.
    pub held: Option<HeldLease>,
    /// Configuration revision at the last check of this run.
    pub revision: u64,
    /// End of the last fault that kept the process from reading the configuration.
    pub stable_since: Instant,
}

impl EntryHost {
    pub fn new() -> Self {
        Self {
            incarnation: 0,
            core: None,
            paused_until: None,
            inbox: VecDeque::new(),
            next_timer: None,
            is_in_rotation: false,
            is_stopping: false,
            is_disconnected: Rc::default(),
            table: None,
            executor: None,
            held: None,
            revision: 0,
            stable_since: Instant::now(),
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

impl Simulation {
    pub fn start_entry(&mut self, at: usize) {
        let incarnation = self.random_id();
        let is_disconnected: Rc<Cell<bool>> = Rc::default();
        let table = self.retrying_table(is_disconnected.clone());
        let executor = self.executor(table.clone());
        let now = self.now();
        let host = &mut self.entries[at];
        host.incarnation = incarnation;
        host.core = Some(EntryCore::new(core_options(at), incarnation, now));
        host.paused_until = None;
        host.inbox.clear();
        host.next_timer = None;
        host.is_in_rotation = true;
        host.is_stopping = false;
        host.is_disconnected = is_disconnected;
        host.table = Some(table);
        host.executor = Some(executor);
        host.held = None;
        host.revision = 0;
        host.stable_since = now;
        self.log(&format!("entry {at} starts as {incarnation:x}"));
        self.handle_entry_event(at, Event::Tick);
    }

    /// Ends the process at once. With `silently`, its connections stay open without traffic.
    pub fn kill_entry(&mut self, at: usize, silently: bool) {
        let run = self.entries[at].incarnation;
        if !self.entries[at].is_up() {
            return;
        }
        self.end_connections(Node::Entry(at), run, silently);
        self.tasks.cancel(run);
        let host = &mut self.entries[at];
        host.core = None;
        host.is_in_rotation = false;
        self.disconnect_callers(at, run);
    }

    /// Starts a graceful stop, which must not abort any request.
    pub fn stop_entry(&mut self, at: usize) {
        let host = &mut self.entries[at];
        if !host.is_up() || host.is_stopping {
            return;
        }
        host.is_in_rotation = false;
        host.is_stopping = true;
        let run = host.incarnation;
        let event = Input::Entry(Event::Leaving);
        self.deliver_after(BALANCER_NOTICE_MS, Node::Entry(at), run, event);
    }

    pub fn handle_entry_event(&mut self, at: usize, event: Event) {
        if self.may_kill_after_put(at, &event) {
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
        if host.next_timer.is_none_or(|next_timer| wake < next_timer) {
            host.next_timer = Some(wake);
            self.schedule_at(wake, SimEvent::Timer(Node::Entry(at), run));
        }
        for action in actions {
            self.execute_entry_action(at, run, action);
        }
        self.stop_entry_when_idle(at);
    }

    fn stop_entry_when_idle(&mut self, at: usize) {
        let now = self.now();
        let host = &self.entries[at];
        let run = host.incarnation;
        let is_done = host.is_stopping
            && host
                .core
                .as_ref()
                .is_some_and(|core| core.is_stopping() && core.is_idle(now));
        if !is_done {
            return;
        }
        self.count_check("8 entry stopped");
        let open = self.waiting_callers(at, run);
        if open > 0 {
            self.record_violation(format!(
                "invariant 8: entry {at} stops with {open} callers waiting"
            ));
        }
        self.end_connections(Node::Entry(at), run, false);
        self.tasks.cancel(run);
        let host = &mut self.entries[at];
        host.core = None;
        self.log(&format!("entry {at} has stopped"));
        let delay = self.random_ms(500, 1_500);
        self.schedule_after(delay, SimEvent::Repair(Repair::Entry(at)));
    }

    fn execute_entry_action(&mut self, at: usize, run: Incarnation, action: Action) {
        let node = Node::Entry(at);
        match action {
            Action::Reply { request, reply } => {
                self.schedule_after(
                    Duration::from_millis(1),
                    SimEvent::Caller(CallerEvent::Reply(request, reply)),
                );
            }
            Action::OpenLink {
                link,
                target,
                address,
            } => {
                let open = SimEvent::Connect(at, run, link, target, address);
                self.schedule_after(Duration::from_millis(2), open);
            }
            Action::CloseLink { link } => {
                if let Some(index) = self.connection_of.get(&(at, run, link)).copied() {
                    self.close_connection(index, true);
                }
            }
            Action::Send { link, message } => {
                if let ToAgent::Dispatch(dispatch) = &message {
                    self.record_dispatch(dispatch);
                }
                if let Some(index) = self.connection_of.get(&(at, run, link)).copied() {
                    self.send_frame(index, Frame::ToAgent(message), true);
                }
            }
            Action::SendDatagram { to, datagram } => self.send_datagram(node, to, &datagram),
            Action::Table { operation, request } => self.call_table(at, run, operation, request),
            Action::Object { operation, request } => {
                self.call_objects(at, run, operation, request);
            }
            Action::ReadHosts => {
                let now = self.now();
                let result = if self.entries[at].is_disconnected.get() {
                    Err(StoreError::Unavailable("no connection".to_owned()))
                } else {
                    Ok(self.hosts.list(now))
                };
                let input = Input::Entry(Event::Hosts(result));
                self.deliver_after(Duration::from_millis(2), node, run, input);
            }
            Action::RequestChanges { address, after } => {
                if let Some(there @ Node::Entry(peer)) = node_at(address)
                    && !self.is_partitioned(node, there)
                {
                    let peer_run = self.entries[peer].incarnation;
                    let event = Event::ChangesRequested { peer: run, after };
                    self.deliver_after(
                        Duration::from_millis(3),
                        there,
                        peer_run,
                        Input::Entry(event),
                    );
                }
            }
            Action::SendChanges { peer, answer } => {
                let there = self.entries.iter().position(|host| host.is_run(peer));
                if let Some(there) = there
                    .map(Node::Entry)
                    .filter(|to| !self.is_partitioned(node, *to))
                {
                    let event = Event::ChangesReceived { peer: run, answer };
                    self.deliver_after(Duration::from_millis(3), there, peer, Input::Entry(event));
                }
            }
            Action::WritePlannedOrder {
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
                self.apply_intent(at, run, intent, reason, Some(service));
            }
            Action::RecordKeptPlan { held, reason } => {
                self.count("role changes weighed and refused");
                self.apply_intent(at, run, PlanKept { held }, reason, None);
            }
            Action::Log(event) => self.handle_log_event(at, &event),
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

    fn apply_intent<I>(
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

    /// Writes an order under the lease that the entry last acquired, even if it has been lost.
    pub fn order_under_lease(&mut self, at: usize, target: &str, kind: OrderKind) {
        let host = &self.entries[at];
        let (Some(held), Some(executor)) = (host.held.clone(), host.executor.clone()) else {
            return;
        };
        let run = host.incarnation;
        let commits = self.commits.clone();
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
                reason: crate::roles::SIMULATION_REASON,
            };
            let result = executor.apply(&intent, author).await;
            if let Ok(Some(change)) = result {
                commits.borrow_mut().check_planned_order(&change, &held);
            }
        });
    }

    fn handle_log_event(&mut self, at: usize, event: &LogEvent) {
        match event {
            LogEvent::RequestSettled { .. } | LogEvent::ConfigurationApplied { .. } => {}
            LogEvent::LeaseAcquired { scope, fencing } => {
                self.count("leases acquired");
                let line = format!("entry {at} holds the lease {scope} ({fencing})");
                self.log(&line);
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
            LogEvent::ConfigurationRejected { detail } => {
                self.record_violation(format!("invariant 9: entry {at} rejects: {detail}"));
            }
            other => self.log(&format!("entry {at}: {other:?}")),
        }
    }
}
