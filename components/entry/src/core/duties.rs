//! Duties that one entry at a time has: planning for a service, and the deletion of expired
//! claims. Each is held by a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use control::HeldLease;
use control::Lease;
use control::LeaseAction;
use control::LeaseEvent;
use control::Snapshot;
use control::rendezvous;
use request::sweep::Sweep;
use request::sweep::SweepAction;
use request::sweep::SweepCall;
use request::sweep::SweepEvent;
use store::ObjectReply;
use store::StoreError;
use store::TableReply;
use types::Incarnation;
use types::ServiceKind;
use types::ServiceName;

use crate::core::Action;
use crate::core::CoreOptions;
use crate::core::EntryCore;
use crate::core::Note;
use crate::core::operations::Owner;

/// Scope of the lease for the deletion of expired claims.
const SWEEP_SCOPE: &str = "sweep";
/// Between two looks at a lease that this entry is no candidate for. With 380 entries and 38
/// scopes the leases take about 330 of the 2,000 reads a second of the table.
const LOOK_MS: Duration = Duration::from_mins(1);

/// This entry among those that compete for leases.
struct Competitor {
    me: Incarnation,
    lease_ms: Duration,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl Competitor {
    fn lease(&self, now: Instant, scope: &str) -> Lease {
        // Leases of one entry differ in their seeds, so that their calls spread over time.
        let seed = self.me ^ rendezvous::digest(scope);
        let lease = Lease::new(scope, self.me, self.lease_ms, now, seed);
        if rendezvous::is_lease_candidate(scope, self.address, &self.peers) {
            lease
        } else {
            lease.observing(LOOK_MS)
        }
    }
}

/// Leases that this entry holds or waits for.
pub struct Duties {
    competitor: Competitor,
    services: BTreeMap<ServiceName, Lease>,
    sweep_lease: Lease,
    sweep: Sweep,
    released: bool,
}

impl Duties {
    pub fn new(me: Incarnation, options: &CoreOptions, now: Instant) -> Self {
        let competitor = Competitor {
            me,
            lease_ms: options.lease_ms,
            address: options.address,
            peers: options.peers.clone(),
        };
        Self {
            services: BTreeMap::new(),
            sweep_lease: competitor.lease(now, SWEEP_SCOPE),
            sweep: Sweep::new(me),
            competitor,
            released: false,
        }
    }

    /// Whether no lease is held, after a release.
    pub fn is_released(&self) -> bool {
        self.released
            && self.sweep_lease.is_released()
            && self.services.values().all(Lease::is_released)
    }
}

impl EntryCore {
    /// A lease for each model service; plain services need no planning.
    pub(super) fn set_duties(&mut self, now: Instant, snapshot: &Snapshot) {
        if self.is_stopping() {
            return;
        }
        let duties = &mut self.duties;
        for (name, service) in snapshot.services() {
            if service.value.kind == ServiceKind::Model && !duties.services.contains_key(name) {
                let lease = duties.competitor.lease(now, name);
                duties.services.insert(name.clone(), lease);
            }
        }
    }

