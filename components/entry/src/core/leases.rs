//! Leases of tasks that one entry at a time runs: planning for a service, and the deletion of
//! expired claims.

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
use crate::core::LogEvent;
use crate::core::pending_calls::Owner;

/// Scope of the lease for the deletion of expired claims.
const SWEEP_SCOPE: &str = "sweep";
/// Read interval of a lease for which this entry is not a candidate. With 380 entries and 38 scopes
/// the leases take about 330 of the 2,000 reads per second that the table allows.
const OBSERVATION_INTERVAL_MS: Duration = Duration::from_mins(1);

/// Creates the leases of this entry.
struct LeaseFactory {
    incarnation: Incarnation,
    lease_ms: Duration,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
}

impl LeaseFactory {
    fn lease(&self, now: Instant, scope: &str) -> Lease {
        // Each lease has its own seed, so that the calls of an entry are spread over time.
        let seed = self.incarnation ^ rendezvous::digest(scope);
        let lease = Lease::new(scope, self.incarnation, self.lease_ms, now, seed);
        if rendezvous::is_lease_candidate(scope, self.address, &self.peers) {
            lease
        } else {
            lease.into_observer(OBSERVATION_INTERVAL_MS)
        }
    }
}

/// Leases that this entry holds, competes for or observes.
pub struct Leases {
    lease_factory: LeaseFactory,
    services: BTreeMap<ServiceName, Lease>,
    sweep_lease: Lease,
    sweep: Sweep,
    is_releasing: bool,
}

impl Leases {
    pub fn new(incarnation: Incarnation, options: &CoreOptions, now: Instant) -> Self {
        let lease_factory = LeaseFactory {
            incarnation,
            lease_ms: options.lease_ms,
            address: options.address,
            peers: options.peers.clone(),
        };
        Self {
            services: BTreeMap::new(),
            sweep_lease: lease_factory.lease(now, SWEEP_SCOPE),
            sweep: Sweep::new(incarnation),
            lease_factory,
            is_releasing: false,
        }
    }

    /// Whether all leases were released on request.
    pub fn is_released(&self) -> bool {
        self.is_releasing
            && self.sweep_lease.is_released()
            && self.services.values().all(Lease::is_released)
    }
}

impl EntryCore {
    /// Adds a lease for each new model service; plain services need no planning.
    pub(super) fn add_service_leases(&mut self, now: Instant, snapshot: &Snapshot) {
        if self.is_stopping() {
            return;
        }
        let leases = &mut self.leases;
        for (name, service) in snapshot.services() {
            if service.value.kind == ServiceKind::Model && !leases.services.contains_key(name) {
                let lease = leases.lease_factory.lease(now, name);
                leases.services.insert(name.clone(), lease);
            }
        }
    }

