//! Routing state: the known targets and the events that update them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::Requirements;
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

/// Expected ratio of output tokens to the requested maximum before the first answer.
const INITIAL_OUTPUT_RATIO: f64 = 0.5;

/// Targets of a service.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Positions in [`Fleet::members`].
    pub members: Vec<usize>,
    /// Members that were open at their last update. Selection removes those that no longer are.
    pub open: Vec<usize>,
    /// Mean ratio of output tokens to the requested maximum.
    pub output_ratio: f64,
    /// Mean ratio of actual to estimated time, by priority.
    pub corrections: [f64; PRIORITIES],
}

/// Attempt in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub member: usize,
    pub incarnation: Incarnation,
    pub priority: usize,
    pub size: Size,
    pub cached_tokens: f64,
    pub dispatched_at: Instant,
    pub estimate_ms: f64,
    pub prefixes: Vec<u64>,
    pub max_output_tokens: u32,
}

/// State of a target as reported to the planner and to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetView {
    /// Name in the target's row.
    pub name: TargetName,
    /// Current role.
    pub role: Role,
    /// Whether it accepts new work, and if not, why.
    pub standing: Standing,
    /// Age of the last load report; `None` before the first.
    pub report_age_ms: Option<Duration>,
    /// Requests in service or queued.
    pub requests: f64,
    /// Prompt tokens still to be processed.
    pub prefill_tokens: f64,
    /// Output tokens still expected.
    pub decode_tokens: f64,
    /// Number of the last executed order.
    pub applied: u64,
}

/// Routing state of an entry.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) members: Vec<Member>,
    pub(crate) positions: BTreeMap<TargetName, usize>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) pools_by_service: BTreeMap<ServiceName, usize>,
    pub(crate) index: PrefixIndex,
    pub(crate) in_flight: HashMap<AttemptId, InFlight>,
    leaving_hosts: BTreeSet<HostName>,
    run_counter: u32,
    free_positions: Vec<usize>,
}

