//! The share of the targets that this entry uses.
//!
//! Targets of a service are ranked for this entry by rendezvous hashing, and the best of them
//! are its share. Two entries have each target in their share wherever it ranks, by hashing the
//! other way round, so that none is left without entries; at least two targets of each place
//! are in it. The share doubles every 2 s while no target in it is usable, up to the whole
//! service, and returns to its size after a minute in which its regular part was usable. The
//! entry that plans for a service uses all of its targets, since a decision about roles needs
//! all of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use control::rendezvous;
use types::Place;
use types::ServiceName;
use types::Target;
use types::TargetName;
use types::TargetState;

/// Entries that use a target wherever it ranks; with one, its loss would leave targets unused.
const COVER: usize = 2;
/// Targets of each place in the share, so that the loss of a place leaves some everywhere else.
const PLACE_MINIMUM: usize = 2;
/// Time without a usable target before the share doubles: as long as a probe counts.
const WIDEN_MS: Duration = Duration::from_secs(2);
/// Time with a usable target in the regular share before a wider one is given up.
const NARROW_MS: Duration = Duration::from_mins(1);

/// A target with its rank, the highest first.
#[derive(Debug, Clone)]
struct Ranked {
    place: Place,
    is_withdrawn: bool,
    is_covered_here: bool,
    score: u64,
}

#[derive(Debug, Default)]
struct Pool {
    targets: BTreeMap<TargetName, Ranked>,
    /// Share at its regular size.
    regular: BTreeSet<TargetName>,
    chosen: BTreeSet<TargetName>,
    is_whole: bool,
    doublings: u32,
    closed_since: Option<Instant>,
    open_since: Option<Instant>,
    is_dirty: bool,
}

/// Changes of the share.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ShareChange {
    /// Targets that are used from now on.
    pub added: Vec<TargetName>,
    /// Targets that are not used any more.
    pub removed: Vec<TargetName>,
}

/// Share of the targets of each service.
#[derive(Debug)]
pub struct Shares {
    limit: usize,
    own: u64,
    others: Vec<u64>,
    pools: BTreeMap<ServiceName, Pool>,
    service_of: BTreeMap<TargetName, ServiceName>,
}

impl Shares {
    /// Starts without targets. `limit` is the size of a share.
    #[must_use]
    pub fn new(limit: usize, own: SocketAddr, peers: &[SocketAddr]) -> Self {
        let digest = |address: &SocketAddr| rendezvous::digest(&address.to_string());
        let others = peers.iter().filter(|peer| **peer != own);
        Self {
            limit,
            own: digest(&own),
            others: others.map(digest).collect(),
            pools: BTreeMap::new(),
            service_of: BTreeMap::new(),
        }
    }

    /// A target's row is new or has changed.
    pub fn set(&mut self, target: &Target) {
        let name = &target.name;
        if self.service_of.get(name) != Some(&target.service) {
            self.remove(name);
            self.service_of.insert(name.clone(), target.service.clone());
        }
        let ranked = self.rank(target);
        let pool = self.pools.entry(target.service.clone()).or_default();
        let is_withdrawn = ranked.is_withdrawn;
        let old = pool.targets.insert(name.clone(), ranked);
        pool.is_dirty |= old.is_none_or(|old| old.is_withdrawn != is_withdrawn);
    }

    /// A target's row is gone.
    pub fn remove(&mut self, name: &TargetName) {
        let service = self.service_of.remove(name);
        let Some(pool) = service.and_then(|service| self.pools.get_mut(&service)) else {
            return;
        };
        pool.targets.remove(name);
        pool.is_dirty = true;
    }

    /// Whether a target is in the share.
    #[must_use]
    pub fn contains(&self, name: &TargetName) -> bool {
        let service = self.service_of.get(name);
        let pool = service.and_then(|service| self.pools.get(service));
        pool.is_some_and(|pool| pool.chosen.contains(name))
    }

    /// Services with targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.pools.keys()
    }

    /// Takes note of which targets of the share are usable, and whether this entry plans for
    /// the service.
    pub fn look(
        &mut self,
        now: Instant,
        service: &str,
        usable: &BTreeSet<TargetName>,
        is_planner: bool,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.is_dirty |= pool.is_whole != is_planner;
        pool.is_whole = is_planner;
        let is_regular = !usable.is_disjoint(&pool.regular);
        pool.open_since = is_regular.then(|| pool.open_since.unwrap_or(now));
        pool.closed_since = usable.is_empty().then(|| pool.closed_since.unwrap_or(now));
        let lasts = |since: Option<Instant>, time| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= time)
        };
        if lasts(pool.closed_since, WIDEN_MS) && pool.chosen.len() < pool.targets.len() {
            pool.doublings += 1;
            pool.closed_since = Some(now);
            pool.is_dirty = true;
        }
        if lasts(pool.open_since, NARROW_MS) && pool.doublings > 0 {
            pool.doublings = 0;
            pool.is_dirty = true;
        }
    }

    /// Brings the shares up to date.
    pub fn refresh(&mut self) -> ShareChange {
        let mut change = ShareChange::default();
        let mut moved = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.is_dirty) {
            pool.is_dirty = false;
            let before = pool.choose(self.limit);
            change
                .added
                .extend(pool.chosen.difference(&before).cloned());
            moved.extend(before.difference(&pool.chosen).cloned());
        }
        // A target that moved to another service may be in that one's share.
        moved.retain(|name| !self.contains(name));
        change.removed = moved;
        change
    }

    fn rank(&self, target: &Target) -> Ranked {
        let key = rendezvous::digest(&target.name);
        let mine = rendezvous::score(key, self.own);
        let better = self
            .others
            .iter()
            .filter(|other| rendezvous::score(key, **other) > mine);
        Ranked {
            place: target.place.clone(),
            is_withdrawn: target.state == TargetState::Withdrawn,
            is_covered_here: better.count() < COVER,
            score: mine,
        }
    }
}

impl Pool {
    /// Chooses again and returns the share before.
    fn choose(&mut self, limit: usize) -> BTreeSet<TargetName> {
        let mut ranked: Vec<(&TargetName, &Ranked)> = self.targets.iter().collect();
        ranked.sort_by_key(|(name, r)| (r.is_withdrawn, Reverse(r.score), *name));
        let mut at_place: BTreeMap<&Place, usize> = BTreeMap::new();
        let mut required = Vec::new();
        let mut others = Vec::new();
        for (name, ranked) in ranked {
            let count = at_place.entry(&ranked.place).or_default();
            *count += 1;
            let is_needed = ranked.is_covered_here || *count <= PLACE_MINIMUM;
            if is_needed && !ranked.is_withdrawn {
                required.push(name);
            } else {
                others.push(name);
            }
        }
        let size = required.len().max(limit);
        let wide = if self.is_whole {
            usize::MAX
        } else {
            size.saturating_mul(1 << self.doublings.min(u32::BITS - 1))
        };
        let all: Vec<&TargetName> = required.into_iter().chain(others).collect();
        let best = |count: usize| all.iter().take(count).map(|name| (*name).clone()).collect();
        let (regular, chosen) = (best(size), best(wide));
        self.regular = regular;
        std::mem::replace(&mut self.chosen, chosen)
    }
}
