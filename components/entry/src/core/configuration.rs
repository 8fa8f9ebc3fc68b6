//! Applies configuration snapshots to service configurations, targets, connections, order hints and
//! leases.

use std::rc::Rc;
use std::time::Instant;

use control::FollowerAction;
use control::FollowerEvent;
use control::Snapshot;
use request::ServiceConfig;
use store::HostEntry;
use store::HostState;
use store::StoreError;

use crate::core::Action;
use crate::core::EntryCore;
use crate::core::LogEvent;
use crate::core::pending_calls::Owner;

impl EntryCore {
    pub(super) fn handle_follower_event(
        &mut self,
        now: Instant,
        event: FollowerEvent,
        actions: &mut Vec<Action>,
    ) {
        for action in self.follower.handle(now, event) {
            match action {
                FollowerAction::Table { operation, request } => {
                    let operation = self.begin_call(Owner::Follower, operation);
                    actions.push(Action::Table { operation, request });
                }
                FollowerAction::RequestChanges { after } => self.request_changes(after, actions),
                FollowerAction::SendChanges { peer, answer } => {
                    actions.push(Action::SendChanges { peer, answer });
                }
                FollowerAction::Applied { snapshot, .. } => self.apply(now, &snapshot, actions),
                FollowerAction::Rejected { detail } => {
                    actions.push(Action::Log(LogEvent::ConfigurationRejected { detail }));
                }
            }
        }
    }

    fn request_changes(&mut self, after: u64, actions: &mut Vec<Action>) {
        let peers = &self.options.peers;
        if peers.is_empty() {
            return;
        }
        let address = peers[self.next_peer % peers.len()];
        self.next_peer += 1;
        actions.push(Action::RequestChanges { address, after });
    }

    fn apply(&mut self, now: Instant, snapshot: &Rc<Snapshot>, actions: &mut Vec<Action>) {
        let previous = self.applied.replace(Rc::clone(snapshot));
        self.set_service_configs(snapshot);
        self.set_targets(now, previous.as_deref(), snapshot, actions);
        self.send_order_hints(now, previous.as_deref(), snapshot, actions);
        self.add_service_leases(now, snapshot);
        actions.push(Action::Log(LogEvent::ConfigurationApplied {
            revision: snapshot.revision(),
        }));
        // Requests that wait for a target may proceed.
        self.handle_request_event(now, request::Event::Tick, actions);
    }

    fn set_service_configs(&mut self, snapshot: &Snapshot) {
        self.service_configs.clear();
        for (name, service) in snapshot.services() {
            let Some(profile) = snapshot.profile_of(name) else {
                continue;
            };
            let service_config = ServiceConfig {
                profile: Rc::new(profile.value.clone()),
                revision: snapshot.revision(),
                kind: service.value.kind,
            };
            self.service_configs.insert(name.clone(), service_config);
        }
    }

    fn set_targets(
        &mut self,
        now: Instant,
        previous: Option<&Snapshot>,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        for (name, target) in snapshot.targets() {
            let old = previous.and_then(|previous| previous.target(name));
            if old.is_some_and(|old| Rc::ptr_eq(old, target)) {
                continue;
            }
            self.shares.set(&target.value);
            if self.shares.contains(name) {
                self.router.fleet.set_target(now, &target.value);
            }
            if self.shares.contains(name) || self.outside_share.contains_key(name) {
                self.connect(now, snapshot, name, actions);
            }
        }
        let removed: Vec<_> = previous
            .into_iter()
            .flat_map(Snapshot::targets)
            .map(|(name, _)| name)
            .filter(|name| snapshot.target(name).is_none())
            .cloned()
            .collect();
        for name in removed {
            self.shares.remove(&name);
            self.outside_share.remove(&name);
            self.router.fleet.remove_target(&name);
            let links = self.links.remove(now, &name);
            self.apply_link_actions(now, links, actions);
        }
        self.update_shares(now, actions);
    }

    fn send_order_hints(
        &mut self,
        now: Instant,
        previous: Option<&Snapshot>,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        for (target, order) in snapshot.orders() {
            let old = previous.and_then(|previous| previous.order(target));
            if old.is_some_and(|old| old.number >= order.number) {
                continue;
            }
            self.send_order_hint(now, target, order.number, actions);
        }
    }

    pub(super) fn update_hosts(
        &mut self,
        now: Instant,
        result: Result<Vec<HostEntry>, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let entries = match result {
            Ok(entries) => entries,
            Err(error) => {
                // Logs once per outage, as the list is read every few seconds.
                if !std::mem::replace(&mut self.is_host_list_failing, true) {
                    let detail = error.to_string();
                    actions.push(Action::Log(LogEvent::HostListFailed { detail }));
                }
                return;
            }
        };
        self.is_host_list_failing = false;
        for entry in entries {
            match entry.state {
                HostState::Leaving => {
                    self.router.fleet.host_leaving(now, &entry.host);
                    self.leaving_hosts.insert(entry.host);
                }
                HostState::Live => {
                    if self.leaving_hosts.remove(&entry.host) {
                        self.router.fleet.host_live(now, &entry.host);
                    }
                }
            }
        }
    }
}
