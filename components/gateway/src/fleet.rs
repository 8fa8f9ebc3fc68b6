//! State of all targets: membership, health, load and prefill speed.
//!
//! It is built from the platform's updates, the outcomes of this process's calls and the reports of
//! peers. Several processes place work on the same targets at once, so the load of peers is added
//! to this process's own. Targets that fail or do not take calls get no work for a while (see
//! [`crate::health`]). A store can lose entries during an outage, so entries that are missing
//! afterwards are kept for a grace period.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use builds::AllowedBuilds;
use limits::Limits;
use limits::Room;
use types::HostName;
use types::Incarnation;
use types::ServiceName;
use types::TargetName;

use crate::deployment::TargetEntry;
use crate::health::TargetHealth;
use crate::peers::Peers;
use crate::peers::ReportedLoads;
use crate::prefixes::InstanceId;
use crate::prefixes::PrefixHash;
use crate::prefixes::PrefixIndex;
use crate::speed::FIRST_EVENT_MS;
use crate::speed::PrefillSpeed;

/// Grace period after a store outage in which targets renew entries that expired during it.
pub const STORE_RECOVERY_MS: Duration = Duration::from_secs(2);

/// Time for which removed targets are remembered. A store comes back from a copy that is some
/// seconds old.
const REMOVED_LIFETIME_MS: Duration = Duration::from_mins(2);

/// Id of one run of a target, derived from its entry and so the same in all processes.
pub type TargetKey = u64;

/// Unfinished work on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Prefill time at nominal speed, queued and in progress.
    pub prefill_ms: f64,
    /// Requests, queued and running.
    pub runs: f64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.prefill_ms += other.prefill_ms;
        self.runs += other.runs;
    }

    fn subtract(&mut self, other: Self) {
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.runs = (self.runs - other.runs).max(0.0);
    }
}

/// State of one target.
#[derive(Debug)]
pub struct TargetState {
    /// Latest entry that the target wrote.
    pub entry: TargetEntry,
    /// Id of this run in messages between processes.
    pub key: TargetKey,
    /// Id of this run in [`PrefixIndex`].
    pub instance: InstanceId,
    /// Work that this process sent.
    pub own_load: Load,
    /// Work that peers sent, as they report it.
    pub peer_load: Load,
    prefill_speed: PrefillSpeed,
    /// Expected end of all known prefills; `None` before the first.
    prefills_done_at: Option<Instant>,
    /// Health, as this process and its peers see it.
    pub health: TargetHealth,
    missing_since: Option<Instant>,
}

impl TargetState {
    /// Work of this process and of its peers.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own_load;
        load.add(self.peer_load);
        load
    }

    /// Measured duration of prefills relative to the nominal one; 1 at nominal speed.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.prefill_speed.slowdown()
    }

    /// Expected time until a new prefill can start.
    #[must_use]
    pub fn wait_ms(&self, now: Instant) -> f64 {
        let left = self
            .prefills_done_at
            .map(|at| at.saturating_duration_since(now));
        left.unwrap_or_default().as_secs_f64() * 1e3
    }

    /// Adds prefills of `prefill_ms` at nominal speed to the expected queue.
    fn extend_prefill_queue(&mut self, now: Instant, prefill_ms: f64) {
        let from = self.prefills_done_at.map_or(now, |at| at.max(now));
        self.prefills_done_at = Some(from + millis(prefill_ms * self.slowdown()));
    }

    /// Recomputes the expected queue after a prefill. Its end is reported with the first event, at
    /// which time the engine has worked on the next prefill for `FIRST_EVENT_MS`.
    fn shorten_prefill_queue(&mut self, now: Instant) {
        let rest_ms = self.load().prefill_ms * self.slowdown();
        self.prefills_done_at = Some(now + millis((rest_ms - FIRST_EVENT_MS).max(0.0)));
    }
}

/// State of the connection to the store, with the time at which an outage ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    Unavailable,
    RecoveredAt(Instant),
    Available,
}

/// Load on one target as a peer reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerLoad {
    /// Run of the target.
    pub key: TargetKey,
    /// Work that the peer sent.
    pub load: Load,
}

