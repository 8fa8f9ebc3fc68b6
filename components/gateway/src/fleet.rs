//! What is believed of each target: whether it takes new work, how loaded it is, how well it does.
//!
//! Sources are the platform's notices, this process's own calls, and what peers say of theirs.
//! Load patterns that this module answers: several processes that place work on the same targets
//! at the same moment (loads of peers are added to the own ones), targets that fail or fall silent
//! (ejection), and a store that loses entries while it is away (entries are kept for a grace time).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use routing::Ejection;
use types::HostName;
use types::ServiceName;
use types::TargetName;

use crate::deployment::TargetEntry;
use crate::prefixes::Holder;
use crate::prefixes::PrefixHash;
use crate::prefixes::PrefixHints;
use crate::speed::FIRST_EVENT_MS;
use crate::speed::Pace;

/// Time after the store's return in which entries that lapsed while it was away come back.
pub const RETURN_MS: Duration = Duration::from_secs(2);
/// Time without a message after which a peer's load is taken for gone.
pub const PEER_SILENCE_MS: Duration = Duration::from_millis(1_500);
/// Processes that watch the platform for all. They may fail or be cut off one by one.
const WATCHES: usize = 3;
/// Time for which a target that could not be connected to gets no work.
const UNREACHABLE_MS: Duration = Duration::from_secs(1);
/// Durations of the first ejection and of the longest one. Engines that crash are back within
/// about five seconds.
const EJECTION_MS: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(6));
/// Weight of one more outcome in the running share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Short name of a target's run in messages between processes.
pub type TargetKey = u64;

/// Work on a target that has not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Engine time of prompts that are being read or wait for it.
    pub reading_ms: f64,
    /// Requests that are running or wait for it.
    pub runs: f64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.reading_ms += other.reading_ms;
        self.runs += other.runs;
    }

    fn subtract(&mut self, other: Self) {
        self.reading_ms = (self.reading_ms - other.reading_ms).max(0.0);
        self.runs = (self.runs - other.runs).max(0.0);
    }
}

/// A target.
#[derive(Debug)]
pub struct Member {
    /// Its last entry.
    pub entry: TargetEntry,
    /// Short name.
    pub key: TargetKey,
    /// Position of this run in [`PrefixHints`].
    pub holder: Holder,
    /// Work from this process.
    pub own: Load,
    /// Work from peers.
    pub others: Load,
    /// Speed of its readings.
    pace: Pace,
    /// When it will have read all prompts that are known to be there.
    read_by: Option<Instant>,
    /// Share of recent calls that failed.
    pub failures: f64,
    missing_since: Option<Instant>,
    unreachable_until: Option<Instant>,
    ejection: Ejection,
}

impl Member {
    /// All work that is known.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Time that readings take, relative to the nominal speed.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.pace.slowness()
    }

    /// Time until it can begin with another prompt.
    #[must_use]
    pub fn wait_ms(&self, now: Instant) -> f64 {
        let left = self.read_by.map(|by| by.saturating_duration_since(now));
        left.unwrap_or_default().as_secs_f64() * 1e3
    }

    /// More prompts are there.
    fn has_more_to_read(&mut self, now: Instant, reading_ms: f64) {
        let from = self.read_by.map_or(now, |by| by.max(now));
        self.read_by = Some(from + millis(reading_ms * self.slowness()));
    }

    /// A prompt was read. The engine went on with the next one when it had, and the news took as
    /// long as a first event.
    fn has_less_to_read(&mut self, now: Instant) {
        let rest_ms = self.load().reading_ms * self.slowness();
        self.read_by = Some(now + millis((rest_ms - FIRST_EVENT_MS).max(0.0)));
    }

    /// Whether it is well enough for new work.
    #[must_use]
    pub fn is_well(&self, now: Instant) -> bool {
        self.ejection.until(now).is_none()
            && self.unreachable_until.is_none_or(|until| until <= now)
    }
}

/// Whether the store can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    Away,
    BackSince(Instant),
    Steady,
}

/// Load of one target as a peer reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerLoad {
    /// Target.
    pub key: TargetKey,
    /// The peer's work there.
    pub load: Load,
}

#[derive(Debug)]
struct Peer {
    heard: Instant,
    loads: HashMap<TargetKey, Load>,
}

/// What changed in the belief about a target, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Belief {
    /// First seen, or started again.
    New,
    /// Takes no new work from now on.
    Leaving,
    /// Takes new work again.
    Back,
    /// Its entry is missing just after an outage of the store; it is used for a while.
    Missing,
    /// Removed.
    Gone,
    /// Shut out because of failures.
    Ejected,
}

