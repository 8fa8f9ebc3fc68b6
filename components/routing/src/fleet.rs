//! The targets that this entry knows, and what it is told of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::Need;
use types::AttemptId;
use types::CacheEvent;
use types::HostName;
use types::Incarnation;
use types::LoadReport;
use types::Role;
use types::ServiceName;
use types::Target;
use types::TargetName;
use types::TargetState;

use crate::cache::Holder;
use crate::cache::PrefixIndex;
use crate::load::Size;
use crate::member::Member;
use crate::member::PRIORITIES;
use crate::member::Standing;
use crate::settings::Settings;

/// Output expected at first, as a share of the upper bound that the caller states.
const FIRST_OUTPUT_SHARE: f64 = 0.5;

/// Targets of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub members: Vec<usize>,
    /// Members that were open when last looked at; closed ones are removed when met.
    pub open: Vec<usize>,
    pub output_share: f64,
    /// Time taken over time estimated, by priority.
    pub corrections: [f64; PRIORITIES],
}

/// One attempt in flight.
#[derive(Debug)]
pub(crate) struct Sent {
    pub member: usize,
    pub incarnation: Incarnation,
    pub priority: usize,
    pub size: Size,
    pub cached_tokens: f64,
    pub dispatched: Instant,
    pub estimate_ms: f64,
    pub prefixes: Vec<u64>,
    pub max_output_tokens: u32,
}

/// What is known of one target, for the planner and the operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Name.
    pub name: TargetName,
    /// Role in force.
    pub role: Role,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Age of the last load report.
    pub report_age_ms: Option<Duration>,
    /// Requests in service or queued.
    pub requests: f64,
    /// Prompt tokens still to be processed.
    pub prefill_tokens: f64,
    /// Output tokens still expected.
    pub decode_tokens: f64,
    /// Last order executed.
    pub applied: u64,
}

/// The routing state of one entry.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) members: Vec<Member>,
    pub(crate) names: BTreeMap<TargetName, usize>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) services: BTreeMap<ServiceName, usize>,
    pub(crate) index: PrefixIndex,
    pub(crate) sent: HashMap<AttemptId, Sent>,
    leaving_hosts: BTreeSet<HostName>,
    runs: u32,
    free: Vec<usize>,
}