/// Change of a target's state, for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// Seen for the first time, or restarted.
    New,
    /// Shutting down; takes no new work.
    Leaving,
    /// Takes new work again after `Leaving`, or has its entry again after `Missing`.
    Back,
    /// Entry missing during or just after a store outage; still used for the grace period.
    Missing,
    /// Removed from the fleet.
    Gone,
    /// Gets no new work for a limited time after failures.
    Ejected,
    /// Gets no new work for a short time because it does not take calls.
    Unreachable,
    /// The same, as a peer reports it.
    Reported,
    /// Has said in an answer, here or to a peer, that it leaves; takes no new work.
    SaidLeaving,
}

/// All targets and the peers that report load on them.
#[derive(Debug)]
pub struct Fleet {
    targets: BTreeMap<TargetName, TargetState>,
    /// The other gateway processes.
    pub peers: Peers,
    /// Prefixes that the targets probably have cached.
    pub prefix_index: PrefixIndex,
    /// Limits that the targets name on their requests.
    pub limits: Limits,
    store: StoreState,
    /// The store came back from an older copy, and its entries have not been read since.
    is_restored: bool,
    /// Runs of targets that were removed, with the time; a copy of the store may still have them.
    removed: BTreeMap<TargetKey, Instant>,
    next_instance: InstanceId,
}

impl Fleet {
    /// Knows no target yet. `incarnation` identifies this process to its peers.
    #[must_use]
    pub fn new(now: Instant, incarnation: Incarnation) -> Self {
        Self {
            limits: Limits::new(now, incarnation),
            targets: BTreeMap::new(),
            peers: Peers::default(),
            prefix_index: PrefixIndex::default(),
            store: StoreState::Available,
            is_restored: false,
            removed: BTreeMap::new(),
            next_instance: 0,
        }
    }

    /// State of a target by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Whether a target is still the process with this key.
    #[must_use]
    pub fn is_running(&self, name: &str, key: TargetKey) -> bool {
        self.get(name).is_some_and(|state| state.key == key)
    }