/// All targets.
#[derive(Debug)]
pub struct Fleet {
    members: BTreeMap<TargetName, Member>,
    peers: HashMap<HostName, Peer>,
    /// Prefix hints.
    pub hints: PrefixHints,
    store: StoreState,
    next_holder: Holder,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            peers: HashMap::new(),
            hints: PrefixHints::default(),
            store: StoreState::Steady,
            next_holder: 0,
        }
    }
}

impl Fleet {
    /// A target by its name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Targets that are not gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Targets of a service that may get new work. Those that seem unwell are left out unless all
    /// of their role are.
    #[must_use]
    pub fn usable(&self, service: &ServiceName, now: Instant) -> Vec<&Member> {
        let open = self
            .members
            .values()
            .filter(|member| member.entry.service == *service && !member.entry.is_leaving);
        let (mut usable, unwell): (Vec<_>, Vec<_>) = open.partition(|member| member.is_well(now));
        let roles: Vec<_> = usable.iter().map(|member| member.entry.role).collect();
        // An engine of one role cannot stand in for one of another.
        let alone = unwell
            .into_iter()
            .filter(|m| !roles.contains(&m.entry.role));
        usable.extend(alone);
        usable
    }

    /// The store stopped answering.
    pub fn store_lost(&mut self) {
        self.store = StoreState::Away;
    }

    /// The store answers again.
    pub fn store_back(&mut self, now: Instant) {
        if self.store == StoreState::Away {
            self.store = StoreState::BackSince(now);
        }
    }

    /// A target's entry was written.
    pub fn written(&mut self, entry: TargetEntry) -> Option<Belief> {
        if let Some(member) = self.members.get_mut(&entry.name) {
            let is_same_run =
                member.entry.born_ms == entry.born_ms && member.entry.address == entry.address;
            if is_same_run {
                let was_leaving = std::mem::replace(&mut member.entry, entry).is_leaving;
                let was_missing = member.missing_since.take().is_some();
                return match (was_leaving, member.entry.is_leaving) {
                    (false, true) => Some(Belief::Leaving),
                    (true, false) => Some(Belief::Back),
                    _ => was_missing.then_some(Belief::Back),
                };
            }
            self.hints.forget(member.holder);
        }
        self.next_holder += 1;
        let member = Member {
            key: key(&entry),
            holder: self.next_holder,
            own: Load::default(),
            others: Load::default(),
            pace: Pace::default(),
            read_by: None,
            failures: 0.0,
            missing_since: None,
            unreachable_until: None,
            ejection: Ejection::default(),
            entry,
        };
        self.members.insert(member.entry.name.clone(), member);
        Some(Belief::New)
    }

    /// A target's entry was removed.
    pub fn removed(&mut self, now: Instant, name: &str) -> Option<Belief> {
        let is_graced = self.is_after_outage(now);
        let member = self.members.get_mut(name)?;
        if is_graced && !member.entry.is_leaving {
            member.missing_since.get_or_insert(now);
            return Some(Belief::Missing);
        }
        self.drop_member(name);
        Some(Belief::Gone)
    }

    /// All entries at one moment. Returns what changed.
    pub fn replaced(
        &mut self,
        now: Instant,
        entries: Vec<TargetEntry>,
    ) -> Vec<(TargetName, Belief)> {
        let listed: std::collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let absent: Vec<_> = self
            .members
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for name in absent {
            if let Some(belief) = self.removed(now, &name) {
                changes.push((name, belief));
            }
        }
        for entry in entries {
            let name = entry.name.clone();
            if let Some(belief) = self.written(entry) {
                changes.push((name, belief));
            }
        }
        changes
    }

