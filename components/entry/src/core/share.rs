//! Share of the targets of a service that this entry uses (subsetting).
//!
//! This entry ranks the targets of a service by rendezvous hashing and uses those with the highest
//! scores. So that no target is left without entries, each target is also in the share of the two
//! entries that score highest for it. At least two targets of each data centre are in the share.
//! While no target in the share is usable, it doubles every 2 s up to the whole service. It returns
//! to its regular size after a minute in which a target of the regular share was usable. The entry
//! that plans for a service uses all of its targets, as role decisions depend on all of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use control::rendezvous;
use types::DataCentre;
use types::ServiceName;
use types::Target;
use types::TargetName;
use types::TargetState;

/// Number of entries that have a target in their share whatever its rank there. With only one, the
/// loss of that entry would leave targets unused.
const MIN_ENTRIES_PER_TARGET: usize = 2;
/// Minimum number of targets of each data centre in the share, so that it still contains targets
/// after the loss of any data centre.
const MIN_TARGETS_PER_DATA_CENTRE: usize = 2;
/// Time without a usable target before the share doubles, equal to the probe timeout.
const WIDEN_MS: Duration = Duration::from_secs(2);
/// Time with a usable target in the regular share before a widened share is reduced.
const NARROW_MS: Duration = Duration::from_mins(1);

/// Target with its score for this entry.
#[derive(Debug, Clone)]
struct RankedTarget {
    data_centre: DataCentre,
    is_withdrawn: bool,
    is_required_here: bool,
    score: u64,
}

/// All targets of one service, and the selection of them that is the share.
#[derive(Debug, Default)]
struct Pool {
    targets: BTreeMap<TargetName, RankedTarget>,
    /// Targets of the share at its regular size.
    regular: BTreeSet<TargetName>,
    selected: BTreeSet<TargetName>,
    is_planner_here: bool,
    doublings: u32,
    unusable_since: Option<Instant>,
    usable_since: Option<Instant>,
    is_dirty: bool,
}

/// Difference between two successive shares.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ShareChange {
    /// Targets that are now in the share.
    pub added: Vec<TargetName>,
    /// Targets that are no longer in the share.
    pub removed: Vec<TargetName>,
}

/// Share of the targets of each service.
#[derive(Debug)]
pub struct Shares {
    limit: usize,
    own_digest: u64,
    peer_digests: Vec<u64>,
    pools: BTreeMap<ServiceName, Pool>,
    services_by_target: BTreeMap<TargetName, ServiceName>,
}

impl Shares {
    /// Creates shares without targets. `limit` is the regular number of targets per service.
    #[must_use]
    pub fn new(limit: usize, own: SocketAddr, peers: &[SocketAddr]) -> Self {
        let digest = |address: &SocketAddr| rendezvous::digest(&address.to_string());
        let others = peers.iter().filter(|peer| **peer != own);
        Self {
            limit,
            own_digest: digest(&own),
            peer_digests: others.map(digest).collect(),
            pools: BTreeMap::new(),
            services_by_target: BTreeMap::new(),
        }
    }

    /// Adds a target, or updates it from its changed row.
    pub fn set(&mut self, target: &Target) {
        let name = &target.name;
        if self.services_by_target.get(name) != Some(&target.service) {
            self.remove(name);
            self.services_by_target
                .insert(name.clone(), target.service.clone());
        }
        let ranked = self.rank(target);
        let pool = self.pools.entry(target.service.clone()).or_default();
        let is_withdrawn = ranked.is_withdrawn;
        let old = pool.targets.insert(name.clone(), ranked);
        pool.is_dirty |= old.is_none_or(|old| old.is_withdrawn != is_withdrawn);
    }

