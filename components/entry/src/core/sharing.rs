//! Applies the share of targets: which ones the router knows and which have a connection.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use control::Snapshot;
use routing::Standing;
use types::ServiceName;
use types::TargetName;
use types::TargetState;

use crate::core::Action;
use crate::core::EntryCore;

/// Between two looks at the shares.
const LOOK_MS: Duration = Duration::from_secs(1);
/// Time that a target outside the share stays connected for a question about a claim; longer
/// than the 3 s that a run waits for the answer.
const GUEST_MS: Duration = Duration::from_secs(10);

impl EntryCore {
    pub(super) fn tick_share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.shares_due {
            return;
        }
        self.shares_due = now + LOOK_MS;
        let services: Vec<ServiceName> = self.shares.services().cloned().collect();
        for service in services {
            let usable = self.usable(now, &service);
            let is_planner = self.plans_for(now, &service);
            self.shares.look(now, &service, &usable, is_planner);
        }
        self.refresh_share(now, actions);
        self.release_unused(now, actions);
    }

    /// Brings router and connections in line with the shares.
    pub(super) fn refresh_share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let change = self.shares.refresh();
        for name in change.removed {
            self.router.target_removed(&name);
            // The connection stays while an attempt is in flight.
            self.outside.entry(name).or_insert(now);
        }
        let Some(snapshot) = self.applied.clone() else {
            return;
        };
        for name in change.added {
            self.outside.remove(&name);
            if let Some(target) = snapshot.target(&name) {
                self.router.target_set(now, &target.value);
            }
            self.connect(now, &snapshot, &name, actions);
        }
    }

    /// Opens a connection to a target outside the share that a claim names.
    pub(super) fn connect_outside(
        &mut self,
        now: Instant,
        name: &TargetName,
        actions: &mut Vec<Action>,
    ) {
        if self.shares.contains(name) {
            return;
        }
        if let Some(snapshot) = self.applied.clone() {
            self.outside.insert(name.clone(), now + GUEST_MS);
            self.connect(now, &snapshot, name, actions);
        }
    }

    pub(super) fn connect(
        &mut self,
        now: Instant,
        snapshot: &Snapshot,
        name: &TargetName,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = snapshot.target(name).map(|target| &target.value) else {
            return;
        };
        if target.state != TargetState::Withdrawn {
            let links = self.links.set(now, name, target.agent, target.incarnation);
            self.carry_out_links(now, links, actions);
        }
    }

    /// Closes connections to targets outside the share that nothing needs any more.
    fn release_unused(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.outside.values().all(|until| *until > now) {
            return;
        }
        let in_use = self.requests.targets_in_use();
        let unused: Vec<TargetName> = self
            .outside
            .iter()
            .filter(|(name, until)| **until <= now && !in_use.contains(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unused {
            self.outside.remove(&name);
            let links = self.links.release(now, &name);
            self.carry_out_links(now, links, actions);
        }
    }

    /// Targets of the share that take new work and have what the service's profile asks for.
    fn usable(&self, now: Instant, service: &str) -> BTreeSet<TargetName> {
        let Some((terms, snapshot)) = self.terms.get(service).zip(self.applied.as_ref()) else {
            return BTreeSet::new();
        };
        let profile = &terms.profile;
        let fits = |name: &TargetName| {
            let same = |need: &str, have: &str| need.is_empty() || need == have;
            snapshot.target(name).is_some_and(|target| {
                let loaded = &target.value.loaded;
                same(&profile.model, &loaded.model) && same(&profile.version, &loaded.version)
            })
        };
        let views = self.router.views(now, service);
        let open = views.into_iter().filter(|v| v.standing == Standing::Open);
        open.map(|view| view.name).filter(fits).collect()
    }
}