    pub(super) fn tick_duties(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<ServiceName> = self
            .duties
            .services
            .iter()
            .filter(|(_, lease)| lease.next_wake() <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for service in due {
            self.tell_lease(now, &service, LeaseEvent::Tick, actions);
        }
        if self.duties.sweep_lease.next_wake() <= now {
            self.tell_sweep_lease(now, LeaseEvent::Tick, actions);
        }
        if self.duties.sweep.next_tick().is_some_and(|at| at <= now) {
            self.tell_sweep(now, SweepEvent::Tick, actions);
        }
    }

    pub(super) fn release_duties(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.duties.released = true;
        let services: Vec<ServiceName> = self.duties.services.keys().cloned().collect();
        for service in services {
            self.tell_lease(now, &service, LeaseEvent::Release, actions);
        }
        self.tell_sweep(now, SweepEvent::Lease { held: false }, actions);
        self.tell_sweep_lease(now, LeaseEvent::Release, actions);
    }

    pub(super) fn tell_lease(
        &mut self,
        now: Instant,
        service: &ServiceName,
        event: LeaseEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(lease) = self.duties.services.get_mut(service) else {
            return;
        };
        for action in lease.handle(now, event) {
            match action {
                LeaseAction::Table { operation, request } => {
                    let operation = self.begin(Owner::Lease(service.clone()), operation);
                    actions.push(Action::Table { operation, request });
                }
                LeaseAction::Acquired(held) => actions.push(Action::Note(Note::LeaseAcquired {
                    scope: held.scope,
                    fencing: held.fencing,
                })),
                LeaseAction::Lost => actions.push(Action::Note(Note::LeaseLost {
                    scope: service.clone(),
                })),
            }
        }
    }

    pub(super) fn tell_sweep_lease(
        &mut self,
        now: Instant,
        event: LeaseEvent,
        actions: &mut Vec<Action>,
    ) {
        for action in self.duties.sweep_lease.handle(now, event) {
            match action {
                LeaseAction::Table { operation, request } => {
                    let operation = self.begin(Owner::SweepLease, operation);
                    actions.push(Action::Table { operation, request });
                }
                LeaseAction::Acquired(_) => {
                    self.tell_sweep(now, SweepEvent::Lease { held: true }, actions);
                }
                LeaseAction::Lost => {
                    self.tell_sweep(now, SweepEvent::Lease { held: false }, actions);
                }
            }
        }
    }

    pub(super) fn tell_sweep(
        &mut self,
        now: Instant,
        event: SweepEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(SweepAction { operation, call }) = self.duties.sweep.handle(now, event) else {
            return;
        };
        let operation = self.begin(Owner::Sweep, operation);
        actions.push(match call {
            SweepCall::Table(request) => Action::Table { operation, request },
            SweepCall::Object(request) => Action::Object { operation, request },
        });
    }

    pub(super) fn object_done(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<ObjectReply, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        // One record for each outage; an answer that waits is tried again every few seconds.
        let was_failing = std::mem::replace(&mut self.objects_failing, result.is_err());
        if let (Err(error), false) = (&result, was_failing) {
            let detail = error.to_string();
            actions.push(Action::Note(Note::ObjectStoreFailed { detail }));
        }
        match self.operations.end(operation) {
            Some((Owner::Requests, operation)) => {
                let event = request::Event::ObjectDone { operation, result };
                self.tell_requests(now, event, actions);
            }
            Some((Owner::Sweep, operation)) => {
                let event = SweepEvent::ObjectDone { operation, result };
                self.tell_sweep(now, event, actions);
            }
            _ => {}
        }
    }

    pub(super) fn table_done(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<TableReply, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let Some((owner, operation)) = self.operations.end(operation) else {
            return;
        };
        match owner {
            Owner::Follower => {
                let event = control::FollowerEvent::TableDone { operation, result };
                self.tell_follower(now, event, actions);
            }
            Owner::Requests => {
                let event = request::Event::TableDone { operation, result };
                self.tell_requests(now, event, actions);
            }
            Owner::Lease(service) => {
                let event = LeaseEvent::TableDone { operation, result };
                self.tell_lease(now, &service, event, actions);
            }
            Owner::SweepLease => {
                let event = LeaseEvent::TableDone { operation, result };
                self.tell_sweep_lease(now, event, actions);
            }
            Owner::Sweep => {
                let event = SweepEvent::TableDone { operation, result };
                self.tell_sweep(now, event, actions);
            }
        }
    }

    /// Whether this entry holds the lease of a service.
    pub(super) fn plans_for(&self, now: Instant, service: &str) -> bool {
        let lease = self.duties.services.get(service);
        lease.is_some_and(|lease| lease.held(now).is_some())
    }

    /// Leases of services that are held now.
    pub(super) fn held_services(&self, now: Instant) -> Vec<HeldLease> {
        let leases = self.duties.services.values();
        leases
            .filter_map(|lease| lease.held(now))
            .cloned()
            .collect()
    }
}