    /// All targets, including those that are draining or unhealthy.
    pub fn targets(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Targets of a service that may get a call now: healthy ones of allowed builds whose limit
    /// leaves room.
    #[must_use]
    pub fn usable(
        &self,
        service: &ServiceName,
        builds: AllowedBuilds<'_>,
        now: Instant,
    ) -> Vec<&TargetState> {
        let mut usable = self.healthy(service, builds, now);
        usable.retain(|state| self.has_room(now, state.key));
        usable
    }

    /// Whether the limit of a target, if it names one, leaves room for a call now.
    #[must_use]
    pub fn has_room(&self, now: Instant, key: TargetKey) -> bool {
        matches!(self.limits.room(now, key), Room::Unlimited | Room::Now)
    }

    /// Targets of a service and of allowed builds that take new work. Unhealthy ones are left out
    /// unless all of their role are unhealthy.
    #[must_use]
    pub fn healthy(
        &self,
        service: &ServiceName,
        builds: AllowedBuilds<'_>,
        now: Instant,
    ) -> Vec<&TargetState> {
        let candidates = self.targets.values().filter(|state| {
            state.entry.service == *service
                && !state.entry.is_draining
                && builds.allow(state.entry.build.as_ref())
        });
        let (mut usable, unhealthy): (Vec<_>, Vec<_>) =
            candidates.partition(|state| state.health.is_healthy(now));
        let roles: Vec<_> = usable.iter().map(|state| state.entry.role).collect();
        // An engine of one role cannot replace one of another.
        let last_resort = unhealthy
            .into_iter()
            .filter(|state| !roles.contains(&state.entry.role));
        usable.extend(last_resort);
        usable
    }

    /// Keeps targets whose entries go missing, until the grace period after the outage ends.
    pub fn set_store_unavailable(&mut self) {
        self.store = StoreState::Unavailable;
    }

    /// Starts the grace period if the store was unavailable.
    pub fn set_store_available(&mut self, now: Instant) {
        if self.store == StoreState::Unavailable {
            self.store = StoreState::RecoveredAt(now);
        }
    }

    /// Prepares for the entries of an older copy of the store: targets that it lacks get the grace
    /// period to renew their entries, and those that were draining or removed stay so until they
    /// write an entry themselves.
    pub fn set_store_restored(&mut self, now: Instant) {
        self.is_restored = true;
        if self.store != StoreState::Unavailable {
            self.store = StoreState::RecoveredAt(now);
        }
    }

    /// Corrects an entry of an older copy by what is known of its target.
    fn update_restored_entry(&self, mut entry: TargetEntry) -> Option<TargetEntry> {
        if self.removed.contains_key(&target_key(&entry)) {
            return None;
        }
        let known = self.targets.get(&entry.name);
        let known = known.filter(|known| known.key == target_key(&entry));
        entry.is_draining |= known.is_some_and(|known| known.entry.is_draining);
        Some(entry)
    }

    /// Adds or updates a target. Returns what changed.
    pub fn write_entry(&mut self, entry: TargetEntry) -> Option<TargetChange> {
        if let Some(state) = self.targets.get_mut(&entry.name) {
            let is_same_run = state.entry.started_at_ms == entry.started_at_ms
                && state.entry.address == entry.address;
            if is_same_run {
                let was_draining = std::mem::replace(&mut state.entry, entry).is_draining;
                let was_missing = state.missing_since.take().is_some();
                return match (was_draining, state.entry.is_draining) {
                    (false, true) => Some(TargetChange::Leaving),
                    (true, false) => Some(TargetChange::Back),
                    _ => was_missing.then_some(TargetChange::Back),
                };
            }
            self.prefix_index.remove_instance(state.instance);
        }
        self.next_instance += 1;
        let state = TargetState {
            key: target_key(&entry),
            instance: self.next_instance,
            own_load: Load::default(),
            peer_load: Load::default(),
            prefill_speed: PrefillSpeed::default(),
            prefills_done_at: None,
            health: TargetHealth::default(),
            missing_since: None,
            entry,
        };
        self.targets.insert(state.entry.name.clone(), state);
        Some(TargetChange::New)
    }

    /// Removes a target, or marks it as missing in a grace period. Returns what changed.
    pub fn remove_entry(&mut self, now: Instant, name: &str) -> Option<TargetChange> {
        let is_in_grace = self.is_in_grace_period(now);
        let state = self.targets.get_mut(name)?;
        if is_in_grace && !state.entry.is_draining {
            state.missing_since.get_or_insert(now);
            return Some(TargetChange::Missing);
        }
        self.remove_target(now, name);
        Some(TargetChange::Gone)
    }

    /// Applies a snapshot of all entries. Returns what changed.
    pub fn replace_entries(
        &mut self,
        now: Instant,
        mut entries: Vec<TargetEntry>,
    ) -> Vec<(TargetName, TargetChange)> {
        if std::mem::take(&mut self.is_restored) {
            let corrected = entries
                .into_iter()
                .filter_map(|entry| self.update_restored_entry(entry));
            entries = corrected.collect();
        }
        let listed: std::collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let absent: Vec<_> = self
            .targets
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for name in absent {
            if let Some(change) = self.remove_entry(now, &name) {
                changes.push((name, change));
            }
        }
        for entry in entries {
            let name = entry.name.clone();
            if let Some(change) = self.write_entry(entry) {
                changes.push((name, change));
            }
        }
        changes
    }

    /// Removes peers that timed out and targets whose grace period ended. Returns what changed.
    pub fn tick(&mut self, now: Instant) -> Vec<(TargetName, TargetChange)> {
        if let StoreState::RecoveredAt(since) = self.store
            && now.saturating_duration_since(since) > STORE_RECOVERY_MS
        {
            self.store = StoreState::Available;
        }
        for loads in self.peers.expire(now) {
            self.subtract_peer_loads(&loads);
        }
        if self.is_in_grace_period(now) {
            return Vec::new();
        }
        let gone: Vec<_> = self
            .targets
            .values()
            .filter(|state| state.missing_since.is_some())
            .map(|state| state.entry.name.clone())
            .collect();
        for name in &gone {
            self.remove_target(now, name);
        }
        gone.into_iter()
            .map(|name| (name, TargetChange::Gone))
            .collect()
    }

    /// Adds work that this process sends.
    pub fn add_load(&mut self, now: Instant, name: &str, load: Load) {
        if let Some(state) = self.targets.get_mut(name) {
            state.own_load.add(load);
            state.extend_prefill_queue(now, load.prefill_ms);
        }
    }

    /// Removes work that `add_load` added, unless the target has restarted since.
    pub fn remove_load(&mut self, now: Instant, name: &str, key: TargetKey, load: Load) {
        if let Some(state) = self.targets.get_mut(name)
            && state.key == key
        {
            state.own_load.subtract(load);
            if load.prefill_ms > 0.0 {
                state.shorten_prefill_queue(now);
            }
        }
    }

    /// Records in the prefix index that a target processes a prompt with `tokens` uncached tokens.
    pub fn record_prefill(&mut self, name: &str, hashes: &[PrefixHash], tokens: u64) {
        if let Some(state) = self.targets.get(name) {
            self.prefix_index
                .record_prefill(state.instance, hashes, tokens);
        }
    }

    /// Records the duration of a prefill of `nominal_ms` that ended `took_ms` after its call, with
    /// an expected wait of `waiting_ms` behind other prefills.
    pub fn record_prefill_time(
        &mut self,
        name: &str,
        nominal_ms: f64,
        waiting_ms: f64,
        took_ms: f64,
    ) {
        let Some(state) = self.targets.get_mut(name) else {
            return;
        };
        let prefills_ms = took_ms - FIRST_EVENT_MS;
        if waiting_ms < nominal_ms {
            let own_ms = prefills_ms - waiting_ms;
            state.prefill_speed.record(nominal_ms, own_ms);
            return;
        }
        // An engine that always has a queue has no other samples. After a long wait the time says
        // more of the other prefills than of this one, so that all are taken as equally slow, and the
        // sample counts by the share of this one.
        let expected_ms = nominal_ms * state.slowdown();
        let share = expected_ms / (waiting_ms + expected_ms);
        let own_ms = prefills_ms * share;
        state
            .prefill_speed
            .record(nominal_ms * share, own_ms * share);
    }

    /// Records that a target answered a call, with whatever status.
    pub fn record_answer(&mut self, name: &str) {
        if let Some(state) = self.targets.get_mut(name) {
            state.health.record_answer();
        }
    }

    /// Records a successful call.
    pub fn record_success(&mut self, name: &str) {
        if let Some(state) = self.targets.get_mut(name) {
            state.health.record_success();
        }
    }

    /// Records a call that failed through the target's fault. Returns what changed.
    pub fn record_failure(&mut self, now: Instant, name: &str) -> Option<TargetChange> {
        let state = self.targets.get_mut(name)?;
        let is_ejected = state.health.record_failure(now);
        is_ejected.then_some(TargetChange::Ejected)
    }

    /// Records an answer that was lost on a connection opened for the call. Returns whether that
    /// has happened several times in a row.
    pub fn record_lost_connection(&mut self, name: &str) -> bool {
        let state = self.targets.get_mut(name);
        state.is_some_and(|state| state.health.record_lost_connection())
    }

    /// Records that a target does not take calls; `draw` is a random number from 0 to 1. Returns
    /// what changed.
    pub fn record_unreachable(
        &mut self,
        now: Instant,
        name: &str,
        draw: f64,
    ) -> Option<TargetChange> {
        let state = self.targets.get_mut(name)?;
        let was_in_use = state.health.set_unreachable(now, draw);
        was_in_use.then_some(TargetChange::Unreachable)
    }

    /// Records a peer's report that a target does not take calls; `draw` as above. Returns the
    /// target and what changed.
    pub fn record_report(
        &mut self,
        now: Instant,
        key: TargetKey,
        draw: f64,
    ) -> Option<(TargetName, TargetChange)> {
        let state = self.target_by_key(key)?;
        let was_in_use = state.health.set_unreachable(now, draw);
        was_in_use.then(|| (state.entry.name.clone(), TargetChange::Reported))
    }

    /// Replaces the load that a peer reported before.
    pub fn replace_peer_load(&mut self, now: Instant, host: &HostName, loads: Vec<PeerLoad>) {
        let loads: ReportedLoads = loads.into_iter().map(|r| (r.key, r.load)).collect();
        let before = self.peers.replace_loads(now, host, loads.clone());
        for state in self.targets.values_mut() {
            let before_ms = state.peer_load.prefill_ms;
            if let Some(load) = before.get(&state.key) {
                state.peer_load.subtract(*load);
            }
            if let Some(load) = loads.get(&state.key) {
                state.peer_load.add(*load);
            }
            let change_ms = state.peer_load.prefill_ms - before_ms;
            if change_ms > 0.0 {
                state.extend_prefill_queue(now, change_ms);
            } else if change_ms < 0.0 {
                state.shorten_prefill_queue(now);
            }
        }
    }

    /// Records a prefill that a peer started.
    pub fn record_peer_prefill(&mut self, key: TargetKey, hashes: &[PrefixHash], tokens: u64) {
        let instance = self.target_by_key(key).map(|state| state.instance);
        if let Some(instance) = instance {
            self.prefix_index.record_prefill(instance, hashes, tokens);
        }
    }

    /// Unfinished work of this process, by target.
    #[must_use]
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let loaded = self
            .targets
            .values()
            .filter(|state| state.own_load.runs > 0.0);
        loaded
            .map(|state| PeerLoad {
                key: state.key,
                load: state.own_load,
            })
            .collect()
    }