    /// Removes a target whose row was deleted.
    pub fn remove(&mut self, name: &TargetName) {
        let service = self.services_by_target.remove(name);
        let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) else {
            return;
        };
        pool.targets.remove(name);
        pool.is_dirty = true;
    }

    /// Whether a target is in the share of its service, as of the last `recompute`.
    #[must_use]
    pub fn contains(&self, name: &TargetName) -> bool {
        let service = self.services_by_target.get(name);
        let pool = service.and_then(|service| self.pools.get(service));
        pool.is_some_and(|pool| pool.selected.contains(name))
    }

    /// Services that have or had targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.pools.keys()
    }

    /// Updates which targets of the share are usable, and whether this entry plans for the
    /// service. Takes effect on `recompute`.
    pub fn update_usable(
        &mut self,
        now: Instant,
        service: &str,
        usable: &BTreeSet<TargetName>,
        is_planner: bool,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.is_dirty |= pool.is_planner_here != is_planner;
        pool.is_planner_here = is_planner;
        let is_regular = !usable.is_disjoint(&pool.regular);
        pool.usable_since = is_regular.then(|| pool.usable_since.unwrap_or(now));
        pool.unusable_since = usable
            .is_empty()
            .then(|| pool.unusable_since.unwrap_or(now));
        let has_lasted = |since: Option<Instant>, time| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= time)
        };
        if has_lasted(pool.unusable_since, WIDEN_MS) && pool.selected.len() < pool.targets.len() {
            pool.doublings += 1;
            pool.unusable_since = Some(now);
            pool.is_dirty = true;
        }
        if has_lasted(pool.usable_since, NARROW_MS) && pool.doublings > 0 {
            pool.doublings = 0;
            pool.is_dirty = true;
        }
    }

    /// Recomputes changed shares and returns the difference.
    pub fn recompute(&mut self) -> ShareChange {
        let mut change = ShareChange::default();
        let mut removed = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.is_dirty) {
            pool.is_dirty = false;
            let previous = pool.select_targets(self.limit);
            change
                .added
                .extend(pool.selected.difference(&previous).cloned());
            removed.extend(previous.difference(&pool.selected).cloned());
        }
        // A target that moved to another service may be in the share of that service.
        removed.retain(|name| !self.contains(name));
        change.removed = removed;
        change
    }

    fn rank(&self, target: &Target) -> RankedTarget {
        let key = rendezvous::digest(&target.name);
        let own_score = rendezvous::score(key, self.own_digest);
        let higher_scores = self
            .peer_digests
            .iter()
            .filter(|other| rendezvous::score(key, **other) > own_score);
        RankedTarget {
            data_centre: target.data_centre.clone(),
            is_withdrawn: target.state == TargetState::Withdrawn,
            is_required_here: higher_scores.count() < MIN_ENTRIES_PER_TARGET,
            score: own_score,
        }
    }
}

impl Pool {
    /// Selects the targets of the share and returns the previous selection.
    fn select_targets(&mut self, limit: usize) -> BTreeSet<TargetName> {
        let mut ranked: Vec<(&TargetName, &RankedTarget)> = self.targets.iter().collect();
        ranked.sort_by_key(|(name, r)| (r.is_withdrawn, Reverse(r.score), *name));
        let mut targets_by_data_centre: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        let mut required = Vec::new();
        let mut optional = Vec::new();
        for (name, ranked) in ranked {
            let count = targets_by_data_centre
                .entry(&ranked.data_centre)
                .or_default();
            *count += 1;
            let is_required = ranked.is_required_here || *count <= MIN_TARGETS_PER_DATA_CENTRE;
            if is_required && !ranked.is_withdrawn {
                required.push(name);
            } else {
                optional.push(name);
            }
        }
        let size = required.len().max(limit);
        let widened_size = if self.is_planner_here {
            usize::MAX
        } else {
            size.saturating_mul(1 << self.doublings.min(u32::BITS - 1))
        };
        let all: Vec<&TargetName> = required.into_iter().chain(optional).collect();
        let first_targets =
            |count: usize| all.iter().take(count).map(|name| (*name).clone()).collect();
        let (regular, selected) = (first_targets(size), first_targets(widened_size));
        self.regular = regular;
        std::mem::replace(&mut self.selected, selected)
    }
}
