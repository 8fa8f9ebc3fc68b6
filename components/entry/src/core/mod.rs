//! Core of an entry: a state machine composed of those of the other components.
//!
//! `EntryCore::handle` takes one event and returns the actions to carry out, in order. It does
//! no I/O, reads no clock, and takes all randomness from its seed, so that the daemon and
//! randomised simulations in virtual time run the same code.

mod configuration;
pub mod event;
mod hints;
mod history;
mod keepalive;
mod leases;
pub mod links;
pub mod log_event;
pub mod options;
mod pending_calls;
mod planning;
pub mod probes;
mod report;
mod router;
pub mod share;
mod share_updates;
mod traffic;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use control::Follower;
use control::FollowerEvent;
use control::Snapshot;
use request::Requests;
use request::ServiceConfig;
use types::HostName;
use types::Incarnation;
use types::RequestId;
use types::ServiceName;
use types::TargetName;
use types::request_id;

pub use event::Action;
pub use event::Event;
pub use log_event::LogEvent;
pub use options::CoreOptions;

use crate::core::hints::OrderHints;
use crate::core::history::RequestHistory;
use crate::core::leases::Leases;
use crate::core::links::Links;
use crate::core::pending_calls::Owner;
use crate::core::pending_calls::PendingCalls;
use crate::core::planning::Plan;
use crate::core::probes::Probes;
use crate::core::router::PlanningRouter;
use crate::core::share::Shares;
use crate::core::traffic::log_lost_connections;

/// Maximum time between ticks. Probes are sent and silent connections detected up to this late.
const TICK_INTERVAL_MS: Duration = Duration::from_millis(50);

/// Interval of updating which connections are monitored. Each update iterates over all requests.
const MONITOR_UPDATE_MS: Duration = Duration::from_millis(250);
/// Logged for a connection that is replaced because its agent is silent.
const SILENCE_DETAIL: &str = "no message within the silence limit";

/// State machine of an entry.
pub struct EntryCore {
    options: CoreOptions,
    incarnation: Incarnation,
    request_counter: u64,
    follower: Follower,
    service_configs: BTreeMap<ServiceName, ServiceConfig>,
    applied: Option<Rc<Snapshot>>,
    router: PlanningRouter,
    requests: Requests,
    links: Links,
    next_monitor_update_at: Instant,
    shares: Shares,
    next_share_update_at: Instant,
    /// Connected targets outside the share, with the time at which they can be disconnected.
    outside_share: BTreeMap<TargetName, Instant>,
    probes: Probes,
    leases: Leases,
    pending_calls: PendingCalls,
    history: RequestHistory,
    order_hints: OrderHints,
    leaving_hosts: BTreeSet<HostName>,
    next_hosts_poll_at: Instant,
    is_host_list_failing: bool,
    is_object_store_failing: bool,
    plans: BTreeMap<ServiceName, Plan>,
    next_planning_at: Instant,
    next_peer: usize,
    next_tick: Instant,
    leaving_since: Option<Instant>,
}

impl EntryCore {
    /// Creates a core without configuration. The incarnation has to be random and unique to this
    /// run of the process.
    #[must_use]
    pub fn new(options: CoreOptions, incarnation: Incarnation, now: Instant) -> Self {
        let seed = incarnation;
        let peers = options.peers.clone();
        Self {
            incarnation,
            request_counter: 0,
            follower: Follower::new(options.follower, now, seed),
            service_configs: BTreeMap::new(),
            applied: None,
            router: PlanningRouter::new(options.routing.clone(), seed),
            requests: Requests::new(incarnation, seed),
            links: Links::new(options.links),
            next_monitor_update_at: now,
            shares: Shares::new(options.share_targets, options.address, &peers),
            next_share_update_at: now,
            outside_share: BTreeMap::new(),
            probes: Probes::new(now, incarnation, options.probe_ms, peers),
            leases: Leases::new(incarnation, &options, now),
            pending_calls: PendingCalls::default(),
            history: RequestHistory::default(),
            order_hints: OrderHints::default(),
            leaving_hosts: BTreeSet::new(),
            next_hosts_poll_at: now,
            is_host_list_failing: false,
            is_object_store_failing: false,
            plans: BTreeMap::new(),
            next_planning_at: now,
            next_peer: 0,
            next_tick: now,
            leaving_since: None,
            options,
        }
    }

    /// Incarnation of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Allocates the id of a new request.
    pub fn new_request(&mut self) -> RequestId {
        self.request_counter += 1;
        request_id(self.incarnation, self.request_counter)
    }

    /// Current configuration of a service: profile, revision and kind.
    #[must_use]
    pub fn service_config(&self, service: &str) -> Option<&ServiceConfig> {
        self.service_configs.get(service)
    }

