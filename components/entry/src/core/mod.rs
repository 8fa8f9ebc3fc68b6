//! Decisions of an entry, composed from the state machines of the other components.
//!
//! `EntryCore::handle` takes one event and returns the actions to carry out, in order. It does
//! no I/O, reads no clock, and takes all randomness from its seed, so that the daemon and
//! randomised runs in virtual time drive the same code.

mod beat;
mod configuration;
mod duties;
pub mod event;
pub mod hints;
mod journal;
pub mod links;
pub mod note;
pub mod operations;
pub mod options;
mod planning;
pub mod probes;
mod report;
mod router;
pub mod share;
mod sharing;
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
use request::Terms;
use types::HostName;
use types::Incarnation;
use types::RequestId;
use types::ServiceName;
use types::TargetName;
use types::request_id;

pub use event::Action;
pub use event::Event;
pub use note::Note;
pub use options::CoreOptions;

use crate::core::duties::Duties;
use crate::core::hints::Hints;
use crate::core::journal::Journal;
use crate::core::links::Links;
use crate::core::operations::Operations;
use crate::core::operations::Owner;
use crate::core::planning::Plan;
use crate::core::probes::Probes;
use crate::core::router::PlanningRouter;
use crate::core::share::Shares;
use crate::core::traffic::note_down;

/// Longest time between two ticks; bounds how late silence and probes are noticed.
const TICK_MS: Duration = Duration::from_millis(50);

/// Between two looks at which connections are in use; each one goes over all requests.
const WATCH_MS: Duration = Duration::from_millis(250);
/// Logged for a connection that is replaced without having been closed.
const SILENT: &str = "silent for too long";

/// State of an entry.
pub struct EntryCore {
    options: CoreOptions,
    incarnation: Incarnation,
    counter: u64,
    follower: Follower,
    terms: BTreeMap<ServiceName, Terms>,
    applied: Option<Rc<Snapshot>>,
    router: PlanningRouter,
    requests: Requests,
    links: Links,
    watch_due: Instant,
    shares: Shares,
    shares_due: Instant,
    /// Connected targets outside the share, with the time until which they are kept.
    outside: BTreeMap<TargetName, Instant>,
    probes: Probes,
    duties: Duties,
    operations: Operations,
    journal: Journal,
    hints: Hints,
    leaving_hosts: BTreeSet<HostName>,
    hosts_due: Instant,
    hosts_failing: bool,
    objects_failing: bool,
    plans: BTreeMap<ServiceName, Plan>,
    plans_due: Instant,
    next_peer: usize,
    next_tick: Instant,
    leaving_since: Option<Instant>,
}

impl EntryCore {
    /// Starts without configuration. The incarnation is random and new for each run.
    #[must_use]
    pub fn new(options: CoreOptions, incarnation: Incarnation, now: Instant) -> Self {
        let seed = incarnation;
        let peers = options.peers.clone();
        Self {
            incarnation,
            counter: 0,
            follower: Follower::new(options.follower, now, seed),
            terms: BTreeMap::new(),
            applied: None,
            router: PlanningRouter::new(options.routing.clone(), seed),
            requests: Requests::new(incarnation, seed),
            links: Links::new(options.links),
            watch_due: now,
            shares: Shares::new(options.share_targets, options.address, &peers),
            shares_due: now,
            outside: BTreeMap::new(),
            probes: Probes::new(now, incarnation, options.probe_ms, peers),
            duties: Duties::new(incarnation, &options, now),
            operations: Operations::default(),
            journal: Journal::default(),
            hints: Hints::default(),
            leaving_hosts: BTreeSet::new(),
            hosts_due: now,
            hosts_failing: false,
            objects_failing: false,
            plans: BTreeMap::new(),
            plans_due: now,
            next_peer: 0,
            next_tick: now,
            leaving_since: None,
            options,
        }
    }

    /// Run of this process.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Id for the next request.
    pub fn new_request(&mut self) -> RequestId {
        self.counter += 1;
        request_id(self.incarnation, self.counter)
    }

    /// What requests to a service are bound to now.
    #[must_use]
    pub fn terms(&self, service: &str) -> Option<&Terms> {
        self.terms.get(service)
    }

