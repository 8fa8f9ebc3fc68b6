//! Applies changes of the shares to the router and to the connections.

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

const SHARE_UPDATE_INTERVAL_MS: Duration = Duration::from_secs(1);
/// Time that a target outside the share stays connected to query it about a claim. It exceeds the
/// 3 s that a request waits for the answer.
const CLAIM_CONNECTION_MS: Duration = Duration::from_secs(10);

impl EntryCore {
    pub(super) fn tick_share(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_share_update_at {
            return;
        }
        self.next_share_update_at = now + SHARE_UPDATE_INTERVAL_MS;
        let services: Vec<ServiceName> = self.shares.services().cloned().collect();
        for service in services {
            let usable = self.usable_targets(now, &service);
            let is_planner = self.is_planner_of(now, &service);
            self.shares
                .update_usable(now, &service, &usable, is_planner);
        }
        self.update_shares(now, actions);
        self.release_unused(now, actions);
    }

    /// Recomputes the shares and applies the difference to the router and the connections.
    pub(super) fn update_shares(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let change = self.shares.recompute();
        for name in change.removed {
            self.router.fleet.remove_target(&name);
            // `release_unused` closes the connection once no attempt is in flight on it.
            self.outside_share.entry(name).or_insert(now);
        }
        let Some(snapshot) = self.applied.clone() else {
            return;
        };
        for name in change.added {
            self.outside_share.remove(&name);
            if let Some(target) = snapshot.target(&name) {
                self.router.fleet.set_target(now, &target.value);
            }
            self.connect(now, &snapshot, &name, actions);
        }
    }

    /// Connects to a target that a claim names, if it is outside the share.
    pub(super) fn connect_outside_share(
        &mut self,
        now: Instant,
        name: &TargetName,
        actions: &mut Vec<Action>,
    ) {
        if self.shares.contains(name) {
            return;
        }
        if let Some(snapshot) = self.applied.clone() {
            self.outside_share
                .insert(name.clone(), now + CLAIM_CONNECTION_MS);
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
            self.apply_link_actions(now, links, actions);
        }
    }

    /// Closes expired connections to targets outside the share, unless requests use them.
    fn release_unused(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.outside_share.values().all(|until| *until > now) {
            return;
        }
        let in_use = self.requests.targets_in_use();
        let unused: Vec<TargetName> = self
            .outside_share
            .iter()
            .filter(|(name, until)| **until <= now && !in_use.contains(*name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unused {
            self.outside_share.remove(&name);
            let links = self.links.release(now, &name);
            self.apply_link_actions(now, links, actions);
        }
    }

    /// Targets of the share that accept new work and have the model and version of the profile.
    fn usable_targets(&self, now: Instant, service: &str) -> BTreeSet<TargetName> {
        let Some((service_config, snapshot)) =
            self.service_configs.get(service).zip(self.applied.as_ref())
        else {
            return BTreeSet::new();
        };
        let profile = &service_config.profile;
        let has_model = |name: &TargetName| {
            let is_match = |need: &str, have: &str| need.is_empty() || need == have;
            snapshot.target(name).is_some_and(|target| {
                let loaded = &target.value.loaded;
                is_match(&profile.model, &loaded.model)
                    && is_match(&profile.version, &loaded.version)
            })
        };
        let views = self.router.fleet.views(now, service);
        let open_views = views.into_iter().filter(|v| v.standing == Standing::Open);
        open_views.map(|view| view.name).filter(has_model).collect()
    }
}