    /// Latest configuration snapshot; `None` before the first one was read.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Rc<Snapshot>> {
        self.follower.snapshot()
    }

    /// Whether `Event::Leaving` was handled.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether the process can exit after `Event::Leaving`. Pending table writes are abandoned
    /// after the duration of a lease: by then the leases have expired, and a resend of a request
    /// whose claim has no outcome is directed to the agent that has the answer.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        if self.requests.is_idle() && self.leases.is_released() {
            return true;
        }
        let is_overdue = |since| now.saturating_duration_since(since) >= self.options.lease_ms;
        self.requests.is_served() && self.leaving_since.is_some_and(is_overdue)
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.in_flight()
    }

    /// Number of pairs in the prefix-cache index.
    #[must_use]
    pub fn prefix_index_len(&self) -> usize {
        self.router.fleet.index_len()
    }

    /// Time of the next `Event::Tick`.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let requests = self.requests.next_tick();
        requests.map_or(self.next_tick, |at| at.min(self.next_tick))
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted {
                request,
                submission,
            } => self.submit_request(now, request, submission, &mut actions),
            Event::Consumed { request, bytes } => {
                let event = request::Event::Consumed { request, bytes };
                self.handle_request_event(now, event, &mut actions);
            }
            Event::CallerDisconnected { request } => {
                let event = request::Event::CallerDisconnected { request };
                self.handle_request_event(now, event, &mut actions);
            }
            Event::LinkMessage { link, message } => {
                self.handle_link_message(now, link, message, &mut actions);
            }
            Event::LinkClosed { link, detail } => {
                self.handle_link_closed(now, link, detail, &mut actions);
            }
            Event::Datagram(datagram) => self.handle_datagram(now, datagram, &mut actions),
            Event::TableDone { operation, result } => {
                self.handle_table_result(now, operation, result, &mut actions);
            }
            Event::ObjectDone { operation, result } => {
                self.handle_object_result(now, operation, result, &mut actions);
            }
            Event::Hosts(result) => self.update_hosts(now, result, &mut actions),
            Event::ChangesRequested { peer, after } => {
                let event = FollowerEvent::ChangesRequested { peer, after };
                self.handle_follower_event(now, event, &mut actions);
            }
            Event::ChangesReceived { peer, answer } => {
                let event = FollowerEvent::ChangesReceived { peer, answer };
                self.handle_follower_event(now, event, &mut actions);
            }
            Event::OrderPlanned { service, error } => {
                self.handle_order_result(service, error, &mut actions);
            }
            Event::Leaving => self.stop(now, &mut actions),
            Event::Tick => {}
        }
        self.tick(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.requests.next_tick().is_some_and(|at| at <= now) {
            self.handle_request_event(now, request::Event::Tick, actions);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL_MS;
        if self.follower.next_wake() <= now {
            self.handle_follower_event(now, FollowerEvent::Tick, actions);
        }
        self.update_link_monitoring(now);
        let links = self.links.tick(now);
        log_lost_connections(&links, SILENCE_DETAIL, actions);
        self.apply_link_actions(now, links, actions);
        let head = self.follower.applied();
        let is_current = self.follower.is_current(now);
        let outgoing = self.probes.tick(now, head, self.links.targets());
        actions.extend(outgoing.into_iter().map(|out| Action::SendDatagram {
            to: out.to,
            datagram: if is_current {
                out.datagram
            } else {
                probes::without_head(out.datagram)
            },
        }));
        if now >= self.next_hosts_poll_at {
            self.next_hosts_poll_at = now + self.options.hosts_poll_ms;
            actions.push(Action::ReadHosts);
        }
        self.tick_leases(now, actions);
        self.tick_share(now, actions);
        self.tick_planners(now, actions);
    }

    fn update_link_monitoring(&mut self, now: Instant) {
        if now < self.next_monitor_update_at {
            return;
        }
        self.next_monitor_update_at = now + MONITOR_UPDATE_MS;
        self.order_hints.remove_expired(now);
        let in_use = self.requests.targets_in_use();
        let (probes, hints) = (&self.probes, &self.order_hints);
        let is_in_use = |target: &TargetName| {
            in_use.contains(target) || probes.is_unanswered(target) || hints.is_recent(target)
        };
        self.links.set_monitored(now, is_in_use);
    }

    fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.leaving_since = Some(now);
        actions.push(Action::Log(LogEvent::Stopping {
            in_flight: self.requests.in_flight(),
        }));
        self.handle_request_event(now, request::Event::Leaving, actions);
        self.release_leases(now, actions);
    }

    fn begin_call(&mut self, owner: Owner, operation: u64) -> u64 {
        self.pending_calls.begin(owner, operation)
    }

    fn handle_order_result(
        &mut self,
        service: ServiceName,
        error: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(detail) = error {
            self.router.order_failed(&service);
            actions.push(Action::Log(LogEvent::OrderNotWritten { service, detail }));
        }
    }
}