impl Fleet {
    /// Creates a fleet without targets. Equal seeds and inputs give equal decisions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            index: PrefixIndex::new(settings.index_limit),
            settings,
            rng: SmallRng::seed_from_u64(seed),
            members: Vec::new(),
            positions: BTreeMap::new(),
            pools: Vec::new(),
            pools_by_service: BTreeMap::new(),
            in_flight: HashMap::new(),
            leaving_hosts: BTreeSet::new(),
            run_counter: 0,
            free_positions: Vec::new(),
        }
    }

    /// Adds a target, or updates it from its changed row. A changed incarnation discards what is
    /// known of the previous run.
    pub fn set_target(&mut self, now: Instant, target: &Target) {
        let pool = self.pool_for(&target.service);
        let Some(position) = self.positions.get(&target.name).copied() else {
            let position = self.free_positions.pop().unwrap_or(self.members.len());
            let holder = self.next_holder(position);
            let mut member = Member::new(target.clone(), pool, holder, &self.settings);
            member.is_host_leaving = self.leaving_hosts.contains(&target.host);
            if position == self.members.len() {
                self.members.push(member);
            } else {
                self.members[position] = member;
            }
            self.positions.insert(target.name.clone(), position);
            self.pools[pool].members.push(position);
            self.update_open_list(now, position);
            return;
        };
        let is_restarted = self.members[position].target.incarnation != target.incarnation;
        let holder = self.next_holder(position);
        let is_moved = self.members[position].pool != pool;
        if is_moved {
            self.remove_from_open_list(position);
            let old = self.members[position].pool;
            self.pools[old].members.retain(|member| *member != position);
            self.pools[pool].members.push(position);
        }
        let member = &mut self.members[position];
        member.pool = pool;
        member.one_way_ms = self.settings.one_way_latency(&target.data_centre);
        member.is_host_leaving = self.leaving_hosts.contains(&target.host);
        if is_restarted {
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
        self.update_open_list(now, position);
    }

    /// Removes a target whose row was deleted or that this entry no longer uses.
    pub fn remove_target(&mut self, target: &str) {
        let Some(position) = self.positions.remove(target) else {
            return;
        };
        self.remove_from_open_list(position);
        let pool = &mut self.pools[self.members[position].pool];
        pool.members.retain(|member| *member != position);
        self.members[position].target.state = TargetState::Withdrawn;
        self.free_positions.push(position);
    }

    /// Closes the targets of a host that the host list marks as leaving.
    pub fn host_leaving(&mut self, now: Instant, host: &str) {
        self.leaving_hosts.insert(host.to_owned());
        self.set_host_leaving(now, host, true);
    }

    /// Reopens the targets of a host that the host list marks as live again. A host that is missing
    /// from the list keeps its state.
    pub fn host_live(&mut self, now: Instant, host: &str) {
        self.leaving_hosts.remove(host);
        self.set_host_leaving(now, host, false);
    }

    /// Records that the agent of a target answered a probe or sent any authenticated message.
    pub fn probe_answered(&mut self, now: Instant, target: &str, incarnation: Incarnation) {
        let Some(position) = self.position_of_run(target, incarnation) else {
            return;
        };
        self.members[position].probed_at = Some(now);
        self.update_open_list(now, position);
    }

    /// Records the loss of the connection to an agent; the target gets no new work until its agent
    /// answers a probe.
    pub fn unreachable(&mut self, now: Instant, target: &str) {
        let Some(position) = self.positions.get(target).copied() else {
            return;
        };
        self.members[position].probed_at = None;
        self.update_open_list(now, position);
    }

    /// Applies a load report; reports of another run or with an old sequence number are ignored.
    pub fn load_report(&mut self, now: Instant, target: &str, report: &LoadReport) {
        let Some(position) = self.position_of_run(target, report.incarnation) else {
            return;
        };
        let member = &mut self.members[position];
        if !member.load.report(now, report) {
            return;
        }
        member.is_leaving = report.leaving;
        let was_away = std::mem::replace(&mut member.is_away, report.away);
        if report.applied >= member.target.applied {
            member.target.role = report.role;
            member.target.applied = report.applied;
            if member.target.loaded != report.loaded {
                member.target.loaded.clone_from(&report.loaded);
            }
        }
        // The cache of an engine is empty after a change or a crash.
        if was_away && !report.away {
            self.members[position].holder = self.next_holder(position);
        }
        self.update_open_list(now, position);
    }

    /// Applies changes of a target's prefix cache to the index. Events of another run or out of
    /// order are ignored. After a gap the index keeps its pairs; the usage reported in answers
    /// corrects for those that are outdated.
    pub fn cache_events(&mut self, target: &str, incarnation: Incarnation, events: &[CacheEvent]) {
        let Some(position) = self.position_of_run(target, incarnation) else {
            return;
        };
        let member = &mut self.members[position];
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

    /// State of the targets of a service, in order of registration.
    #[must_use]
    pub fn views(&self, now: Instant, service: &str) -> Vec<TargetView> {
        let Some(pool) = self.pools_by_service.get(service) else {
            return Vec::new();
        };
        let view = |position: &usize| {
            let member = &self.members[*position];
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

    /// Expected tokens of an attempt in flight.
    #[must_use]
    pub fn size_of(&self, attempt: AttemptId) -> Option<Size> {
        self.in_flight.get(&attempt).map(|in_flight| in_flight.size)
    }

    /// Expected tokens of a request on the target with the best cache match.
    #[must_use]
    pub fn size_for(&self, requirements: &Requirements) -> Size {
        let holders = self.index.best_holders(&requirements.prefixes);
        let matched = holders
            .iter()
            .map(|holder| self.index.matched_pieces(&requirements.prefixes, *holder))
            .max();
        let matched = u32::try_from(matched.unwrap_or(0)).unwrap_or(u32::MAX);
        let cached = matched.saturating_mul(self.settings.piece_tokens);
        let pool = self.pools_by_service.get(&requirements.service);
        let ratio = pool.map_or(INITIAL_OUTPUT_RATIO, |pool| self.pools[*pool].output_ratio);
        Size {
            prefill_tokens: f64::from(requirements.prompt_tokens.saturating_sub(cached)),
            decode_tokens: ratio * f64::from(requirements.max_output_tokens),
        }
    }

    /// Number of pairs in the prefix-cache index.
    #[must_use]
    pub fn index_len(&self) -> usize {
        self.index.len()
    }

    /// Adds a member to the open list of its pool, or removes it, after a change of its state.
    pub(crate) fn update_open_list(&mut self, now: Instant, position: usize) {
        let standing = self.members[position].standing(now, &self.settings);
        let pool = self.members[position].pool;
        if standing != Standing::Open {
            self.remove_from_open_list(position);
            return;
        }
        let member = &mut self.members[position];
        if member.open_position.is_some() {
            return;
        }
        member.opened_at = Some(now);
        member.open_position = Some(self.pools[pool].open.len());
        self.pools[pool].open.push(position);
    }

    /// Removes a member from the open list of its pool.
    pub(crate) fn remove_from_open_list(&mut self, position: usize) {
        let Some(open_position) = self.members[position].open_position.take() else {
            return;
        };
        let open = &mut self.pools[self.members[position].pool].open;
        open.swap_remove(open_position);
        if let Some(moved) = open.get(open_position) {
            self.members[*moved].open_position = Some(open_position);
        }
    }

    fn set_host_leaving(&mut self, now: Instant, host: &str, is_leaving: bool) {
        for position in 0..self.members.len() {
            if self.members[position].target.host == host {
                self.members[position].is_host_leaving = is_leaving;
                self.update_open_list(now, position);
            }
        }
    }

    fn position_of_run(&self, target: &str, incarnation: Incarnation) -> Option<usize> {
        let position = self.positions.get(target).copied()?;
        (self.members[position].target.incarnation == incarnation).then_some(position)
    }

    fn pool_for(&mut self, service: &str) -> usize {
        if let Some(pool) = self.pools_by_service.get(service) {
            return *pool;
        }
        let pool = self.pools.len();
        self.pools_by_service.insert(service.to_owned(), pool);
        self.pools.push(Pool {
            members: Vec::new(),
            open: Vec::new(),
            output_ratio: INITIAL_OUTPUT_RATIO,
            corrections: [1.0; PRIORITIES],
        });
        pool
    }

    fn next_holder(&mut self, position: usize) -> Holder {
        self.run_counter = self.run_counter.wrapping_add(1);
        Holder::new(position, self.run_counter)
    }
}
