//! Applies snapshots: terms of services, targets of the router, connections, order hints.

use std::rc::Rc;
use std::time::Instant;

use control::FollowerAction;
use control::FollowerEvent;
use control::Snapshot;
use request::Terms;
use store::HostEntry;
use store::HostState;
use store::StoreError;

use crate::core::Action;
use crate::core::EntryCore;
use crate::core::Note;
use crate::core::operations::Owner;

impl EntryCore {
    pub(super) fn tell_follower(
        &mut self,
        now: Instant,
        event: FollowerEvent,
        actions: &mut Vec<Action>,
    ) {
        for action in self.follower.handle(now, event) {
            match action {
                FollowerAction::Table { operation, request } => {
                    let operation = self.begin(Owner::Follower, operation);
                    actions.push(Action::Table { operation, request });
                }
                FollowerAction::AskPeer { after } => self.ask_peer(after, actions),
                FollowerAction::AnswerPeer { peer, answer } => {
                    actions.push(Action::AnswerPeer { peer, answer });
                }
                FollowerAction::Applied { snapshot, .. } => self.apply(now, &snapshot, actions),
                FollowerAction::Rejected { detail } => {
                    actions.push(Action::Note(Note::ConfigurationRejected { detail }));
                }
            }
        }
    }

    fn ask_peer(&mut self, after: u64, actions: &mut Vec<Action>) {
        let peers = &self.options.peers;
        if peers.is_empty() {
            return;
        }
        let address = peers[self.next_peer % peers.len()];
        self.next_peer += 1;
        actions.push(Action::AskPeer { address, after });
    }

    fn apply(&mut self, now: Instant, snapshot: &Rc<Snapshot>, actions: &mut Vec<Action>) {
        let before = self.applied.replace(Rc::clone(snapshot));
        self.set_terms(snapshot);
        self.set_targets(now, before.as_deref(), snapshot, actions);
        self.send_order_hints(now, before.as_deref(), snapshot, actions);
        self.set_duties(now, snapshot);
        actions.push(Action::Note(Note::ConfigurationApplied {
            revision: snapshot.revision(),
        }));
        // Requests that waited for a target may go on.
        self.tell_requests(now, request::Event::Tick, actions);
    }

    fn set_terms(&mut self, snapshot: &Snapshot) {
        self.terms.clear();
        for (name, service) in snapshot.services() {
            let Some(profile) = snapshot.profile_of(name) else {
                continue;
            };
            let terms = Terms {
                profile: Rc::new(profile.value.clone()),
                revision: snapshot.revision(),
                kind: service.value.kind,
            };
            self.terms.insert(name.clone(), terms);
        }
    }

    fn set_targets(
        &mut self,
        now: Instant,
        before: Option<&Snapshot>,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        for (name, target) in snapshot.targets() {
            let old = before.and_then(|before| before.target(name));
            if old.is_some_and(|old| Rc::ptr_eq(old, target)) {
                continue;
            }
            self.shares.set(&target.value);
            if self.shares.contains(name) {
                self.router.fleet.target_set(now, &target.value);
            }
            if self.shares.contains(name) || self.outside.contains_key(name) {
                self.connect(now, snapshot, name, actions);
            }
        }
        let gone: Vec<_> = before
            .into_iter()
            .flat_map(Snapshot::targets)
            .map(|(name, _)| name)
            .filter(|name| snapshot.target(name).is_none())
            .cloned()
            .collect();
        for name in gone {
            self.shares.remove(&name);
            self.outside.remove(&name);
            self.router.fleet.target_removed(&name);
            let links = self.links.remove(now, &name);
            self.carry_out_links(now, links, actions);
        }
        self.refresh_share(now, actions);
    }

    fn send_order_hints(
        &mut self,
        now: Instant,
        before: Option<&Snapshot>,
        snapshot: &Snapshot,
        actions: &mut Vec<Action>,
    ) {
        for (target, order) in snapshot.orders() {
            let old = before.and_then(|before| before.order(target));
            if old.is_some_and(|old| old.number >= order.number) {
                continue;
            }
            self.send_order_hint(now, target, order.number, actions);
        }
    }

    pub(super) fn hosts(
        &mut self,
        now: Instant,
        result: Result<Vec<HostEntry>, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let entries = match result {
            Ok(entries) => entries,
            Err(error) => {
                // One record for each outage; the list is read every few seconds.
                if !std::mem::replace(&mut self.hosts_failing, true) {
                    let detail = error.to_string();
                    actions.push(Action::Note(Note::HostListFailed { detail }));
                }
                return;
            }
        };
        self.hosts_failing = false;
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