    pub(super) fn tick_leases(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<ServiceName> = self
            .leases
            .services
            .iter()
            .filter(|(_, lease)| lease.next_wake() <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for service in due {
            self.handle_lease_event(now, &service, LeaseEvent::Tick, actions);
        }
        if self.leases.sweep_lease.next_wake() <= now {
            self.handle_sweep_lease_event(now, LeaseEvent::Tick, actions);
        }
        if self.leases.sweep.next_tick().is_some_and(|at| at <= now) {
            self.handle_sweep_event(now, SweepEvent::Tick, actions);
        }
    }

    pub(super) fn release_leases(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.leases.is_releasing = true;
        let services: Vec<ServiceName> = self.leases.services.keys().cloned().collect();
        for service in services {
            self.handle_lease_event(now, &service, LeaseEvent::Release, actions);
        }
        self.handle_sweep_event(now, SweepEvent::Lease { held: false }, actions);
        self.handle_sweep_lease_event(now, LeaseEvent::Release, actions);
    }

    pub(super) fn handle_lease_event(
        &mut self,
        now: Instant,
        service: &ServiceName,
        event: LeaseEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.services.get_mut(service) else {
            return;
        };
        for action in lease.handle(now, event) {
            match action {
                LeaseAction::Table { operation, request } => {
                    let operation = self.begin_call(Owner::Lease(service.clone()), operation);
                    actions.push(Action::Table { operation, request });
                }
                LeaseAction::Acquired(held) => actions.push(Action::Log(LogEvent::LeaseAcquired {
                    scope: held.scope,
                    fencing: held.fencing,
                })),
                LeaseAction::Lost => actions.push(Action::Log(LogEvent::LeaseLost {
                    scope: service.clone(),
                })),
            }
        }
    }

    pub(super) fn handle_sweep_lease_event(
        &mut self,
        now: Instant,
        event: LeaseEvent,
        actions: &mut Vec<Action>,
    ) {
        for action in self.leases.sweep_lease.handle(now, event) {
            match action {
                LeaseAction::Table { operation, request } => {
                    let operation = self.begin_call(Owner::SweepLease, operation);
                    actions.push(Action::Table { operation, request });
                }
                LeaseAction::Acquired(_) => {
                    self.handle_sweep_event(now, SweepEvent::Lease { held: true }, actions);
                }
                LeaseAction::Lost => {
                    self.handle_sweep_event(now, SweepEvent::Lease { held: false }, actions);
                }
            }
        }
    }

    pub(super) fn handle_sweep_event(
        &mut self,
        now: Instant,
        event: SweepEvent,
        actions: &mut Vec<Action>,
    ) {
        let Some(SweepAction { operation, call }) = self.leases.sweep.handle(now, event) else {
            return;
        };
        let operation = self.begin_call(Owner::Sweep, operation);
        actions.push(match call {
            SweepCall::Table(request) => Action::Table { operation, request },
            SweepCall::Object(request) => Action::Object { operation, request },
        });
    }

    pub(super) fn handle_object_result(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<ObjectReply, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        // Logs once per outage, as the write of a waiting answer is retried every few seconds.
        let was_failing = std::mem::replace(&mut self.is_object_store_failing, result.is_err());
        if let (Err(error), false) = (&result, was_failing) {
            let detail = error.to_string();
            actions.push(Action::Log(LogEvent::ObjectStoreFailed { detail }));
        }
        match self.pending_calls.end(operation) {
            Some((Owner::Requests, operation)) => {
                let event = request::Event::ObjectDone { operation, result };
                self.handle_request_event(now, event, actions);
            }
            Some((Owner::Sweep, operation)) => {
                let event = SweepEvent::ObjectDone { operation, result };
                self.handle_sweep_event(now, event, actions);
            }
            _ => {}
        }
    }

    pub(super) fn handle_table_result(
        &mut self,
        now: Instant,
        operation: u64,
        result: Result<TableReply, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let Some((owner, operation)) = self.pending_calls.end(operation) else {
            return;
        };
        match owner {
            Owner::Follower => {
                let event = control::FollowerEvent::TableDone { operation, result };
                self.handle_follower_event(now, event, actions);
            }
            Owner::Requests => {
                let event = request::Event::TableDone { operation, result };
                self.handle_request_event(now, event, actions);
            }
            Owner::Lease(service) => {
                let event = LeaseEvent::TableDone { operation, result };
                self.handle_lease_event(now, &service, event, actions);
            }
            Owner::SweepLease => {
                let event = LeaseEvent::TableDone { operation, result };
                self.handle_sweep_lease_event(now, event, actions);
            }
            Owner::Sweep => {
                let event = SweepEvent::TableDone { operation, result };
                self.handle_sweep_event(now, event, actions);
            }
        }
    }

    /// Whether this entry holds the lease of a service.
    pub(super) fn is_planner_of(&self, now: Instant, service: &str) -> bool {
        let lease = self.leases.services.get(service);
        lease.is_some_and(|lease| lease.held(now).is_some())
    }

    /// Planner leases that this entry holds.
    pub(super) fn held_service_leases(&self, now: Instant) -> Vec<HeldLease> {
        let leases = self.leases.services.values();
        leases
            .filter_map(|lease| lease.held(now))
            .cloned()
            .collect()
    }
}