impl Fleet {
    /// An empty fleet. Equal seeds and inputs give equal decisions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            index: PrefixIndex::new(settings.index_limit),
            settings,
            rng: SmallRng::seed_from_u64(seed),
            members: Vec::new(),
            names: BTreeMap::new(),
            pools: Vec::new(),
            services: BTreeMap::new(),
            sent: HashMap::new(),
            leaving_hosts: BTreeSet::new(),
            runs: 0,
            free: Vec::new(),
        }
    }

    /// A target's row is new or has changed. A row of an earlier run is ignored once a later run
    /// has been announced by the same row.
    pub fn target_set(&mut self, now: Instant, target: &Target) {
        let pool = self.pool(&target.service);
        let Some(at) = self.names.get(&target.name).copied() else {
            let at = self.free.pop().unwrap_or(self.members.len());
            let holder = self.new_holder(at);
            let mut member = Member::new(target.clone(), pool, holder, &self.settings);
            member.host_leaving = self.leaving_hosts.contains(&target.host);
            if at == self.members.len() {
                self.members.push(member);
            } else {
                self.members[at] = member;
            }
            self.names.insert(target.name.clone(), at);
            self.pools[pool].members.push(at);
            self.refresh(now, at);
            return;
        };
        let restarted = self.members[at].target.incarnation != target.incarnation;
        let holder = self.new_holder(at);
        let moved = self.members[at].pool != pool;
        if moved {
            self.close(at);
            let old = self.members[at].pool;
            self.pools[old].members.retain(|member| *member != at);
            self.pools[pool].members.push(at);
        }
        let member = &mut self.members[at];
        member.pool = pool;
        member.one_way_ms = self.settings.distance(&target.place);
        member.host_leaving = self.leaving_hosts.contains(&target.host);
        if restarted {
            member.restart(target.incarnation, holder);
        }
        let reported = member
            .load
            .last()
            .map(|r| (r.role, r.loaded.clone(), r.applied));
        member.target = target.clone();
        if let Some((role, loaded, applied)) = reported.filter(|r| r.2 > target.applied) {
            member.target.role = role;
            member.target.loaded = loaded;
            member.target.applied = applied;
        }
        self.refresh(now, at);
    }

    /// A target's row is gone.
    pub fn target_removed(&mut self, target: &str) {
        let Some(at) = self.names.remove(target) else {
            return;
        };
        self.close(at);
        let pool = &mut self.pools[self.members[at].pool];
        pool.members.retain(|member| *member != at);
        self.members[at].target.state = TargetState::Withdrawn;
        self.free.push(at);
    }

    /// The host list says that a host is leaving.
    pub fn host_leaving(&mut self, now: Instant, host: &str) {
        self.leaving_hosts.insert(host.to_owned());
        self.host_changed(now, host, true);
    }

    /// The host list no longer says that a host is leaving. Absence from the list is no event.
    pub fn host_live(&mut self, now: Instant, host: &str) {
        self.leaving_hosts.remove(host);
        self.host_changed(now, host, false);
    }

    /// The agent of a target answered a probe, or sent any authenticated message.
    pub fn probe_answered(&mut self, now: Instant, target: &str, incarnation: Incarnation) {
        let Some(at) = self.current(target, incarnation) else {
            return;
        };
        self.members[at].probed = Some(now);
        self.refresh(now, at);
    }

    /// The connection to an agent is gone; new work waits for the next answered probe.
    pub fn unreachable(&mut self, now: Instant, target: &str) {
        let Some(at) = self.names.get(target).copied() else {
            return;
        };
        self.members[at].probed = None;
        self.refresh(now, at);
    }

    /// A load report came; stale ones are ignored.
    pub fn load_report(&mut self, now: Instant, target: &str, report: &LoadReport) {
        let Some(at) = self.current(target, report.incarnation) else {
            return;
        };
        let member = &mut self.members[at];
        if !member.load.report(now, report) {
            return;
        }
        member.leaving = report.leaving;
        let was_away = std::mem::replace(&mut member.away, report.away);
        if report.applied >= member.target.applied {
            member.target.role = report.role;
            member.target.applied = report.applied;
            if member.target.loaded != report.loaded {
                member.target.loaded.clone_from(&report.loaded);
            }
        }
        // An engine comes back from a change or a crash with an empty cache.
        if was_away && !report.away {
            self.members[at].holder = self.new_holder(at);
        }
        self.refresh(now, at);
    }

    /// Changes in a target's prefix cache. Events of another run or out of order are ignored;
    /// after a gap the index keeps what it has and relies on the usage of answers.
    pub fn cache_events(&mut self, target: &str, incarnation: Incarnation, events: &[CacheEvent]) {
        let Some(at) = self.current(target, incarnation) else {
            return;
        };
        let member = &mut self.members[at];
        for event in events {
            if event.sequence <= member.cache_sequence {
                continue;
            }
            member.cache_sequence = event.sequence;
            if event.stored {
                self.index.stored(event.prefix, member.holder);
            } else {
                self.index.evicted(event.prefix, member.holder);
            }
        }
    }

    /// What is known of the targets of a service, in order of registration.
    #[must_use]
    pub fn views(&self, now: Instant, service: &str) -> Vec<TargetView> {
        let Some(pool) = self.services.get(service) else {
            return Vec::new();
        };
        let view = |at: &usize| {
            let member = &self.members[*at];
            let load = member.load.load(true);
            TargetView {
                name: member.target.name.clone(),
                role: member.target.role,
                standing: member.standing(now, &self.settings),
                report_age_ms: member.load.age(now),
                requests: load.requests,
                prefill_tokens: load.prefill_tokens,
                decode_tokens: load.decode_tokens,
                applied: member.target.applied,
            }
        };
        self.pools[*pool].members.iter().map(view).collect()
    }

    /// What an attempt in flight is expected to cost its target.
    #[must_use]
    pub fn size_of(&self, attempt: AttemptId) -> Option<Size> {
        self.sent.get(&attempt).map(|sent| sent.size)
    }

    /// What a request would cost the target with the best cache match.
    #[must_use]
    pub fn size_for(&self, need: &Need) -> Size {
        let holders = self.index.best_holders(&need.prefixes);
        let matched = holders
            .iter()
            .map(|holder| self.index.matched(&need.prefixes, *holder))
            .max();
        let matched = u32::try_from(matched.unwrap_or(0)).unwrap_or(u32::MAX);
        let cached = matched.saturating_mul(self.settings.piece_tokens);
        let pool = self.services.get(&need.service);
        let share = pool.map_or(FIRST_OUTPUT_SHARE, |pool| self.pools[*pool].output_share);
        Size {
            prefill_tokens: f64::from(need.prompt_tokens.saturating_sub(cached)),
            decode_tokens: share * f64::from(need.max_output_tokens),
        }
    }

    /// Pairs in the prefix-cache index.
    #[must_use]
    pub fn index_len(&self) -> usize {
        self.index.len()
    }

    /// Lists or unlists a member as open after something about it changed.
    pub(crate) fn refresh(&mut self, now: Instant, at: usize) {
        let standing = self.members[at].standing(now, &self.settings);
        let pool = self.members[at].pool;
        if standing != Standing::Open {
            self.close(at);
            return;
        }
        let member = &mut self.members[at];
        if member.open_at.is_some() {
            return;
        }
        member.opened = Some(now);
        member.open_at = Some(self.pools[pool].open.len());
        self.pools[pool].open.push(at);
    }

    /// Unlists a member.
    pub(crate) fn close(&mut self, at: usize) {
        let Some(position) = self.members[at].open_at.take() else {
            return;
        };
        let open = &mut self.pools[self.members[at].pool].open;
        open.swap_remove(position);
        if let Some(moved) = open.get(position) {
            self.members[*moved].open_at = Some(position);
        }
    }

    fn host_changed(&mut self, now: Instant, host: &str, leaving: bool) {
        for at in 0..self.members.len() {
            if self.members[at].target.host == host {
                self.members[at].host_leaving = leaving;
                self.refresh(now, at);
            }
        }
    }

    fn current(&self, target: &str, incarnation: Incarnation) -> Option<usize> {
        let at = self.names.get(target).copied()?;
        (self.members[at].target.incarnation == incarnation).then_some(at)
    }

    fn pool(&mut self, service: &str) -> usize {
        if let Some(at) = self.services.get(service) {
            return *at;
        }
        let at = self.pools.len();
        self.services.insert(service.to_owned(), at);
        self.pools.push(Pool {
            members: Vec::new(),
            open: Vec::new(),
            output_share: FIRST_OUTPUT_SHARE,
            corrections: [1.0; PRIORITIES],
        });
        at
    }

    fn new_holder(&mut self, at: usize) -> Holder {
        self.runs = self.runs.wrapping_add(1);
        Holder::new(at, self.runs)
    }
}