    /// Ends grace times and forgets silent peers. Returns what changed.
    pub fn tick(&mut self, now: Instant) -> Vec<(TargetName, Belief)> {
        if let StoreState::BackSince(since) = self.store
            && now.saturating_duration_since(since) > RETURN_MS
        {
            self.store = StoreState::Steady;
        }
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_duration_since(peer.heard) > PEER_SILENCE_MS)
            .map(|(host, _)| host.clone())
            .collect();
        for host in silent {
            self.forget_peer(&host);
        }
        if self.is_after_outage(now) {
            return Vec::new();
        }
        let gone: Vec<_> = self
            .members
            .values()
            .filter(|member| member.missing_since.is_some())
            .map(|member| member.entry.name.clone())
            .collect();
        for name in &gone {
            self.drop_member(name);
        }
        gone.into_iter().map(|name| (name, Belief::Gone)).collect()
    }

    /// Adds work of this process.
    pub fn begin(&mut self, now: Instant, name: &str, load: Load) {
        if let Some(member) = self.members.get_mut(name) {
            member.own.add(load);
            member.has_more_to_read(now, load.reading_ms);
        }
    }

    /// Takes away work of this process that `begin` added to the same run of the target.
    pub fn end(&mut self, now: Instant, name: &str, key: TargetKey, load: Load) {
        if let Some(member) = self.members.get_mut(name)
            && member.key == key
        {
            member.own.subtract(load);
            if load.reading_ms > 0.0 {
                member.has_less_to_read(now);
            }
        }
    }

    /// Notes that a target reads a prompt, of which `tokens` are new to it.
    pub fn reads(&mut self, name: &str, hashes: &[PrefixHash], tokens: u64) {
        if let Some(member) = self.members.get(name) {
            self.hints.reads(member.holder, hashes, tokens);
        }
    }

    /// Notes that a reading of `nominal_ms` was done `took_ms` after its call, behind `waiting_ms`
    /// of others.
    pub fn has_read(&mut self, name: &str, nominal_ms: f64, waiting_ms: f64, took_ms: f64) {
        // A wait behind others says more of their sizes than of the speed.
        if waiting_ms >= nominal_ms {
            return;
        }
        if let Some(member) = self.members.get_mut(name) {
            let own_ms = took_ms - waiting_ms - FIRST_EVENT_MS;
            member.pace.has_read(nominal_ms, own_ms);
        }
    }

    /// Notes that a call to a target went well.
    pub fn succeeded(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.ejection.succeeded();
            member.unreachable_until = None;
            member.failures *= 1.0 - FAILURE_WEIGHT;
        }
    }

    /// Notes that a call to a target failed through the target.
    pub fn failed(&mut self, now: Instant, name: &str) -> Option<Belief> {
        let member = self.members.get_mut(name)?;
        member.failures += FAILURE_WEIGHT * (1.0 - member.failures);
        if member.ejection.failed() {
            let (first, longest) = EJECTION_MS;
            member.ejection.eject_within(now, first, longest);
            return Some(Belief::Ejected);
        }
        None
    }

    /// Notes that a target could not be connected to.
    pub fn unreachable(&mut self, now: Instant, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.unreachable_until = Some(now + UNREACHABLE_MS);
        }
    }

    /// Replaces what a peer reported before.
    pub fn peer_reported(&mut self, now: Instant, host: &HostName, loads: Vec<PeerLoad>) {
        let loads: HashMap<_, _> = loads.into_iter().map(|r| (r.key, r.load)).collect();
        let before = self.peers.remove(host);
        for member in self.members.values_mut() {
            let known_ms = member.others.reading_ms;
            if let Some(load) = before.as_ref().and_then(|b| b.loads.get(&member.key)) {
                member.others.subtract(*load);
            }
            if let Some(load) = loads.get(&member.key) {
                member.others.add(*load);
            }
            let more_ms = member.others.reading_ms - known_ms;
            if more_ms > 0.0 {
                member.has_more_to_read(now, more_ms);
            } else if more_ms < 0.0 {
                member.has_less_to_read(now);
            }
        }
        self.peers.insert(host.clone(), Peer { heard: now, loads });
    }

    /// Notes that a peer's call makes a target read a prompt.
    pub fn peer_reads(&mut self, key: TargetKey, hashes: &[PrefixHash], tokens: u64) {
        let holder = self.by_key(key).map(|member| member.holder);
        if let Some(holder) = holder {
            self.hints.reads(holder, hashes, tokens);
        }
    }

    /// Peers that were heard of lately.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Whether a process on `host` is among those that watch the platform for all: the first ones by
    /// name of those that were heard of lately.
    #[must_use]
    pub fn keeps_watch(&self, host: &HostName) -> bool {
        self.peers.keys().filter(|peer| *peer < host).count() < WATCHES
    }

    /// Work of this process, by target.
    #[must_use]
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let busy = self.members.values().filter(|member| member.own.runs > 0.0);
        busy.map(|member| PeerLoad {
            key: member.key,
            load: member.own,
        })
        .collect()
    }

    fn is_after_outage(&self, now: Instant) -> bool {
        match self.store {
            StoreState::Steady => false,
            StoreState::Away => true,
            StoreState::BackSince(since) => now.saturating_duration_since(since) <= RETURN_MS,
        }
    }

    fn drop_member(&mut self, name: &str) {
        if let Some(member) = self.members.remove(name) {
            self.hints.forget(member.holder);
        }
    }

    fn forget_peer(&mut self, host: &HostName) {
        let Some(peer) = self.peers.remove(host) else {
            return;
        };
        for member in self.members.values_mut() {
            if let Some(load) = peer.loads.get(&member.key) {
                member.others.subtract(*load);
            }
        }
    }

    fn by_key(&mut self, key: TargetKey) -> Option<&mut Member> {
        self.members.values_mut().find(|member| member.key == key)
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1e3)
}

fn key(entry: &TargetEntry) -> TargetKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(entry.name.as_bytes());
    hasher.update(&entry.born_ms.to_le_bytes());
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