    fn is_in_grace_period(&self, now: Instant) -> bool {
        match self.store {
            StoreState::Available => false,
            StoreState::Unavailable => true,
            StoreState::RecoveredAt(at) => now.saturating_duration_since(at) <= STORE_RECOVERY_MS,
        }
    }

    fn remove_target(&mut self, now: Instant, name: &str) {
        if let Some(state) = self.targets.remove(name) {
            self.prefix_index.remove_instance(state.instance);
            self.removed
                .retain(|_, at| now.saturating_duration_since(*at) < REMOVED_LIFETIME_MS);
            self.removed.insert(state.key, now);
        }
    }

    fn subtract_peer_loads(&mut self, loads: &ReportedLoads) {
        for state in self.targets.values_mut() {
            if let Some(load) = loads.get(&state.key) {
                state.peer_load.subtract(*load);
            }
        }
    }

    /// Name of the target with a key.
    #[must_use]
    pub fn name_of(&self, key: TargetKey) -> Option<TargetName> {
        let mut targets = self.targets.values();
        let state = targets.find(|state| state.key == key)?;
        Some(state.entry.name.clone())
    }

    /// The target with room reserved for a call, unless it has room or takes no work.
    #[must_use]
    pub fn reserved(
        &self,
        service: &ServiceName,
        builds: AllowedBuilds<'_>,
        reserved: Option<TargetKey>,
        now: Instant,
    ) -> Option<&TargetState> {
        let standing = |key| self.limits.standing(key);
        let key = reserved.filter(|key| {
            !self.has_room(now, *key)
                && !standing(*key).is_leaving()
                && standing(*key).pause_end(now).is_none()
        })?;
        let healthy = self.healthy(service, builds, now);
        healthy.into_iter().find(|state| state.key == key)
    }

    /// Updates the limits, which are divided by the number of processes.
    pub fn tick_limits(&mut self, now: Instant, processes: usize) {
        let targets = &self.targets;
        let is_known = |key| targets.values().any(|state| state.key == key);
        self.limits.tick(now, processes, is_known);
    }

    fn target_by_key(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.values_mut().find(|state| state.key == key)
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1e3)
}

fn target_key(entry: &TargetEntry) -> TargetKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(entry.name.as_bytes());
    hasher.update(&entry.started_at_ms.to_le_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