    /// Latest snapshot; `None` until the first one was read.
    #[must_use]
    pub fn snapshot(&self) -> Option<&Rc<Snapshot>> {
        self.follower.snapshot()
    }

    /// Whether the entry was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether nothing is left to do after `Event::Leaving`. Writes that the table does not take
    /// within the duration of a lease are given up: leases lapse by then, and a claim without
    /// its outcome leads a resend to the agent that has the answer.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        if self.requests.is_idle() && self.duties.is_released() {
            return true;
        }
        let is_overdue = |since| now.saturating_duration_since(since) >= self.options.lease_ms;
        self.requests.is_served() && self.leaving_since.is_some_and(is_overdue)
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.open()
    }

    /// Pairs in the prefix-cache index.
    #[must_use]
    pub fn cache_hints(&self) -> usize {
        self.router.fleet.index_len()
    }

    /// When `Event::Tick` is needed next.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let requests = self.requests.next_tick();
        requests.map_or(self.next_tick, |at| at.min(self.next_tick))
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Submitted {
                request,
                submission,
            } => self.submitted(now, request, submission, &mut actions),
            Event::Consumed { request, bytes } => {
                let event = request::Event::Consumed { request, bytes };
                self.tell_requests(now, event, &mut actions);
            }
            Event::CallerGone { request } => {
                let event = request::Event::CallerGone { request };
                self.tell_requests(now, event, &mut actions);
            }
            Event::LinkMessage { link, message } => {
                self.link_message(now, link, message, &mut actions);
            }
            Event::LinkClosed { link, detail } => {
                self.link_closed(now, link, detail, &mut actions);
            }
            Event::Datagram(datagram) => self.datagram(now, datagram, &mut actions),
            Event::TableDone { operation, result } => {
                self.table_done(now, operation, result, &mut actions);
            }
            Event::ObjectDone { operation, result } => {
                self.object_done(now, operation, result, &mut actions);
            }
            Event::Hosts(result) => self.hosts(now, result, &mut actions),
            Event::PeerAsks { peer, after } => {
                let event = FollowerEvent::PeerAsks { peer, after };
                self.tell_follower(now, event, &mut actions);
            }
            Event::PeerAnswered { peer, answer } => {
                let event = FollowerEvent::PeerAnswered { peer, answer };
                self.tell_follower(now, event, &mut actions);
            }
            Event::OrderPlanned { service, error } => {
                self.order_planned(service, error, &mut actions);
            }
            Event::Leaving => self.leave(now, &mut actions),
            Event::Tick => {}
        }
        self.tick(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.requests.next_tick().is_some_and(|at| at <= now) {
            self.tell_requests(now, request::Event::Tick, actions);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_MS;
        if self.follower.next_wake() <= now {
            self.tell_follower(now, FollowerEvent::Tick, actions);
        }
        self.watch_links(now);
        let links = self.links.tick(now);
        note_down(&links, SILENT, actions);
        self.carry_out_links(now, links, actions);
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
        if now >= self.hosts_due {
            self.hosts_due = now + self.options.hosts_poll_ms;
            actions.push(Action::ReadHosts);
        }
        self.tick_duties(now, actions);
        self.tick_share(now, actions);
        self.tick_planning(now, actions);
    }

    fn watch_links(&mut self, now: Instant) {
        if now < self.watch_due {
            return;
        }
        self.watch_due = now + WATCH_MS;
        self.hints.forget_old(now);
        let in_use = self.requests.targets_in_use();
        let (probes, hints) = (&self.probes, &self.hints);
        let is_in_use = |target: &TargetName| {
            in_use.contains(target) || probes.is_unanswered(target) || hints.is_fresh(target)
        };
        self.links.watch(now, is_in_use);
    }

    fn leave(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.leaving_since = Some(now);
        actions.push(Action::Note(Note::Stopping {
            in_flight: self.requests.open(),
        }));
        self.tell_requests(now, request::Event::Leaving, actions);
        self.release_duties(now, actions);
    }

    fn begin(&mut self, owner: Owner, operation: u64) -> u64 {
        self.operations.begin(owner, operation)
    }

    fn order_planned(
        &mut self,
        service: ServiceName,
        error: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(detail) = error {
            self.router.order_failed(&service);
            actions.push(Action::Note(Note::OrderNotWritten { service, detail }));
        }
    }
}
